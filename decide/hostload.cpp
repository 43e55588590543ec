#include "decide/hostload.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

constexpr double bytesPerMegabit = 125000;

// Utilization of the link from which no more downloads are accepted.
constexpr double maxLinkUtilization = 0.7;

// Request rate up to which a host moves no callers: this multiple of the mean plus a constant. Random variation makes
// hosts differ, and each new connection costs the caller a round trip.
constexpr double toleratedFactor = 1.25;
constexpr double toleratedExcess = 4; // requests per second

// Fraction of the excess that is moved at once: the rate is an average over a second and shows the effect with delay.
constexpr double rebalanceGain = 0.5;

} // namespace

bool linkAcceptsDownload(const RateEstimator &answerBytes, double mbps, Time now)
{
    return mbps <= 0 || answerBytes.perSecond(now) < mbps * bytesPerMegabit * maxLinkUtilization;
}

double rebalanceFraction(double ownRate, double meanRate)
{
    const double tolerated = meanRate * toleratedFactor + toleratedExcess;
    return meanRate <= 0 || ownRate <= tolerated ? 0 : std::min(1.0, rebalanceGain * (ownRate - meanRate) / ownRate);
}

} // namespace banyanledge
