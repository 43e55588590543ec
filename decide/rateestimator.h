// Exponentially decaying estimate of a rate.
#pragma once

#include "base/types.h"

namespace banyanledge
{

// Estimates an amount per second with a time constant of one second.
class RateEstimator
{
public:
    // Adds an amount that was observed at `now`.
    void add(double amount, Time now);

    // Estimated amount per second; 0 before the first add().
    double perSecond(Time now) const;

private:
    double m_rate = 0; // amount per second at `m_updated`
    Time m_updated{};
};

} // namespace banyanledge
