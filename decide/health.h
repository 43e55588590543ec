// Health of one backend server from passive outcomes, active probes and load reports, and bounded ejection of a pool.
#pragma once

#include <cstddef>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Evidence loses half of its weight in this time.
constexpr milliseconds outcomeHalfLife{2000};
constexpr milliseconds probeHalfLife{5000};

// A readmitted or new server reaches its full slots after this time.
constexpr milliseconds warmupRampTime{10000};

// At most this fraction of a pool is ejected: when more looks unhealthy, the measurement is more likely at fault.
constexpr double maxEjectedFraction = 0.4;

// What a probe found.
struct ProbeResult
{
    bool answered = false;
    bool leaving = false;
    bool cold = false;
    std::uint32_t inFlight = 0;
    Duration latency{};
};

class Health
{
public:
    // `warm` servers start at full slots, others ramp up from now.
    Health(bool warm, Time now);

    void recordOutcome(proto::Outcome outcome, Duration latency, Time now);
    void recordProbe(const ProbeResult &result, Time now);

    // Badness in 0 to 1 from all evidence, each decayed by age.
    double failureScore(Time now) const;

    // Whether the evidence calls for ejection; pools bound how many are ejected.
    bool failing(Time now) const;

    // Whether the server said, by an answer or a probe, that it is leaving.
    bool leaving(Time now) const;

    // Ejects or readmits; readmission starts the ramp.
    void setEjected(bool ejected, Time now);
    bool ejected() const;

    // Fraction of the slots that may be used, 0 to 1.
    double warmFraction(Time now) const;

    double errorRate(Time now) const; // 0 to 1
    Duration latency() const; // recent time to the first byte

private:
    double decayed(double value, Time since, Time now, Duration halfLife) const;

    double m_good = 0; // decayed counts of outcomes
    double m_bad = 0;
    Time m_outcomeAt;
    bool m_probeFailed = false;
    bool m_cold = false;
    Time m_probeAt;
    bool m_probed = false;
    Time m_leavingUntil;
    Time m_rampStart;
    bool m_ejected = false;
    Time m_ejectedAt;
    Duration m_latency{};
};

// Updates which of the servers are ejected: the worst failing ones, at most maxEjectedFraction of them.
void updateEjections(const std::vector<Health *> &servers, Time now);

} // namespace banyanledge
