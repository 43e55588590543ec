// An amount per second, averaged over about a second with exponential decay.
#pragma once

#include "base/types.h"

namespace banyanledge
{

class RateEstimator
{
public:
    void add(double amount, Time now);

    double perSecond(Time now) const;

private:
    double m_rate = 0; // at `m_updated`
    Time m_updated{};
};

} // namespace banyanledge
