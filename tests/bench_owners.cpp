// Nanoseconds per decision of token buckets, token caches and pools, with one JSON line for each case.
#include <cstdio>
#include <deque>
#include <string>

#include "decide/bucket.h"
#include "decide/pool.h"

using namespace banyanledge;

namespace
{

constexpr Time start{std::chrono::hours{1}};
constexpr int iterations = 200000;

// Calls `decide`, which returns the number of grants, every 5 us of simulated time and prints its mean duration. The
// first calls warm up and are not measured.
template<typename Function>
void measure(const std::string &name, Function decide)
{
    Time now = start;
    std::uint64_t granted = 0;
    for (int i = 0; i < iterations / 10; ++i) {
        now += std::chrono::microseconds{5};
        granted += decide(i, now);
    }
    granted = 0;
    const Time started = Clock::now();
    for (int i = 0; i < iterations; ++i) {
        now += std::chrono::microseconds{5};
        granted += decide(i, now);
    }
    const double ns = std::chrono::duration<double, std::nano>(Clock::now() - started).count() / iterations;
    // A different number of grants shows that the behaviour changed.
    std::printf("{\"bench\":\"%s\",\"ns_per_decision\":%.0f,\"granted\":%llu}\n", name.c_str(), ns,
                static_cast<unsigned long long>(granted));
}

void bucketGrant(std::size_t holders)
{
    Bucket bucket({1e6, 1e6}, 1e6, 0, Duration{}, start, 1);
    std::vector<GrantRequest> requests;
    for (std::size_t i = 0; i < holders; ++i) {
        requests.push_back({{"h" + std::to_string(i), 1}, 0, 5, 1, {}});
    }
    measure("bucket grant, " + std::to_string(holders) + " holders", [&](int i, Time now) {
        GrantRequest &request = requests[static_cast<std::size_t>(i) % holders];
        ++request.call;
        const GrantReply reply = bucket.handleRequest(request, now);
        request.uses = {{reply.id, reply.granted, 0}};
        return reply.granted > 0 ? 1 : 0;
    });
}

void tokenCacheTake()
{
    TokenCache cache({"h", 1}, start);
    std::uint64_t id = 0;
    measure("purse take", [&](int, Time now) {
        cache.recordDemand(1, now);
        const bool taken = cache.take(1, now);
        if (const auto request = cache.nextRequest(taken ? 0 : 1, 1, now)) {
            cache.handleReply({request->want, ++id, {}}, grantLifetime, now);
        }
        return taken ? 1 : 0;
    });
}

// Acquires and releases slots while half of the slots are used or, if `contended`, while all are used and requests
// queue.
void poolAcquireRelease(std::size_t customers, std::size_t servers, bool contended)
{
    Pool pool(1, start);
    std::vector<PoolServer> poolServers;
    for (std::size_t i = 0; i < servers; ++i) {
        poolServers.push_back({"s" + std::to_string(i), "127.0.0.1:1", 4, 330, true});
    }
    pool.setServers(poolServers, start);
    const std::size_t maxLeases = contended ? servers * 4 : servers * 2;
    std::deque<std::uint64_t> leases;
    const std::string name = "pool acquire and release, " + std::to_string(customers) + " customers, "
        + std::to_string(servers) + " servers, " + (contended ? "queueing" : "half full");
    measure(name, [&](int i, Time now) {
        PoolRequest request;
        request.customer = "c" + std::to_string(static_cast<std::size_t>(i) % customers);
        request.deadline = now + milliseconds{30000};
        request.waitUntil = now + milliseconds{10000};
        if (leases.size() >= maxLeases) {
            pool.release(leases.front(), proto::OUTCOME_OK, milliseconds{1}, now);
            leases.pop_front();
        }
        pool.acquire(request, now);
        int granted = 0;
        for (const PoolDecision &decision : pool.poll(now)) {
            if (decision.grant.kind == proto::ERROR_NONE) {
                leases.push_back(decision.grant.lease);
                ++granted;
            }
        }
        if (contended && pool.waiting() < 32) {
            pool.acquire(request, now);
        }
        return granted;
    });
}

} // namespace

int main()
{
    for (const std::size_t holders : {1, 10, 1500}) {
        bucketGrant(holders);
    }
    tokenCacheTake();
    for (const bool contended : {false, true}) {
        for (const std::size_t customers : {8, 1000}) {
            for (const std::size_t servers : {14, 200}) {
                poolAcquireRelease(customers, servers, contended);
            }
        }
    }
    return 0;
}
