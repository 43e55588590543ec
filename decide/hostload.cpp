#include "decide/hostload.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

constexpr double bytesPerMegabit = 125000;

// Utilization of the link from which no more downloads are accepted.
constexpr double largestLinkPart = 0.7;

// Load above the mean that a host keeps: random variation makes hosts differ, and each new connection costs the caller
// a round trip.
constexpr double keptFactor = 1.25;
constexpr double keptRequests = 4; // per second

// Fraction of the excess that is moved at once: the rate is an average over a second and shows the effect with delay.
constexpr double rebalanceGain = 0.5;

} // namespace

bool linkAcceptsDownload(const RateEstimator &answers, double mbps, Time now)
{
    return mbps <= 0 || answers.perSecond(now) < mbps * bytesPerMegabit * largestLinkPart;
}

double rebalanceFraction(double own, double mean)
{
    const double kept = mean * keptFactor + keptRequests;
    return mean <= 0 || own <= kept ? 0 : std::min(1.0, rebalanceGain * (own - mean) / own);
}

} // namespace banyanledge
