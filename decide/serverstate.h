// What one host knows of a backend server, and how it tells the server's present process from an earlier one. A server
// keeps its id when it starts again, but nothing that was known of the process before holds for the new one, which is
// cold. Hosts tell the leader of ends and starts that they see; the leader stores them in the table for all hosts.
#pragma once

#include <cstdint>
#include <optional>

#include "base/types.h"
#include "decide/hostlimits.h"
#include "decide/namedlimit.h"

namespace banyanledge
{

// Time after which a server that ended counts as an unknown one again, in case its new start was never seen.
constexpr milliseconds endLifetime{30000};

// Time without requests to a server whose start this host learned late. The requests that hosts sent before they knew
// count against the same second of the cold server as those that follow.
constexpr milliseconds lateStartPause{1000};

// Added to a remaining warm-up time, because the message that states it was under way.
constexpr milliseconds warmupMargin{500};

// Knowledge of one process of a server. It is dropped as a whole when the process ends.
struct ProcessState
{
    double reportedLoad = 0; // requests running and waiting at the server in its last report
    double inFlightAtReport = 0; // value of `ServerState::inFlight` at that time
    Time reportedAt{};
    double otherHostsInFlight = 0; // requests of other hosts, last value from the leader
    Time othersUpdatedAt{};
    NamedLimit limit; // that the server names for itself
    bool leaving = false; // the server said that it takes no further requests
    bool listedAsLeaving = false; // the table has shown the server as leaving since it said so
    Time pausedUntil{}; // the server said that it wants no requests until then
    Time refusedUntil{}; // no requests until then, because the server said that it is full
};

// State of a backend server as seen by one host, from its own requests, the server's load reports and the leader.
struct ServerState
{
    unsigned inFlight = 0; // requests of this host in flight
    unsigned trialRequests = 0; // requests in flight that test whether an ejected server is back
    unsigned consecutiveFailures = 0;
    Time ejectedUntil{};
    bool needsCheck = false; // attempts got no answer since the last response; the process may be another one
    ProcessState process;

    std::optional<Revision> appliedRevision; // of the table's entry; nullopt: none was applied yet
    std::optional<std::uint64_t> incarnation; // in the table; nullopt: the table was not applied yet
    bool endedInTable = false;
    bool ended = false; // the process has ended, and no new one was seen
    Time endedAt{}; // when this was seen or heard last
    Time processSince{}; // what attempts show that began before this belongs to an earlier process
    bool startedUnlisted = false; // a process is running that the table does not know yet
    Time checkAllowedAt{}; // no check of the process before, unless it crashed
    milliseconds statedWarmup{0}; // that this process stated; 0: it stated none

    Time coldUntil{}; // end of the warm-up
    ColdServerLimiter coldLimiter; // for requests while the server is cold
};

// Process of a server as the table describes it.
struct ListedProcess
{
    std::uint64_t incarnation = 0;
    bool ended = false;
    milliseconds warmupLeft{0}; // when the entry changed; 0: warm
    Revision revision = 0; // of the entry

    bool operator==(const ListedProcess &) const = default;
};

// What the state holds beyond the table, to be told to the leader.
struct ProcessNews
{
    std::uint64_t incarnation = 0; // of the table
    bool ended = false; // the process ended; else a new one was seen
    milliseconds warmupLeft{0}; // that the new one stated; 0: none

    bool operator==(const ProcessNews &) const = default;
};

// Whether the server counts as cold: it warms up, or its process ended and no new one was seen.
bool isCold(const ServerState &state, Time now);

// Records that the server refused a connection, so its process has ended. Returns whether this is news.
bool recordEnd(ServerState &state, Time now);

// Whether an attempt that began at `attemptStart` reached the present process, or the one that follows it.
bool reachedPresentProcess(const ServerState &state, Time attemptStart);

// Records a response of the server. Returns whether it shows that a new process has started. `warmup` is the declared
// one.
bool recordResponse(ServerState &state, milliseconds warmup, Time now);

// Records that the server stated how much longer it warms up, 0 if it is warm. Returns whether this shows a new
// process.
bool recordStatedWarmup(ServerState &state, milliseconds warmupLeft, Time now);

// Applies a changed entry of the table. Returns whether everything known of the process before was dropped.
// `warmup` is the declared one.
bool applyListedProcess(ServerState &state, const ListedProcess &listed, milliseconds warmup, Time now);

// What the table does not hold yet; nullopt when there is nothing.
std::optional<ProcessNews> unlistedNews(const ServerState &state);

} // namespace banyanledge
