// Chooses the backend server of a request from what this host knows of the servers: one server for each object, so that
// it finds the object warm, and the next ones when that server is full, cold or failing.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/hostlimits.h"

namespace banyanledge
{

// What one host knows of a backend server from its own requests and the server's reports.
struct ServerState
{
    unsigned inFlight = 0; // requests of this host
    double reportedLoad = 0; // requests running and waiting at the server, at the last report
    double inFlightAtReport = 0; // of this host at that time
    Time reportedAt{};
    double otherHostsInFlight = 0; // requests of other hosts in flight, as last told by the leader
    Time othersUpdatedAt{};
    unsigned consecutiveFailures = 0; // in a row
    Time ejectedUntil{};
    Time coldUntil{};
    ColdServerLimiter coldLimiter;
    unsigned trialRequests = 0; // requests in flight to an ejected server
    Time refusedUntil{}; // the server said that it is full
};

// A server that may run a request.
struct Candidate
{
    const std::string *id = nullptr;
    std::uint64_t hash = 0; // of the id
    unsigned slots = 1;
    double coldRate = 0; // requests per second of this host while the server is cold
    ServerState *state = nullptr;
};

struct PlacementRequest
{
    std::uint64_t object = 0; // hash of the object, or of the request when it names none
    bool affinity = false; // the same object should meet the same server
    double maxQueuePerSlot = 1; // of a server, in requests for each slot beyond those that run
    const std::set<std::string> *tried = nullptr; // servers that this request was sent to
};

enum class PlacementStatus { Chosen, Full, NoServer };

struct Placement
{
    PlacementStatus status = PlacementStatus::NoServer;
    std::size_t index = 0; // into the candidates
    double load = 0; // estimated requests for each slot of that server
};

// Requests running and waiting at a server, estimated from its last report and this host's own requests since.
double estimatedLoad(const ServerState &state, Time now);

// Takes a report of a server's load.
void recordReport(ServerState &state, double requests, Time now);

// Takes outcomes of requests. A failure is a lost connection, a timeout or a 5xx that the server did not mean as a
// refusal. The results tell whether the server has just been ejected or has come back.
bool recordServerSuccess(ServerState &state, milliseconds warmup, Time now);
bool recordServerFailure(ServerState &state, Time now);
void recordRefusal(ServerState &state, Time now);

// Whether the server takes ordinary requests at this time.
bool healthy(const ServerState &state, Time now);

// Chooses a server; for a cold one it counts the request against the pace.
Placement placeRequest(const std::vector<Candidate> &candidates, const PlacementRequest &request, Time now);

} // namespace banyanledge
