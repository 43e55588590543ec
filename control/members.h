// Which entry hosts are alive, as the leader sees it from their Sync calls. Functions without I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "control/tableobjects.h"

namespace banyanledge
{

// A member that is gone stays in the table until every request that it may have sent has ended: while it is there, new
// pool owners count slots that it may still use.
constexpr Duration goneMemberRetention = withDrift(longestDeadline);

// A gap between two runs of the leader's loop, which are 25 ms apart, that counts as a pause of the process.
constexpr milliseconds loopPauseThreshold{500};

// What the leader knows about the Sync calls of one host.
struct HostCallState
{
    std::uint64_t incarnation = 0; // of the newest call
    Time lastAnsweredArrival{}; // arrival of the newest call that was answered; the host's lease ends freshnessTerm
                                // after it or earlier
    Revision knownRevision = 0; // as told by the newest call
    unsigned outstandingCalls = 0; // calls not answered yet
    bool goneProposed = false; // a command that declares it gone was proposed and its outcome is not known yet
};

// Kept by the leader for one term and started anew by the next leader.
struct Liveness
{
    std::optional<Time> leadingSince;
    Time lastLoopRun{}; // of the leader's loop
    std::map<std::string, HostCallState> hosts;
    std::map<std::string, Time> goneSince; // since this leader knows that the member is gone
    std::set<std::uint64_t> supersededIncarnations; // incarnations replaced by a later process with the same id
};

// Forgets what an earlier term knew.
void startLeading(Liveness &liveness, Time now);
void stopLeading(Liveness &liveness);

// Notes that the leader's loop runs. After a pause of this process, calls that arrived meanwhile are not counted yet,
// so it waits a full memberTimeout again before it declares a member gone.
void recordLoopRun(Liveness &liveness, Time now);

void recordArrival(Liveness &liveness, const proto::SyncRequest &request);

// Counts the end of a call that was refused.
void recordRefusal(Liveness &liveness, const proto::SyncRequest &request);

// Counts the end of a call whose answer proves that the host was fresh when the call arrived.
void recordAnswer(Liveness &liveness, const proto::SyncRequest &request, Time arrived);

// Member to store for a call, nullopt when the table already holds it. A host that announces that it joins becomes live
// once it has a copy of the table. A leaving host does not become live again within one incarnation by its own
// announcement, because the platform may know better.
std::optional<proto::Member> memberUpdate(const proto::SyncRequest &request, const TableObjects &objects,
                                          const Liveness &liveness, Time now);

// Members to declare gone. A host whose last answered call arrived at least memberTimeout ago holds no freshness lease,
// so its resources may move at once (`stopped`). A new leader doesn't know what its predecessor answered and waits a
// full memberTimeout first.
std::vector<proto::Member> membersToDeclareGone(const TableObjects &objects, const Liveness &liveness, Time now);

// Members to remove from the table because they have been gone for goneMemberRetention. A new leader counts from when
// it first saw them gone, which only keeps them longer.
std::vector<proto::Member> membersToRemove(const TableObjects &objects, Liveness &liveness, Time now);

} // namespace banyanledge
