// How much of a host's link its answers use.
#pragma once

#include "base/types.h"

namespace banyanledge
{

class LinkUse
{
public:
    // Counts bytes of answers that were handed to callers.
    void add(double bytes, Time now);

    // Part of the link in use, averaged over about a second; 0 when the bandwidth (in Mbit/s) is unknown.
    double part(double mbps, Time now) const;

private:
    double m_rate = 0; // bytes per second
    Time m_updated{};
};

// Whether a large answer should be asked for now: beyond the limit it would only delay all others on the link.
bool linkTakesDownload(const LinkUse &use, double mbps, Time now);

} // namespace banyanledge
