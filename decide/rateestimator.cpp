#include "decide/rateestimator.h"

#include <cmath>

namespace banyanledge
{

namespace
{

// Time constant of the exponential decay.
constexpr double timeConstant = 1.0; // seconds

double decay(Duration age)
{
    return std::exp(-std::chrono::duration<double>(age).count() / timeConstant);
}

} // namespace

void RateEstimator::add(double amount, Time now)
{
    m_rate = (m_updated == Time{} ? 0 : m_rate * decay(now - m_updated)) + amount / timeConstant;
    m_updated = now;
}

double RateEstimator::perSecond(Time now) const
{
    return m_updated == Time{} ? 0 : m_rate * decay(now - m_updated);
}

} // namespace banyanledge
