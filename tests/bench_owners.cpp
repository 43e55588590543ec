// Nanoseconds per decision of buckets and pools, one JSON line for each case.
#include <cstdio>
#include <deque>
#include <string>

#include "decide/bucket.h"
#include "decide/pool.h"

using namespace banyanledge;

namespace
{

constexpr Time start{std::chrono::hours{1}};
constexpr int rounds = 200000;

template<typename Step>
void measure(const std::string &name, Step step)
{
    Time now = start;
    std::uint64_t granted = 0;
    for (int i = 0; i < rounds / 10; ++i) {
        now += std::chrono::microseconds{5};
        granted += step(i, now);
    }
    granted = 0;
    const Time begin = Clock::now();
    for (int i = 0; i < rounds; ++i) {
        now += std::chrono::microseconds{5};
        granted += step(i, now);
    }
    const double ns = std::chrono::duration<double, std::nano>(Clock::now() - begin).count() / rounds;
    // The count of grants reveals changes of behaviour.
    std::printf("{\"bench\":\"%s\",\"ns_per_decision\":%.0f,\"granted\":%llu}\n", name.c_str(), ns,
                static_cast<unsigned long long>(granted));
}

void bucketGrant(std::size_t holders)
{
    Bucket bucket({1e6, 1e6}, 1e6, 0, Duration{}, start, 1);
    std::vector<GrantRequest> asks;
    for (std::size_t i = 0; i < holders; ++i) {
        asks.push_back({{"h" + std::to_string(i), 1}, 0, 5, 1, {}});
    }
    measure("bucket grant, " + std::to_string(holders) + " holders", [&](int i, Time now) {
        GrantRequest &ask = asks[static_cast<std::size_t>(i) % holders];
        ++ask.call;
        const GrantReply answer = bucket.handleRequest(ask, now);
        ask.uses = {{answer.id, answer.granted, 0}};
        return answer.granted > 0 ? 1 : 0;
    });
}

void purseTake()
{
    TokenCache purse({"h", 1}, start);
    std::uint64_t id = 0;
    measure("purse take", [&](int, Time now) {
        purse.recordDemand(1, now);
        const bool taken = purse.take(1, now);
        if (const auto ask = purse.nextRequest(taken ? 0 : 1, 1, now)) {
            purse.handleReply({ask->want, ++id, {}}, grantTerm, now);
        }
        return taken ? 1 : 0;
    });
}

// Acquire and release, with the pool half full or with a queue of waiting requests.
void poolRound(std::size_t customers, std::size_t servers, bool contended)
{
    Pool pool(1, start);
    std::vector<PoolServer> list;
    for (std::size_t i = 0; i < servers; ++i) {
        list.push_back({"s" + std::to_string(i), "127.0.0.1:1", 4, 330, true});
    }
    pool.setServers(list, start);
    const std::size_t most = contended ? servers * 4 : servers * 2;
    std::deque<std::uint64_t> leases;
    const std::string name = "pool acquire and release, " + std::to_string(customers) + " customers, "
        + std::to_string(servers) + " servers, " + (contended ? "queueing" : "half full");
    measure(name, [&](int i, Time now) {
        PoolRequest wish;
        wish.customer = "c" + std::to_string(static_cast<std::size_t>(i) % customers);
        wish.deadline = now + milliseconds{30000};
        wish.waitUntil = now + milliseconds{10000};
        if (leases.size() >= most) {
            pool.release(leases.front(), proto::OUTCOME_OK, milliseconds{1}, now);
            leases.pop_front();
        }
        pool.acquire(wish, now);
        int granted = 0;
        for (const PoolDecision &decision : pool.poll(now)) {
            if (decision.grant.kind == proto::ERROR_NONE) {
                leases.push_back(decision.grant.lease);
                ++granted;
            }
        }
        if (contended && pool.waiting() < 32) {
            pool.acquire(wish, now);
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
    purseTake();
    for (const bool contended : {false, true}) {
        for (const std::size_t customers : {8, 1000}) {
            for (const std::size_t servers : {14, 200}) {
                poolRound(customers, servers, contended);
            }
        }
    }
    return 0;
}
