#include "decide/placement.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "decide/hash.h"

namespace banyanledge
{

namespace
{

// Age at which a load report has lost all of its weight.
constexpr milliseconds reportLifetime{1000};

// Time for which the number of other hosts' requests is used.
constexpr milliseconds otherHostsLifetime{1500};

// Consecutive failures after which a server is ejected.
constexpr unsigned ejectAfter = 3;

// First and longest ejection time; it doubles with each further failure.
constexpr milliseconds firstEjection{500};
constexpr milliseconds longestEjection{4000};

// Time for which a server gets no requests after it refused one as full and did not report its load.
constexpr milliseconds refusalPause{60};

// Number of servers that are considered for one object, in hash order.
constexpr std::size_t maxConsidered = 3;

// Cost of each step to the next server in hash order, in queued requests per slot: it may not have the object cached.
constexpr double nextServerCost = 1.3;

} // namespace

double estimatedLoad(const ServerState &state, Time now)
{
    const bool othersKnown =
        state.process.othersUpdatedAt != Time{} && now < state.process.othersUpdatedAt + otherHostsLifetime;
    const double own = state.inFlight + (othersKnown ? state.process.otherHostsInFlight : 0);
    const double age = state.process.reportedAt == Time{}
        ? 1
        : std::chrono::duration<double>(now - state.process.reportedAt) / std::chrono::duration<double>(reportLifetime);
    if (age >= 1) {
        return own;
    }
    const double reported = state.process.reportedLoad + state.inFlight - state.process.inFlightAtReport;
    return std::max(own, own + (reported - own) * (1 - age));
}

void recordReport(ServerState &state, double requests, Time now)
{
    state.process.reportedLoad = requests;
    state.process.inFlightAtReport = state.inFlight;
    state.process.reportedAt = now;
}

bool recordServerSuccess(ServerState &state, milliseconds warmup, Time now)
{
    // A server that failed for long has probably restarted and is cold.
    if (state.consecutiveFailures > ejectAfter) {
        state.coldUntil = std::max(state.coldUntil, now + warmup);
    }
    const bool readmitted = state.consecutiveFailures >= ejectAfter;
    state.consecutiveFailures = 0;
    state.ejectedUntil = {};
    return readmitted;
}

bool recordServerFailure(ServerState &state, Time now)
{
    ++state.consecutiveFailures;
    if (state.consecutiveFailures >= ejectAfter) {
        const auto ejection = firstEjection * (1 << std::min(state.consecutiveFailures - ejectAfter, 4U));
        state.ejectedUntil = now + std::min<Duration>(ejection, longestEjection);
    }
    return state.consecutiveFailures == ejectAfter;
}

void recordRefusal(ServerState &state, Time now)
{
    state.process.refusedUntil = now + refusalPause;
}

bool takesRequests(const ServerState &state, Time now)
{
    return !state.process.leaving && now >= state.process.pausedUntil;
}

bool healthy(const ServerState &state, Time now)
{
    // After the ejection time one trial request at a time tests whether the server is back.
    return state.consecutiveFailures < ejectAfter || (now >= state.ejectedUntil && state.trialRequests == 0);
}

namespace
{

// A server and its rendezvous hash with an object.
struct RankedServer
{
    std::uint64_t hash = 0;
    std::size_t index = 0; // into the candidates
};

// The servers with the highest rendezvous hashes, in descending order.
struct Ranking
{
    std::array<RankedServer, maxConsidered + 1> servers{};
    std::size_t size = 0;
    bool anyHealthy = false; // whether any untried server is healthy, also a cold one
    std::optional<Time> pauseEnd; // of the healthy server whose pause ends first

    void add(const RankedServer &added)
    {
        std::size_t position = size;
        while (position > 0 && servers[position - 1].hash < added.hash) {
            --position;
        }
        for (std::size_t j = std::min(size, maxConsidered); j > position; --j) {
            servers[j] = servers[j - 1];
        }
        if (position <= maxConsidered) {
            servers[position] = added;
            size = std::min(size + 1, maxConsidered + 1);
        }
    }
};

bool allowedByNamedLimit(const Candidate &candidate, Time now)
{
    return candidate.state->process.limit.allows(candidate.limitSharers.value_or(LimitSharers()), now);
}

// Without affinity the object's hash is random, which distributes the requests.
Ranking rankServers(const std::vector<Candidate> &candidates, const PlacementRequest &request,
                    const std::vector<std::size_t> &excluded, Time now)
{
    Ranking ranking;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        const bool wasTried = request.tried != nullptr && request.tried->contains(*candidate.id);
        if (wasTried || candidate.state->process.leaving || !healthy(*candidate.state, now)) {
            continue;
        }
        if (!takesRequests(*candidate.state, now)) {
            const Time pauseEnd = candidate.state->process.pausedUntil;
            ranking.pauseEnd = std::min(ranking.pauseEnd.value_or(pauseEnd), pauseEnd);
            continue;
        }
        // A server that ended may be tried, but requests need not wait for it.
        ranking.anyHealthy = ranking.anyHealthy || !candidate.state->ended;
        const bool allowedWhileCold = !isCold(*candidate.state, now) || candidate.coldRate.value_or(0) >= 1;
        if (allowedWhileCold && allowedByNamedLimit(candidate, now)
            && std::find(excluded.begin(), excluded.end(), i) == excluded.end()) {
            ranking.add({mixHashes(candidate.hash, request.object), i});
        }
    }
    ranking.size = std::min(ranking.size, maxConsidered);
    return ranking;
}

// Counts the request against the rate limits of a cold or limited server; false when one of them is reached.
bool takeFromLimits(const Candidate &candidate, Time now)
{
    ServerState &state = *candidate.state;
    if (!allowedByNamedLimit(candidate, now)) {
        return false;
    }
    if (isCold(*candidate.state, now) && !state.coldLimiter.take(candidate.coldRate.value_or(0), now)) {
        return false;
    }
    state.process.limit.count();
    return true;
}

// Chooses the server of lowest cost; a cold server's rate limit is not checked.
Placement chooseRanked(const std::vector<Candidate> &candidates, const PlacementRequest &request,
                       const Ranking &ranking, Time now)
{
    Placement result;
    result.status = ranking.anyHealthy || ranking.pauseEnd ? PlacementStatus::Full : PlacementStatus::NoServer;
    result.pauseEnd = ranking.anyHealthy ? std::nullopt : ranking.pauseEnd;
    double lowestCost = 0;
    for (std::size_t rank = 0; rank < ranking.size; ++rank) {
        const std::size_t index = ranking.servers[rank].index;
        const Candidate &candidate = candidates[index];
        const double load = (estimatedLoad(*candidate.state, now) + 1) / candidate.slots;
        const double queue = std::max(0.0, load - 1);
        if (queue > request.maxQueuePerSlot || now < candidate.state->process.refusedUntil) {
            continue;
        }
        const double cost = queue + (request.affinity ? nextServerCost * static_cast<double>(rank) : load);
        if (result.status != PlacementStatus::Chosen || cost < lowestCost) {
            result = {PlacementStatus::Chosen, index, load};
            lowestCost = cost;
        }
    }
    return result;
}

} // namespace

Placement placeRequest(const std::vector<Candidate> &candidates, const PlacementRequest &request, Time now)
{
    std::vector<std::size_t> excluded; // cold servers at their rate limit
    for (;;) {
        const Ranking ranking = rankServers(candidates, request, excluded, now);
        const Placement placement = chooseRanked(candidates, request, ranking, now);
        if (placement.status != PlacementStatus::Chosen) {
            return placement;
        }
        const Candidate &chosen = candidates[placement.index];
        if (takeFromLimits(chosen, now)) {
            return placement;
        }
        excluded.push_back(placement.index);
    }
}

} // namespace banyanledge
