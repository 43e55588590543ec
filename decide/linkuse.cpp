#include "decide/linkuse.h"

#include <cmath>

namespace banyanledge
{

namespace
{

// Time over which the use is averaged.
constexpr double averageSeconds = 1.0;

constexpr double bytesPerMegabit = 125000;

// Part of the link beyond which no more large answers are asked for.
constexpr double largestPart = 0.7;

} // namespace

void LinkUse::add(double bytes, Time now)
{
    const double age = m_updated == Time{} ? 0 : std::chrono::duration<double>(now - m_updated).count();
    m_rate = m_rate * std::exp(-age / averageSeconds) + bytes / averageSeconds;
    m_updated = now;
}

double LinkUse::part(double mbps, Time now) const
{
    if (mbps <= 0 || m_updated == Time{}) {
        return 0;
    }
    const double age = std::chrono::duration<double>(now - m_updated).count();
    return m_rate * std::exp(-age / averageSeconds) / (mbps * bytesPerMegabit);
}

bool linkTakesDownload(const LinkUse &use, double mbps, Time now)
{
    return use.part(mbps, now) < largestPart;
}

} // namespace banyanledge
