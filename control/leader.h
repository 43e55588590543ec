// Blocking gRPC calls to the control leader, with retries when the leader fails or changes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/types.h"

namespace banyanledge
{

// The caller that waits for the outcome of an order. Once it waits no more, it may have sent a newer order elsewhere.
struct OrderCaller
{
    Time deadline; // of the answer
    std::function<bool()> isConnected; // called from any thread; empty if the caller can't disconnect

    bool isWaiting(Time now) const;
};

// Methods may be called from any thread.
class LeaderClient
{
public:
    // `leaderAddress` returns the leader's gRPC address, or an empty string when this host does not know it.
    // `contactAddress` returns a host that may know it, which is asked instead; also empty if there is none. Both are
    // called from any thread.
    explicit LeaderClient(std::function<std::string()> leaderAddress, std::function<std::string()> contactAddress = {});
    ~LeaderClient();

    // Proposes a command and retries with the same change id until the deadline. Returns ERROR_UNAVAILABLE when no
    // leader confirmed it in time: whether it will be applied is then unknown. It may be resent with its change id.
    proto::CommandResult propose(const proto::Command &command, Time deadline);

    // Proposes a command as an order that never follows a newer one on the same subject: reads the newest revision,
    // which the command then names as the one that it was decided on, and proposes it only while the caller waits.
    // Returns ERROR_CONFLICT when a newer order was acknowledged meanwhile; the command is then not in force. After
    // ERROR_UNAVAILABLE the message says whether it may be.
    proto::CommandResult proposeOrder(proto::Command command, const OrderCaller &caller);

    // Adds or removes a control host as an order. Each attempt names a newer revision, because a repeated change has no
    // change id. Repeats also after ERROR_CONFLICT, while the caller waits.
    proto::CommandResult changeMember(proto::ChangeMembersRequest request, const OrderCaller &caller);

    // Performs a linearizable read. `kind` of the reply is ERROR_UNAVAILABLE when no leader answered in time.
    proto::ReadReply read(const proto::ReadRequest &request, Time deadline);

    // Returns the revision of the newest committed entry. Returns nullopt when no leader confirmed it in time.
    std::optional<Revision> newestRevision(Time deadline);

    // Ends all calls at `end` even if their deadlines are later. A call to a host that is in progress keeps its own
    // timeout, at most 1.6 s.
    void limitCalls(Time end);

    // Ends all calls at once, those in progress too, and refuses later ones.
    void cancelCalls();

    // Returns the state of the leader, requested once without retries. The id is empty when the leader did not answer.
    proto::ControlStatus status(Time deadline);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
