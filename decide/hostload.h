// What a host does when it carries more than it should: it refuses large answers on a full link, and lets callers go to
// other hosts of its region.
#pragma once

#include "decide/rateestimator.h"

namespace banyanledge
{

// Whether a large answer should be asked for now: beyond the limit it would only delay all others on the link.
// `answers` is in bytes handed to callers; a bandwidth of 0 Mbit/s is unknown and takes everything.
bool linkAcceptsDownload(const RateEstimator &answers, double mbps, Time now);

// Part of the answers, 0 to 1, after which the host closes the caller's connection, so that the caller connects to a
// host that it draws anew. Callers keep their connections; without this, hosts that outlived the others keep all the
// load, and started ones get none. Rates are in requests per second, `mean` that of all hosts of the region; 0 is
// unknown.
double rebalanceFraction(double own, double mean);

} // namespace banyanledge
