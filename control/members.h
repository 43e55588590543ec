// Liveness of entry hosts, which the leader derives from their Sync calls. The functions do no I/O.
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

// A member that is gone stays in the table until every request that it may have sent has ended. While it is in the
// table, new pool owners reserve the slots that it may still use.
constexpr Duration goneMemberRetention = withDrift(maxDeadline);

// A longer gap between two runs of the leader's loop, normally 25 ms, counts as a pause of the process.
constexpr milliseconds loopPauseThreshold{500};

// What the leader knows about the Sync calls of one host.
struct HostCallState
{
    std::uint64_t incarnation = 0; // of the newest call
    // Arrival of the newest answered call. The host's lease ends at most freshnessLease later.
    Time lastAnsweredArrival{};
    Revision knownRevision = 0; // as reported in the newest call
    unsigned outstandingCalls = 0;
    bool goneProposed = false; // a command that declares the host gone was proposed and its outcome is unknown
};

// What the leader of one term knows about all hosts. The next leader starts without it.
struct Liveness
{
    std::optional<Time> leadingSince; // start of the term or end of the last pause; nullopt unless this host leads
    Time lastLoopRun{};
    std::map<std::string, HostCallState> hosts;
    std::map<std::string, Time> goneSince; // when this leader first saw that the member is gone
    std::set<std::uint64_t> supersededIncarnations; // replaced by a later process with the same host id
};

// Reset the state at the start and at the end of a term.
void startLeading(Liveness &liveness, Time now);
void stopLeading(Liveness &liveness);

// Records a run of the leader's loop. After a pause of the process, the leader waits a full memberTimeout again before
// it declares a member gone, because calls that arrived during the pause have not been read yet.
void recordLoopRun(Liveness &liveness, Time now);

// Records a call that arrived.
void recordArrival(Liveness &liveness, const proto::SyncRequest &request);

// Records that a call is no longer outstanding, because it was refused or answered.
void recordCallEnd(Liveness &liveness, const proto::SyncRequest &request);

// Records the end of a call that was answered: it proves to the host that its table was current at the time `arrived`.
void recordAnswer(Liveness &liveness, const proto::SyncRequest &request, Time arrived);

// Returns the member to store for a call, or nullopt when the table already holds it. A host that announces that it
// joins becomes live once it has a copy of the table. A leaving host can't announce itself live again within one
// incarnation, because the platform may have declared it leaving.
std::optional<proto::Member> memberUpdate(const proto::SyncRequest &request, const TableObjects &objects,
                                          const Liveness &liveness, Time now);

// Returns the members to declare gone. A host whose last answered call arrived at least memberTimeout ago holds no
// freshness lease, so its resources may move at once (`stopped`). A new leader doesn't know what its predecessor
// answered and waits a full memberTimeout first.
std::vector<proto::Member> membersToDeclareGone(const TableObjects &objects, const Liveness &liveness, Time now);

// Returns the members to remove from the table because they have been gone for goneMemberRetention. A new leader counts
// from when it first saw them gone, which only keeps them longer.
std::vector<proto::Member> membersToRemove(const TableObjects &objects, Liveness &liveness, Time now);

} // namespace banyanledge
