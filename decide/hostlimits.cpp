#include "decide/hostlimits.h"

#include <algorithm>
#include <cmath>

namespace banyanledge
{

namespace
{

// Number of buckets in the window of the retry budget.
constexpr int windowBuckets = 10;

// Time constant of the demand estimate; the weight of an arrival halves in 0.7 times this time.
constexpr double demandTimeConstant = 1.0; // seconds

// Fraction of the retry budget that the hosts use. The rest is a margin: hosts count attempts when they send them, but
// the budget counts them when they arrive, possibly in another window.
constexpr double budgetUtilization = 0.8;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void HostRetryBudget::expire(const RetryBudgetConfig &config, Time now)
{
    while (!m_buckets.empty() && m_buckets.front().start + config.window <= now) {
        m_buckets.pop_front();
    }
}

HostRetryBudget::WindowBucket &HostRetryBudget::currentBucket(const RetryBudgetConfig &config, Time now)
{
    expire(config, now);
    if (m_buckets.empty() || m_buckets.back().start + config.window / windowBuckets <= now) {
        m_buckets.push_back({now, 0, 0});
    }
    return m_buckets.back();
}

void HostRetryBudget::recordRequest(const RetryBudgetConfig &config, Time now)
{
    currentBucket(config, now).requests += 1;
}

bool HostRetryBudget::allows(const RetryBudgetConfig &config, std::size_t hosts, Time now)
{
    expire(config, now);
    double requests = 0;
    double retries = 0;
    for (const WindowBucket &bucket : m_buckets) {
        requests += bucket.requests;
        retries += bucket.retries;
    }
    const double budget = config.ratio * requests + config.slack / static_cast<double>(std::max<std::size_t>(hosts, 1));
    return retries + 1 <= budgetUtilization * budget;
}

bool HostRetryBudget::take(const RetryBudgetConfig &config, std::size_t hosts, Time now)
{
    if (!allows(config, hosts, now)) {
        return false;
    }
    currentBucket(config, now).retries += 1;
    return true;
}

bool ColdServerLimiter::take(double maxPerSecond, Time now)
{
    while (!m_sent.empty() && m_sent.front() + std::chrono::seconds(1) <= now) {
        m_sent.pop_front();
    }
    if (now < m_pauseEnd || static_cast<double>(m_sent.size()) + 1 > maxPerSecond) {
        return false;
    }
    m_sent.push_back(now);
    return true;
}

void ColdServerLimiter::pauseUntil(Time end)
{
    m_pauseEnd = std::max(m_pauseEnd, end);
}

double coldRateShare(double rate, std::size_t hosts, std::size_t rank)
{
    const double base = std::floor(rate / static_cast<double>(std::max<std::size_t>(hosts, 1)));
    const auto remainder = static_cast<std::size_t>(rate - base * static_cast<double>(hosts));
    return base + (rank < remainder ? 1 : 0);
}

void RateBucket::refill(Time now)
{
    if (m_refilledAt != Time{} && now > m_refilledAt) {
        m_tokens = std::min(burst(now), m_tokens + rate(now) * seconds(now - m_refilledAt));
    }
    m_refilledAt = now;
}

void RateBucket::setShare(double rate, double burst, Time now)
{
    refill(now);
    if (m_shareReceivedAt == Time{}) {
        m_tokens = burst;
    }
    m_rate = rate;
    m_burst = burst;
    m_tokens = std::min(m_tokens, m_burst);
    m_shareReceivedAt = now;
}

double RateBucket::rate(Time now) const
{
    const double held = now < m_shareReceivedAt + rateShareLifetime ? m_rate : m_rate * staleShareFraction;
    return leaderSilent(now) ? std::max(held, m_fallbackRate) : held;
}

bool RateBucket::leaderSilent(Time now) const
{
    return now >= m_shareReceivedAt + leaderSilenceTimeout;
}

double RateBucket::burst(Time now) const
{
    return leaderSilent(now) && m_fallbackRate > 0 ? std::max(m_burst, 1.0) : m_burst;
}

double RateBucket::share() const
{
    return m_rate;
}

void RateBucket::setFallbackRate(double rate)
{
    m_fallbackRate = rate;
}

bool RateBucket::take(Time now)
{
    const double age = seconds(now - m_demandAt);
    m_demand = (m_demandAt == Time{} ? 0 : m_demand * std::exp(-age / demandTimeConstant)) + 1 / demandTimeConstant;
    m_demandAt = now;
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void RateBucket::refund()
{
    m_tokens = std::min(std::max(m_burst, m_tokens), m_tokens + 1);
}

double RateBucket::demand(Time now) const
{
    return m_demandAt == Time{} ? 0 : m_demand * std::exp(-seconds(now - m_demandAt) / demandTimeConstant);
}

Duration RateBucket::timeUntilToken(Time now) const
{
    const double currentRate = rate(now);
    const double missing = std::max(0.0, 1 - m_tokens);
    const double maxWait = 1.0; // seconds
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(currentRate > 0 ? std::min(maxWait, missing / currentRate) : maxWait));
}

} // namespace banyanledge
