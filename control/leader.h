// Blocking gRPC calls to the control leader, with retries when the leader fails or changes.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/types.h"

namespace banyanledge
{

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
    // leader confirmed it in time. Whether it will be applied is then unknown, and it may be resent with the same
    // change id.
    proto::CommandResult propose(const proto::Command &command, Time deadline);

    // Adds or removes a control host, with retries as for propose(). After ERROR_UNAVAILABLE the caller need not send
    // it again to learn the outcome, because the members are visible in the status.
    proto::CommandResult changeMember(const proto::ChangeMembersRequest &request, Time deadline);

    // Performs a linearizable read. `kind` of the reply is ERROR_UNAVAILABLE when no leader answered in time.
    proto::ReadReply read(const proto::ReadRequest &request, Time deadline);

    // Returns the state of the leader, requested once without retries. The id is empty when the leader did not answer.
    proto::ControlStatus status(Time deadline);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
