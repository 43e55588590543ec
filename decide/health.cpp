#include "decide/health.h"

#include <algorithm>
#include <cmath>

namespace banyanledge
{

namespace
{

// Scores above which a server is ejected and up to which an ejected one may be readmitted.
constexpr double ejectAbove = 0.5;
constexpr double readmitBelow = 0.3;

// Minimum duration of an ejection, so that a flapping server does not get requests after each probe.
constexpr milliseconds minEjectionTime{2000};

// Weight of a probe relative to one outcome; outcomes soon outweigh a health endpoint that reports wrongly.
constexpr double probeWeight = 2;

// Minimum total weight of the evidence, so that a few outcomes alone do not eject a server.
constexpr double minEvidenceWeight = 3;

// Weight of a shed request as a failure, relative to a failed one; a server that sheds load is busy, not broken.
constexpr double shedFailureWeight = 0.25;

// Time for which a server counts as leaving after the last answer or probe that said so.
constexpr milliseconds leavingLifetime{5000};

// Largest usable fraction of the slots of a server that reports a cold cache.
constexpr double maxColdFraction = 0.5;

// Weight of the newest latency in the moving average.
constexpr double latencyWeight = 0.1;

} // namespace

Health::Health(bool warm, Time now)
    : m_outcomeAt(now)
    , m_probeAt(now)
    , m_leavingUntil(now)
    , m_rampStart(warm ? now - warmupRampTime : now)
    , m_ejectedAt(now)
{
}

void Health::recordOutcome(proto::Outcome outcome, Duration latency, Time now)
{
    if (outcome == proto::OUTCOME_CANCELLED) {
        return; // says nothing about the server
    }
    if (outcome == proto::OUTCOME_LEAVING) {
        m_leavingUntil = now + leavingLifetime;
        return;
    }
    m_good = decayed(m_good, m_outcomeAt, now, outcomeHalfLife);
    m_bad = decayed(m_bad, m_outcomeAt, now, outcomeHalfLife);
    m_outcomeAt = now;
    const double bad = outcome == proto::OUTCOME_OK ? 0 : outcome == proto::OUTCOME_SHED ? shedFailureWeight : 1;
    m_bad += bad;
    m_good += 1 - bad;
    if (outcome == proto::OUTCOME_OK && latency > Duration{}) {
        const auto step = static_cast<double>((latency - m_latency).count()) * latencyWeight;
        m_latency = m_latency == Duration{} ? latency : m_latency + Duration(static_cast<Duration::rep>(step));
    }
}

void Health::recordProbe(const ProbeResult &result, Time now)
{
    m_probed = true;
    m_probeAt = now;
    m_probeFailed = !result.answered;
    if (result.answered) {
        m_cold = result.cold;
        m_leavingUntil = result.leaving ? now + leavingLifetime : now;
    }
}

double Health::failureScore(Time now) const
{
    const double good = decayed(m_good, m_outcomeAt, now, outcomeHalfLife);
    const double bad = decayed(m_bad, m_outcomeAt, now, outcomeHalfLife);
    const double probe = m_probed ? decayed(probeWeight, m_probeAt, now, probeHalfLife) : 0;
    // The minimum weight stands for earlier successes: a single error ejects no server.
    const double weight = std::max(good + bad + probe, minEvidenceWeight);
    return (bad + (m_probeFailed ? probe : 0)) / weight;
}

bool Health::failing(Time now) const
{
    return failureScore(now) > (m_ejected ? readmitBelow : ejectAbove)
        || (m_ejected && now - m_ejectedAt < minEjectionTime);
}

bool Health::leaving(Time now) const
{
    return now < m_leavingUntil;
}

void Health::setEjected(bool ejected, Time now)
{
    if (ejected && !m_ejected) {
        m_ejectedAt = now;
    } else if (!ejected && m_ejected) {
        m_rampStart = now;
        m_bad = 0;
        m_good = 0;
    }
    m_ejected = ejected;
}

bool Health::ejected() const
{
    return m_ejected;
}

double Health::warmFraction(Time now) const
{
    const double ramp =
        std::chrono::duration<double>(now - m_rampStart) / std::chrono::duration<double>(warmupRampTime);
    const bool cold = m_cold && now - m_probeAt < probeHalfLife;
    return std::clamp(ramp, 0.0, cold ? maxColdFraction : 1.0);
}

double Health::errorRate(Time now) const
{
    const double bad = decayed(m_bad, m_outcomeAt, now, outcomeHalfLife);
    const double good = decayed(m_good, m_outcomeAt, now, outcomeHalfLife);
    return bad / std::max(good + bad, 1.0);
}

Duration Health::latency() const
{
    return m_latency;
}

double Health::decayed(double value, Time since, Time now, Duration halfLife) const
{
    return value * std::exp2(-std::chrono::duration<double>(now - since) / std::chrono::duration<double>(halfLife));
}

void updateEjections(const std::vector<Health *> &servers, Time now)
{
    std::vector<std::pair<double, Health *>> failing;
    for (Health *server : servers) {
        if (server->failing(now)) {
            failing.emplace_back(server->failureScore(now) + (server->ejected() ? 1 : 0), server);
        } else {
            server->setEjected(false, now);
        }
    }
    // Servers that are already ejected come first: exchanging them for others would only move the load around.
    std::stable_sort(failing.begin(), failing.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    const auto maxEjected = static_cast<std::size_t>(maxEjectedFraction * static_cast<double>(servers.size()));
    for (std::size_t i = 0; i < failing.size(); ++i) {
        failing[i].second->setEjected(i < maxEjected, now);
    }
}

} // namespace banyanledge
