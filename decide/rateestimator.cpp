#include "decide/rateestimator.h"

#include <cmath>

namespace banyanledge
{

namespace
{

// Time constant of the exponential decay.
constexpr double averageSeconds = 1.0;

double decay(Duration age)
{
    return std::exp(-std::chrono::duration<double>(age).count() / averageSeconds);
}

} // namespace

void RateEstimator::add(double amount, Time now)
{
    m_rate = (m_updated == Time{} ? 0 : m_rate * decay(now - m_updated)) + amount / averageSeconds;
    m_updated = now;
}

double RateEstimator::perSecond(Time now) const
{
    return m_updated == Time{} ? 0 : m_rate * decay(now - m_updated);
}

} // namespace banyanledge
