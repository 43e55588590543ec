// Client of the control leader. Keeps the host's copy of the table and its freshness lease up to date by Sync calls.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/types.h"
#include "decide/view.h"

namespace banyanledge
{

// Switches to another control host when a Sync call fails or its reply is late; a late reply is still applied.
class ControlClient
{
public:
    struct Options
    {
        proto::Member self; // this host, with the incarnation of this run
        std::vector<std::string> controlHosts; // gRPC addresses
        std::function<void(proto::SyncRequest &)> addReport; // adds this host's report to each request
        // Called with each valid reply, before the callbacks of a new copy of the table; may be empty.
        std::function<void(const proto::SyncRequest &, const proto::SyncReply &)> onReply;
        // Called after each valid reply and its callbacks: the copy holds everything committed at `confirmedAt`; may be
        // empty.
        std::function<void(Time confirmedAt)> onConfirmed;
        bool takesTokens = false; // takeTokens() will be called, so the nearest control host has to be known
        bool longTimeout = false; // longer Sync timeout, for hosts that keep serving without a lease
    };

    explicit ControlClient(Options options);
    ~ControlClient();

    // start() begins the Sync calls. stop() cancels the outstanding one and waits for its end.
    void start();
    void stop();

    // Newest copy of the table; never null, empty before the first reply.
    std::shared_ptr<const View> view() const;

    // Replaces the list of control hosts that are tried in turn after a failure, e.g. after a change of the settings.
    void setControlHosts(const std::vector<std::string> &addresses);

    // Whether the freshness lease covers `now`: a quorum has confirmed that the copy is at most freshnessLease old.
    bool isFresh(Time now) const;

    // End of the current freshness lease; Time::min() before the first one.
    Time freshUntil() const;

    // Calls `done(true)` as soon as the lease is valid, or `done(false)` at the deadline or at stop().
    void whenFresh(Time deadline, std::function<void(bool)> done);

    // Reports a new state of this host to the leader at once, e.g. MEMBER_LEAVING at a planned stop.
    void setState(proto::MemberState state);

    // Registers a callback for each new copy; it runs on the thread of this client and must not block.
    void onChange(std::function<void(const std::shared_ptr<const View> &)> listener);

    // Loads of all pools of the fleet from the last reply. age_ms includes the time since that reply.
    std::vector<proto::PoolLoad> poolLoads() const;

    // Loads of busy entry hosts by id, 0 to 1, from the last reply. Hosts that are missing count as idle.
    std::map<std::string, double> hostLoads() const;

    // Requests tokens of customers' rate limits from the nearest control host, and once more from the leader if that
    // host refuses. `done` gets ERROR_UNAVAILABLE when no control host answered in time; it runs on a gRPC thread.
    void takeTokens(const proto::TakeTokensRequest &request, milliseconds timeout,
                    const std::function<void(const proto::TakeTokensReply &)> &done);

    // Makes a Sync call with a new report at once, or as soon as the last one that was made so is urgentCallInterval
    // old. A call that the leader holds stays outstanding.
    void syncNow();

    // Sends a command to the leader and retries with the same change id until the deadline. `done` gets ERROR_TIMEOUT
    // when the outcome is unknown, and ERROR_UNAVAILABLE when the command was never sent.
    void propose(const proto::Command &command, Time deadline, std::function<void(const proto::CommandResult &)> done);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
