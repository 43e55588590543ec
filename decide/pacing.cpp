#include "decide/pacing.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Longest time for which a chunk occupies the link. A short request behind one chunk of each of ten hosts waits less
// than 20 ms.
constexpr double maxChunkSeconds = 0.002;

// Minimum chunk size: smaller chunks would cost too many calls to the link's owner. One call per 16 KiB is 27,000
// calls/s on a full link, shared by all hosts.
constexpr double minChunkBytes = 16 * 1024;

// Burst of the allowance for short bodies, as the time in which it refills.
constexpr double burstSeconds = 0.1;

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
    const double maxChunk = longBodyRate(linkBytesPerSecond) * maxChunkSeconds;
    const double chunk = std::max(minChunkBytes, maxChunk / std::max(1U, longBodies));
    const auto bytes = static_cast<std::uint64_t>(chunk);
    return remaining == 0 ? bytes : std::min(bytes, remaining);
}

bool takeShortBody(ShortBodyAllowance &allowance, std::uint64_t bytes, unsigned hosts, double linkBytesPerSecond,
                   Time now)
{
    const double rate = linkBytesPerSecond * shortRequestShare / std::max(1U, hosts);
    const double maxBytes = std::max(rate * burstSeconds, static_cast<double>(shortBodyBytes));
    const double seconds = std::chrono::duration<double>(now - allowance.updated).count();
    allowance.bytes = allowance.updated == Time{} ? maxBytes : std::min(maxBytes, allowance.bytes + (rate * seconds));
    allowance.updated = now;
    if (allowance.bytes < static_cast<double>(bytes)) {
        return false;
    }
    allowance.bytes -= static_cast<double>(bytes);
    return true;
}

} // namespace banyanledge
