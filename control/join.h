// How a control host enters the group of its seeds, returns to it after a removal, and leaves it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/types.h"
#include "control/contacts.h"
#include "control/leader.h"
#include "ledger/node.h"

namespace banyanledge
{

// Returns true if a host with this state has to ask to be added to its group, because no leader has contacted it for
// `leaderless`. Its own copy of the member list proves nothing: it misses a removal that came while the host was cut
// off. A host without any members in its log asks at once.
bool mustRequestJoin(const proto::ControlStatus &status, Duration leaderless);

// Hands over leadership if this host leads, then asks the group to remove this host, and waits for both until the
// deadline. The host must end after that, and must not ask to join meanwhile. It stays a member if the others would be
// too few, or if no leader answers.
void leaveGroup(Node &node, LeaderClient &leader, const std::string &ownAddress, Time deadline);

// Requests, on its own thread, that the group adds this host, for as long as no leader contacts the host.
class GroupJoiner
{
public:
    // `status` returns the state of this host; called from the joiner's thread. `contacts` must outlive the joiner.
    GroupJoiner(std::string ownAddress, GroupContacts &contacts, std::function<proto::ControlStatus()> status);
    ~GroupJoiner();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
