#include "decide/pacing.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// A portion occupies the link for at most this time, so that a short request behind one portion of each of ten hosts
// waits less than 20 ms.
constexpr double portionSeconds = 0.002;

// Smaller portions cost more calls to the link's owner than they help: one call per 16 KiB is 27,000 calls/s on a full
// link, shared by all hosts.
constexpr double smallestPortion = 16 * 1024;

// Unused allowance of short bodies that can be saved up.
constexpr double savedSeconds = 0.1;

} // namespace

double longBodyRate(double linkBytesPerSecond)
{
    return linkBytesPerSecond * (1 - shortRequestShare);
}

std::uint64_t nextChunkBytes(std::uint64_t sent, std::uint64_t remaining, unsigned longBodies,
                             double linkBytesPerSecond)
{
    if (sent < shortBodyBytes && (remaining == 0 || sent + remaining <= shortBodyBytes)) {
        return 0;
    }
    const double whole = longBodyRate(linkBytesPerSecond) * portionSeconds;
    const double portion = std::max(smallestPortion, whole / std::max(1U, longBodies));
    const auto bytes = static_cast<std::uint64_t>(portion);
    return remaining == 0 ? bytes : std::min(bytes, remaining);
}

bool takeShortBody(ShortBodyAllowance &allowance, std::uint64_t bytes, unsigned hosts, double linkBytesPerSecond,
                   Time now)
{
    const double rate = linkBytesPerSecond * shortRequestShare / std::max(1U, hosts);
    const double most = std::max(rate * savedSeconds, static_cast<double>(shortBodyBytes));
    const double seconds = std::chrono::duration<double>(now - allowance.updated).count();
    allowance.bytes = allowance.updated == Time{} ? most : std::min(most, allowance.bytes + (rate * seconds));
    allowance.updated = now;
    if (allowance.bytes < static_cast<double>(bytes)) {
        return false;
    }
    allowance.bytes -= static_cast<double>(bytes);
    return true;
}

} // namespace banyanledge
