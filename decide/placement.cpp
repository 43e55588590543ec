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
    const bool othersKnown = state.othersUpdatedAt != Time{} && now < state.othersUpdatedAt + otherHostsLifetime;
    const double own = state.inFlight + (othersKnown ? state.otherHostsInFlight : 0);
    const double age = state.reportedAt == Time{}
        ? 1
        : std::chrono::duration<double>(now - state.reportedAt) / std::chrono::duration<double>(reportLifetime);
    if (age >= 1) {
        return own;
    }
    const double reported = state.reportedLoad + state.inFlight - state.inFlightAtReport;
    return std::max(own, own + (reported - own) * (1 - age));
}

void recordReport(ServerState &state, double requests, Time now)
{
    state.reportedLoad = requests;
    state.inFlightAtReport = state.inFlight;
    state.reportedAt = now;
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
    state.refusedUntil = now + refusalPause;
}

bool healthy(const ServerState &state, Time now)
{
    // After the ejection time one trial request at a time tests whether the server is back.
    return state.consecutiveFailures < ejectAfter || (now >= state.ejectedUntil && state.trialRequests == 0);
}

Placement placeRequest(const std::vector<Candidate> &candidates, const PlacementRequest &request, Time now)
{
    struct Choice
    {
        std::uint64_t hash = 0;
        std::size_t index = 0;
    };
    // Keep the highest rendezvous hashes; without affinity the object's hash is random, which distributes the requests.
    std::array<Choice, maxConsidered + 1> best{};
    std::size_t found = 0;
    bool anyHealthy = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (request.tried != nullptr && request.tried->contains(*candidate.id)) {
            continue;
        }
        if (!healthy(*candidate.state, now)) {
            continue;
        }
        anyHealthy = true;
        const bool cold = now < candidate.state->coldUntil;
        if (cold && candidate.coldRate < 1) {
            continue;
        }
        const Choice choice{mixHashes(candidate.hash, request.object), i};
        std::size_t position = found;
        while (position > 0 && best[position - 1].hash < choice.hash) {
            --position;
        }
        for (std::size_t j = std::min(found, maxConsidered); j > position; --j) {
            best[j] = best[j - 1];
        }
        if (position <= maxConsidered) {
            best[position] = choice;
            found = std::min(found + 1, maxConsidered + 1);
        }
    }
    found = std::min(found, maxConsidered);
    Placement result;
    result.status = anyHealthy ? PlacementStatus::Full : PlacementStatus::NoServer;
    double lowestCost = 0;
    for (std::size_t rank = 0; rank < found; ++rank) {
        const Candidate &candidate = candidates[best[rank].index];
        const double slots = candidate.slots;
        const double load = (estimatedLoad(*candidate.state, now) + 1) / slots;
        const double queue = std::max(0.0, load - 1);
        if (queue > request.maxQueuePerSlot || now < candidate.state->refusedUntil) {
            continue;
        }
        const double cost = queue + (request.affinity ? nextServerCost * static_cast<double>(rank) : load);
        if (result.status == PlacementStatus::Chosen && cost >= lowestCost) {
            continue;
        }
        // A cold server's rate limit is charged below, only when the server is finally chosen.
        result.status = PlacementStatus::Chosen;
        result.index = best[rank].index;
        result.load = load;
        lowestCost = cost;
    }
    if (result.status == PlacementStatus::Chosen) {
        const Candidate &chosen = candidates[result.index];
        if (now < chosen.state->coldUntil && !chosen.state->coldLimiter.take(chosen.coldRate, now)) {
            std::vector<Candidate> others = candidates;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(result.index));
            Placement other = placeRequest(others, request, now);
            other.index += other.status == PlacementStatus::Chosen && other.index >= result.index ? 1 : 0;
            other.status = other.status == PlacementStatus::NoServer ? PlacementStatus::Full : other.status;
            return other;
        }
    }
    return result;
}

} // namespace banyanledge
