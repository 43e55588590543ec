// Pacing of long bodies on a link between regions, so that they don't delay short requests.
#pragma once

#include <cstdint>

#include "base/types.h"

namespace banyanledge
{

// Fraction of a link's capacity that is reserved for short requests.
constexpr double shortRequestShare = 0.1;

// Largest size of a short body; at 4 Gbit/s it occupies a link for 0.13 ms.
constexpr std::uint64_t shortBodyBytes = 65536;

// Rate in bytes per second at which a link's token bucket grants capacity to long bodies.
double longBodyRate(double linkBytesPerSecond);

// Size in bytes of the next chunk of a body, to be taken from the link's token bucket. `sent` bytes were sent already,
// `remaining` are known to follow (0: unknown length), `longBodies` is the number of long bodies that this host now
// sends over the link. Returns 0 if nothing needs to be taken because the body is still short; then up to
// shortBodyBytes may be sent.
std::uint64_t nextChunkBytes(std::uint64_t sent, std::uint64_t remaining, unsigned longBodies,
                             double linkBytesPerSecond);

// Allowance of one host for short bodies on one link, a token bucket on its part of the reserved capacity.
struct ShortBodyAllowance
{
    double bytes = 0; // available
    Time updated{};
};

// Takes a short body of `bytes` from the allowance of this host, one of `hosts`. Returns false if it doesn't fit; the
// body then has to take its bytes from the link's token bucket like a long one.
bool takeShortBody(ShortBodyAllowance &allowance, std::uint64_t bytes, unsigned hosts, double linkBytesPerSecond,
                   Time now);

} // namespace banyanledge
