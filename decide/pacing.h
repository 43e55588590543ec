// How long bodies share a link between regions with short requests.
#pragma once

#include <cstdint>

#include "base/types.h"

namespace banyanledge
{

// Part of a link that is kept for short requests.
constexpr double shortRequestShare = 0.1;

// Bodies up to this size count as short: at 4 Gbit/s they occupy a link for 0.13 ms.
constexpr std::uint64_t shortBodyBytes = 65536;

// Bytes per second that the bucket of a link grants to long bodies, of a link's capacity in bytes per second.
double longBodyRate(double linkBytesPerSecond);

// Bytes that a body may take from the link's bucket at once. `sent` bytes have passed already, `remaining` are known
// to follow (0: unknown length), `longBodies` is the number of long bodies that this host sends over the link now.
// 0 means that nothing needs to be taken, because the body is still short; send up to shortBodyBytes then.
std::uint64_t nextChunkBytes(std::uint64_t sent, std::uint64_t remaining, unsigned longBodies,
                             double linkBytesPerSecond);

// Short bytes of one host over one link, bounded by the share that is kept for them.
struct ShortBodyAllowance
{
    double bytes = 0;
    Time updated{};
};

// Whether a short body of `bytes` fits into this host's part (one of `hosts`) of the reserved share; takes it when
// true. When false, the body takes its bytes from the link's bucket as a long one does.
bool takeShortBody(ShortBodyAllowance &allowance, std::uint64_t bytes, unsigned hosts, double linkBytesPerSecond,
                   Time now);

} // namespace banyanledge
