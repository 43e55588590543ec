// Choice of the backend server for a request. Requests for an object go to one server by rendezvous hashing, so that
// they find it cached, and to the next servers in hash order when that one is full, cold or failing.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/serverstate.h"

namespace banyanledge
{

// A server that may run a request.
struct Candidate
{
    const std::string *id = nullptr;
    std::uint64_t hash = 0; // of the id
    unsigned slots = 1;
    std::optional<double> coldRate; // requests per second that this host may send while the server is cold; known then
    ServerState *state = nullptr;
    std::optional<LimitSharers> limitSharers; // this host's place among those that share the server's limit; known then
};

// The properties of a request that determine its server.
struct PlacementRequest
{
    std::uint64_t object = 0; // hash of the object, or of the request if it names none
    bool affinity = false; // whether to prefer the same server for the same object
    double maxQueuePerSlot = 1; // longest acceptable queue of a server, in waiting requests per slot
    const std::set<std::string> *tried = nullptr; // ids of the servers that already got this request
};

// Outcome of a placement.
enum class PlacementStatus {
    Chosen, // a server was chosen
    Full, // the healthy servers are full, at a rate limit or asked for a pause
    NoServer // no untried server is healthy
};

// The chosen server, if any.
struct Placement
{
    PlacementStatus status = PlacementStatus::NoServer;
    std::size_t index = 0; // into the candidates
    double load = 0; // estimated requests per slot of that server, with this one
    std::optional<Time> pauseEnd; // when the first server wants requests again, if all healthy ones want none now
};

// Estimated requests running and waiting at a server, from its last report, this host's own requests since then and the
// last known number of other hosts' requests.
double estimatedLoad(const ServerState &state, Time now);

// Records a load report of a server: its running and waiting requests.
void recordReport(ServerState &state, double requests, Time now);

// Record outcomes of requests. A failure is a lost connection, a timeout or a 5xx answer that was not a refusal.
// recordServerSuccess() returns whether it readmitted the server, recordServerFailure() whether it just ejected it. A
// server that is readmitted after failed trial requests counts as cold for `warmup`.
bool recordServerSuccess(ServerState &state, milliseconds warmup, Time now);
bool recordServerFailure(ServerState &state, Time now);
void recordRefusal(ServerState &state, Time now);

// Whether the server itself takes requests: it neither leaves nor asked for a pause.
bool takesRequests(const ServerState &state, Time now);

// Whether a request may be sent to the server: it is not ejected, or its ejection has ended and no trial request is in
// flight.
bool healthy(const ServerState &state, Time now);

// Chooses a server for the request. If it is cold or names a limit, the request counts against that.
Placement placeRequest(const std::vector<Candidate> &candidates, const PlacementRequest &request, Time now);

} // namespace banyanledge
