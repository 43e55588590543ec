// Retry policy, client blocks compared with a linear search, and pacing of long bodies on a link.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

#include "decide/bucket.h"
#include "decide/lookup.h"
#include "decide/pacing.h"
#include "decide/retry.h"

using namespace banyanledge;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr double linkRate = 5e8; // 4 Gbit/s
const Time begin{std::chrono::hours(1)};

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Longest wait in seconds of a short body of 16 KiB on a link that eight hosts fill with long bodies for one second.
// The hosts send chunks in turn; without pacing each sends 1 MB whenever its last one has left.
double longestShortWait(bool paced)
{
    std::mt19937_64 random(seed);
    const double rate = longBodyRate(linkRate);
    Bucket bucket({rate, rate * 0.05}, 0, 0, milliseconds(0), begin, 1);
    double linkFreeAt = 0;
    double longest = 0;
    double nextShort = 0;
    std::uint64_t call = 0;
    for (double now = 0; now < 1; now += 0.0001) {
        for (std::uint64_t host = 0; host < 8; ++host) {
            double bytes = 1e6;
            if (paced) {
                const auto chunk = static_cast<double>(nextChunkBytes(1 << 20, 1 << 30, 4, linkRate));
                const GrantReply answer = bucket.handleRequest({{std::to_string(host), 1}, ++call, chunk, chunk, {}},
                                                               begin + fromSeconds(now));
                bytes = answer.granted;
                // What was granted is sent at once; the report frees the bucket for the next grant.
                if (bytes > 0) {
                    bucket.handleRequest({{std::to_string(host), 1}, ++call, 0, 0, {{answer.id, bytes, 0}}},
                                         begin + fromSeconds(now));
                }
            } else if (linkFreeAt - now > 8e6 / linkRate) {
                continue;
            }
            linkFreeAt = std::max(linkFreeAt, now) + (bytes / linkRate);
        }
        if (now >= nextShort) {
            nextShort = now - (std::log(1 - (static_cast<double>(random() >> 11U) * 0x1.0p-53)) / 1500);
            linkFreeAt = std::max(linkFreeAt, now) + (16384 / linkRate);
            longest = std::max(longest, linkFreeAt - now);
        }
    }
    return longest;
}

} // namespace

// Guards against long transfers of one customer that delay every short request on the link.
TEST_CASE("short requests are not starved by long bodies on a full link")
{
    const double paced = longestShortWait(true);
    const double unpaced = longestShortWait(false);
    CAPTURE(paced, unpaced);
    REQUIRE(paced < 0.005);
    REQUIRE(unpaced > 3 * paced);
}

TEST_CASE("chunks shrink with the number of long bodies and never exceed what remains")
{
    REQUIRE(nextChunkBytes(0, shortBodyBytes, 1, linkRate) == 0);
    REQUIRE(nextChunkBytes(shortBodyBytes, 0, 1, linkRate) == 900000);
    REQUIRE(nextChunkBytes(shortBodyBytes, 0, 9, linkRate) == 100000);
    REQUIRE(nextChunkBytes(shortBodyBytes, 0, 1000, linkRate) == 16384);
    REQUIRE(nextChunkBytes(shortBodyBytes, 1000, 1, linkRate) == 1000);
}

TEST_CASE("short bodies of all hosts together take at most their share of a link")
{
    ShortBodyAllowance allowance;
    const double hostRate = linkRate * shortRequestShare / 10;
    double taken = 0;
    for (int i = 0; i <= 20000; ++i) {
        taken += takeShortBody(allowance, 50000, 10, linkRate, begin + std::chrono::microseconds(i * 100)) ? 50000 : 0;
    }
    // The rate over two seconds and the burst.
    REQUIRE(taken <= hostRate * 2.1);
    REQUIRE(taken >= hostRate * 1.9);
}

TEST_CASE("a retry is refused when it could do harm or come too late")
{
    const Time now = begin;
    const auto allowed = [&](Attempt attempt) {
        RetryBudget budget{5, now};
        return mayRetry(budget, attempt, now);
    };
    REQUIRE(allowed({true, true, false, 1, milliseconds(100)}));
    REQUIRE(allowed({false, false, false, 1, milliseconds(100)}));
    REQUIRE_FALSE(allowed({false, true, false, 1, milliseconds(100)}));
    REQUIRE_FALSE(allowed({true, true, true, 1, milliseconds(100)}));
    REQUIRE_FALSE(allowed({true, true, false, 3, milliseconds(100)}));
    REQUIRE_FALSE(allowed({true, true, false, 1, milliseconds(15)}));
    REQUIRE(retryDelay(1, 1) == milliseconds(10));
    REQUIRE(retryDelay(2, 0) == milliseconds(10));
    REQUIRE(retryDelay(60, 1) == milliseconds(500));
}

TEST_CASE("a service with few requests may retry once in a second")
{
    RetryBudget budget;
    const Attempt attempt{true, true, false, 1, std::chrono::seconds(30)};
    int retries = 0;
    for (int i = 0; i < 100; ++i) {
        const Time now = begin + milliseconds(i * 500);
        addRetryCredit(budget, now);
        retries += mayRetry(budget, attempt, now) ? 1 : 0;
    }
    REQUIRE(retries == 50);
}

TEST_CASE("client blocks agree with a search through all blocks")
{
    std::mt19937_64 random(seed);
    std::vector<ClientBlocks::Block> blocks;
    for (std::uint16_t site = 0; site < 400; ++site) {
        const auto prefix = static_cast<std::uint8_t>(random() % 33);
        // Few distinct first bytes, so that blocks nest and repeat.
        const std::uint64_t address = (random() % 3 << 30U) | (random() % 4 << 20U) | (random() % 64);
        const std::uint64_t mask = 0xFFFFFFFFULL << (32U - prefix);
        blocks.push_back({static_cast<std::uint32_t>(address & mask), prefix, site});
    }
    std::vector<std::string> regions(400);
    for (std::size_t site = 0; site < regions.size(); ++site) {
        regions[site] = std::to_string(site);
    }
    const ClientBlocks table(blocks, regions);
    for (int i = 0; i < 20000; ++i) {
        const ClientBlocks::Block &near = blocks[random() % blocks.size()];
        const auto address = static_cast<std::uint32_t>(near.first + (random() % 5) - 2);
        std::optional<std::string> expected;
        int longest = -1;
        for (const ClientBlocks::Block &block : blocks) {
            const std::uint64_t last = block.first + (1ULL << (32U - block.prefix)) - 1;
            if (address >= block.first && address <= last && block.prefix >= longest) {
                longest = block.prefix;
                expected = regions[block.site];
            }
        }
        REQUIRE(table.regionOf(address) == expected);
    }
}
