// Health of a backend server from request outcomes and active probes, and bounded outlier ejection in a pool.
#pragma once

#include <cstddef>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Half-lives with which the evidence from request outcomes and from the last probe decays.
constexpr milliseconds outcomeHalfLife{2000};
constexpr milliseconds probeHalfLife{5000};

// Time over which the usable slots of a new or readmitted server rise to all of its slots (slow start).
constexpr milliseconds warmupRampTime{10000};

// Largest fraction of a pool that is ejected. If more servers look unhealthy, the measurement is probably wrong.
constexpr double maxEjectedFraction = 0.4;

// Result of a health probe.
struct ProbeResult
{
    bool answered = false;
    bool leaving = false; // the server is shutting down or draining
    bool cold = false; // the server's cache is cold
    std::uint32_t inFlight = 0; // requests that the server reports as running
    Duration latency{};
    std::int64_t startedMs = 0; // start of the server's process by its own clock, Unix ms; 0: it does not say
};

// Decaying evidence on one backend server from requests and probes, with its ejection and slow-start state.
class Health
{
public:
    // A `warm` server starts with all of its slots, others ramp up from `now`.
    Health(bool warm, Time now);

    // Adds the outcome of a request as evidence. A cancelled request counts as none.
    void recordOutcome(proto::Outcome outcome, Duration latency, Time now);

    // Replaces the evidence of the previous probe.
    void recordProbe(const ProbeResult &result, Time now);

    // Weighted share of bad evidence, 0 to 1, decayed by age.
    double failureScore(Time now) const;

    // Whether the evidence calls for ejection; updateEjections() limits how many servers are ejected.
    bool failing(Time now) const;

    // Whether the server recently said in an answer or a probe that it is leaving.
    bool leaving(Time now) const;

    // Ejects or readmits; readmission starts the ramp.
    void setEjected(bool ejected, Time now);
    bool ejected() const;

    // Fraction of the slots that may be used, 0 to 1, limited by the ramp and by a cold cache.
    double warmFraction(Time now) const;

    double errorRate(Time now) const; // of recent outcomes without probes, 0 to 1
    Duration latency() const; // moving average of the time to the first byte

private:
    double decayed(double value, Time since, Time now, Duration halfLife) const;

    double m_good = 0; // decayed counts of outcomes
    double m_bad = 0;
    Time m_outcomeAt;
    bool m_probeFailed = false;
    bool m_cold = false;
    Time m_probeAt;
    bool m_probed = false; // whether any probe was recorded
    Time m_leavingUntil;
    Time m_rampStart;
    bool m_ejected = false;
    Time m_ejectedAt;
    Duration m_latency{};
};

// Ejects the failing servers with the highest scores, at most maxEjectedFraction of all, and readmits the others.
void updateEjections(const std::vector<Health *> &servers, Time now);

} // namespace banyanledge
