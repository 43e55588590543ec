// An entry host's copy of the table and its freshness lease, kept by one Sync call to the control leader at a time.
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

class ControlClient
{
public:
    struct Options
    {
        proto::Member self; // with this run's incarnation
        std::vector<std::string> controlHosts; // gRPC addresses
        std::function<void(proto::SyncRequest &)> addReport; // adds the loads of owned pools and links
        // Takes shares and loads of an answer, before a new copy of the table; may be empty.
        std::function<void(const proto::SyncRequest &, const proto::SyncReply &)> onReply;
        bool longTimeout = false; // the host serves on without a lease, so calls may take longer
    };

    explicit ControlClient(Options options);
    ~ControlClient();

    // Starts the calls; stop() ends them and waits for the one outstanding.
    void start();
    void stop();

    // Newest copy; never null, empty before the first answer.
    std::shared_ptr<const View> view() const;

    // Replaces the control hosts that are asked when no known one answers, e.g. after a change of the settings.
    void setControlHosts(const std::vector<std::string> &addresses);

    // Whether this host may serve at `now`: it has a proof from a quorum that its copy is not older than freshnessTerm.
    bool isFresh(Time now) const;

    // End of the present freshness lease.
    Time freshUntil() const;

    // Calls `done(true)` as soon as the host is fresh, or `done(false)` at the deadline.
    void whenFresh(Time deadline, std::function<void(bool)> done);

    // Announces another state of this host, e.g. MEMBER_LEAVING at a planned stop.
    void setState(proto::MemberState state);

    // Registers a callback for each new copy; it runs on the follower's thread and must not block.
    void onChange(std::function<void(const std::shared_ptr<const View> &)> changed);

    // Loads of all pools of the fleet as last told by the leader, with their ages.
    std::vector<proto::PoolLoad> poolLoads() const;

    // Loads of busy entry hosts by id, 0 to 1, as last told by the leader; hosts that are missing count as idle.
    std::map<std::string, double> hostLoads() const;

    // Asks the leader once for tokens of customers' rates. `done` gets ERROR_UNAVAILABLE when it did not answer in
    // time; it runs on another thread.
    void takeTokens(const proto::TakeTokensRequest &request, milliseconds timeout,
                    const std::function<void(const proto::TakeTokensReply &)> &done);

    // Sends a command to the leader, again with the same change id until the deadline. `done` gets ERROR_TIMEOUT when
    // the outcome is unknown.
    void propose(const proto::Command &command, Time deadline, std::function<void(const proto::CommandResult &)> done);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
