#include "decide/hostload.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

constexpr double bytesPerMegabit = 125000;

// Part of the link beyond which no more large answers are asked for.
constexpr double largestLinkPart = 0.7;

// Load above the mean that a host keeps: chance makes hosts differ, and each new connection costs the caller a round
// trip.
constexpr double keptFactor = 1.25;
constexpr double keptRequests = 4; // per second

// A connection carries several requests a second at most, so a part of the excess is enough to move it within seconds.
constexpr double leaveSpeed = 0.5;

} // namespace

bool linkTakesDownload(const RateAverage &answers, double mbps, Time now)
{
    return mbps <= 0 || answers.perSecond(now) < mbps * bytesPerMegabit * largestLinkPart;
}

double leavePart(double own, double mean)
{
    const double kept = mean * keptFactor + keptRequests;
    return mean <= 0 || own <= kept ? 0 : std::min(1.0, leaveSpeed * (own - mean) / own);
}

} // namespace banyanledge
