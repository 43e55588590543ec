// Overload protection of one host: it rejects downloads on a full link and moves callers to other hosts of its region.
#pragma once

#include "decide/rateestimator.h"

namespace banyanledge
{

// Whether a request with a large answer should be accepted now; beyond the limit it would only delay all other answers
// on the link. `answerBytes` estimates the bytes per second sent to callers. A bandwidth of 0 Mbit/s means unknown and
// accepts everything.
bool linkAcceptsDownload(const RateEstimator &answerBytes, double mbps, Time now);

// Fraction of answers, 0 to 1, after which the host closes the caller's connection, so that the caller connects to a
// newly chosen host. Callers keep their connections alive; without this, the hosts that survive a failure would keep
// all of the load and restarted hosts would get none. Rates are in requests per second; `meanRate` is the mean over
// all hosts of the region, 0 if unknown.
double rebalanceFraction(double ownRate, double meanRate);

} // namespace banyanledge
