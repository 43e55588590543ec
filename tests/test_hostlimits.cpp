// Each host's share of fleet-wide limits: the sum over the hosts stays within the limits.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include "decide/hostlimits.h"
#include "decide/hostload.h"
#include "decide/nearesthost.h"
#include "decide/shares.h"
#include "decide/tokenstock.h"

using namespace banyanledge;

namespace
{

const Time start = Time{} + std::chrono::hours(1);

proto::Declaration declarationWith(double rate)
{
    proto::Declaration declaration;
    auto *customer = declaration.add_customers();
    customer->set_name("c");
    customer->set_rate(rate);
    customer->set_burst(rate);
    return declaration;
}

// A host that reports its demand and applies the shares that it gets.
struct FakeHost
{
    std::string id;
    RateBucket bucket;
    bool hasShare = false;

    proto::SyncRequest report(double demand) const
    {
        proto::SyncRequest request;
        request.mutable_self()->set_id(id);
        request.mutable_self()->set_incarnation(1);
        auto *use = request.add_rates();
        use->set_customer("c");
        use->set_demand(demand);
        use->set_held(hasShare ? bucket.share() : 0);
        return request;
    }
};

} // namespace

// Guards against large answers on a full link, which delayed all other answers and those of the control leader by
// seconds.
TEST_CASE("downloads are rejected while the link is full")
{
    RateEstimator use;
    CHECK(linkAcceptsDownload(use, 4.4, start));
    for (int i = 0; i < 6; ++i) {
        use.add(90000, start + milliseconds(100 * i));
    }
    const Time now = start + milliseconds(600);
    CHECK(use.perSecond(now) > 0.7 * 4.4 * 125000);
    CHECK_FALSE(linkAcceptsDownload(use, 4.4, now));
    CHECK(linkAcceptsDownload(use, 1000, now));
    CHECK(linkAcceptsDownload(use, 0, now));
    CHECK(linkAcceptsDownload(use, 4.4, now + std::chrono::seconds(1)));
}

// Guards against uneven load after a restart of half of a region's hosts: callers keep their connections, so the other
// hosts kept nearly all callers, up to 185 requests a second on one host and 9 on another.
TEST_CASE("callers move to restarted hosts, and stay where the load is even")
{
    constexpr std::size_t hosts = 10;
    constexpr std::size_t callers = 300;
    constexpr double eachPerSecond = 1;
    std::mt19937 random(1);
    std::uniform_real_distribution<double> draw;
    std::vector<std::size_t> hostOf(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        hostOf[i] = i % (hosts / 2); // the others have just started
    }
    std::array<RateEstimator, hosts> rates;
    std::size_t moved = 0;
    std::size_t movedLate = 0;
    const int steps = 200; // of 100 ms
    for (int step = 0; step < steps; ++step) {
        const Time now = start + milliseconds(100) * step;
        for (std::size_t i = 0; i < callers; ++i) {
            if (draw(random) >= eachPerSecond / 10) {
                continue;
            }
            RateEstimator &own = rates[hostOf[i]];
            own.add(1, now);
            if (draw(random) < rebalanceFraction(own.perSecond(now), callers * eachPerSecond / hosts)) {
                hostOf[i] = random() % hosts;
                ++moved;
                movedLate += step >= steps / 2 ? 1 : 0;
            }
        }
    }
    std::array<std::size_t, hosts> count{};
    for (const std::size_t host : hostOf) {
        ++count[host];
    }
    CHECK(*std::max_element(count.begin(), count.end()) <= 2 * callers / hosts);
    CHECK(*std::min_element(count.begin(), count.end()) >= callers / hosts / 2);
    CHECK(movedLate < callers / 4);
    CHECK(rebalanceFraction(100, 0) == 0);
}

// The budget is the ratio times the requests of all hosts, plus the slack.
TEST_CASE("the retries of all hosts together stay within the service's budget")
{
    const RetryBudgetConfig config{0.2, milliseconds(10000), 56};
    constexpr std::size_t hosts = 8;
    std::vector<HostRetryBudget> shares(hosts);
    double requests = 0;
    double retries = 0;
    for (int i = 0; i < 900; ++i) {
        const Time now = start + milliseconds(10 * i);
        for (auto &share : shares) {
            share.recordRequest(config, now);
            requests += 1;
            retries += share.take(config, hosts, now) ? 1 : 0;
        }
    }
    CHECK(retries > 0.5 * config.ratio * requests);
    CHECK(retries <= config.ratio * requests + config.slack);
}

TEST_CASE("retries are allowed again once the window has passed")
{
    const RetryBudgetConfig config{0.0, milliseconds(1000), 10};
    HostRetryBudget share;
    while (share.take(config, 1, start)) { }
    CHECK_FALSE(share.allows(config, 1, start + milliseconds(900)));
    CHECK(share.allows(config, 1, start + milliseconds(1001)));
}

// A cold server fails if all hosts together send more than it can serve.
TEST_CASE("the hosts' shares of a cold server's rate add up to at most the rate")
{
    for (const double rate : {0.5, 3.0, 14.15, 29.2, 36.5}) {
        for (const std::size_t hosts : {1, 8, 10, 71, 90}) {
            double sum = 0;
            for (std::size_t rank = 0; rank < hosts; ++rank) {
                sum += coldRateShare(rate, hosts, rank);
            }
            CHECK(sum <= rate);
            CHECK(sum > rate - 1);
        }
    }
}

TEST_CASE("the rate limit of a cold server holds in any window of one second")
{
    ColdServerLimiter limiter;
    CHECK(limiter.take(2, start));
    CHECK(limiter.take(2, start + milliseconds(900)));
    CHECK_FALSE(limiter.take(2, start + milliseconds(999)));
    CHECK(limiter.take(2, start + milliseconds(1000)));
    CHECK_FALSE(limiter.take(2, start + milliseconds(1899)));
    CHECK_FALSE(limiter.take(0.5, start + milliseconds(9000)));
}

TEST_CASE("a rate bucket keeps its rate and burst and predicts the time of the next token")
{
    RateBucket bucket;
    CHECK_FALSE(bucket.take(start));
    bucket.setShare(10, 5, start);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        taken += bucket.take(start + milliseconds(i)) ? 1 : 0;
    }
    CHECK(taken >= 14);
    CHECK(taken <= 15);
    CHECK(bucket.timeUntilToken(start + milliseconds(999)) <= milliseconds(100));
    CHECK(bucket.demand(start + milliseconds(999)) > 500);
    // A host that has lost the leader keeps only a fraction, because other hosts get the rest.
    CHECK(bucket.rate(start + rateShareLifetime - milliseconds(1)) == 10);
    CHECK(bucket.rate(start + rateShareLifetime) == Approx(10 * staleShareFraction));
}

// The shares, the pool and hosts that lost the leader together stay within the rate, the burst and the tolerance.
TEST_CASE("a plan uses no more than the rate, the burst and the tolerance")
{
    constexpr double window = 5;
    for (const double rate : {5.0, 40.0, 400.0}) {
        for (const std::size_t hosts : {1, 8, 71}) {
            const RateTolerance tolerance{0.1, 20};
            const auto plan = ratePlan(declarationWith(rate).customers(0), hosts, tolerance);
            const double used = (plan.shareRate + plan.poolRate) * window + plan.shareBurst + plan.poolBurst;
            CHECK(used <= (rate * window + rate) * 1.1 + 20);
        }
    }
    const auto strict = ratePlan(declarationWith(40).customers(0), 8, {});
    CHECK(strict.shareRate + strict.poolRate == Approx(40));
}

TEST_CASE("the leader's pool starts empty and keeps its rate and burst")
{
    RateShareAllocator shares;
    shares.reset({}, start);
    const auto declaration = declarationWith(4);
    const auto &customer = declaration.customers(0);
    CHECK(shares.take(customer, 1, start) == 0);
    double taken = 0;
    for (int i = 1; i <= 1000; ++i) {
        taken += shares.take(customer, 1, start + milliseconds(10 * i));
    }
    const auto plan = ratePlan(customer, 1, {});
    CHECK(taken <= plan.poolRate * 10 + plan.poolBurst);
    CHECK(taken >= plan.poolRate * 10 - 2);
}

// Guards against tokens that a control host keeps, uses late and so adds to those that the pool grants meanwhile.
TEST_CASE("reserved tokens that are used as late as possible keep the tolerance in every window")
{
    constexpr int windowSteps = 500; // of 10 ms
    const RateTolerance tolerance{0.1, 20};
    for (const double rate : {4.0, 16.0, 60.0, 400.0}) {
        CAPTURE(rate);
        RateShareAllocator shares;
        shares.reset(tolerance, start);
        const auto declaration = declarationWith(rate);
        const auto &customer = declaration.customers(0);
        const auto lifetimeSteps = shares.reserveLifetime(customer).count() / 10;
        REQUIRE(lifetimeSteps > 5);
        std::vector<double> used(4000);
        for (std::size_t step = 0; step + 100 < used.size(); ++step) {
            const Time now = start + milliseconds(10 * step);
            // Nothing is used for 8 s, so that the pool is full; then everything that the leader grants.
            if (step % 1000 >= 800) {
                used[step] += shares.take(customer, 100, now);
                used[step + static_cast<std::size_t>(lifetimeSteps)] += shares.takeReserve(customer, 100, now);
            } else if (step % 1000 > 700) {
                used[step + static_cast<std::size_t>(lifetimeSteps)] += shares.takeReserve(customer, 100, now);
            }
        }
        const RatePlan plan = ratePlan(customer, 1, tolerance);
        const double shared = plan.shareRate * 5 + plan.shareBurst;
        const double bound = (rate * 5 + customer.burst()) * (1 + tolerance.overshoot) + tolerance.slack;
        double sum = 0;
        for (std::size_t step = 0; step < used.size(); ++step) {
            sum += used[step] - (step >= windowSteps ? used[step - windowSteps] : 0);
            REQUIRE(sum + shared <= bound);
        }
    }
}

TEST_CASE("requests that wait get tokens before a reserve is granted")
{
    RateShareAllocator shares;
    shares.reset({}, start);
    const auto declaration = declarationWith(4);
    const auto &customer = declaration.customers(0);
    const double burst = ratePlan(customer, 1, {}).poolBurst;
    const Time full = start + std::chrono::seconds(60);
    CHECK(shares.takeReserve(customer, 100, full) <= burst / 2);
    CHECK(shares.takeReserve(customer, 100, full) == 0);
    CHECK(shares.take(customer, 1, full) == 1);
}

TEST_CASE("a stock of tokens follows the demand and forgets what it did not use")
{
    TokenStock stock;
    Time now = start;
    CHECK(stock.refills(now).empty());
    for (int i = 0; i < 40; ++i) {
        now += milliseconds(100);
        CHECK(stock.take("school", 1, now) == 0);
    }
    const auto refills = stock.refills(now);
    REQUIRE(refills.size() == 1);
    CHECK(refills[0].customer == "school");
    CHECK(refills[0].amount >= 3);
    CHECK(refills[0].amount <= 6);
    stock.add("school", 2, now + milliseconds(200), now);
    stock.add("school", 1, now + milliseconds(100), now);
    CHECK(stock.take("school", 1, now) == 1);
    CHECK(stock.take("school", 5, now + milliseconds(150)) == 2); // the one that expires first was used first
    stock.add("school", 4, now + milliseconds(200), now);
    CHECK(stock.take("school", 1, now + milliseconds(200)) == 0);
    CHECK(stock.refills(now + std::chrono::seconds(10)).empty());
}

TEST_CASE("the nearest host is the one with the shortest measured round trip")
{
    NearestHost nearest;
    const std::vector<std::string> hosts{"a", "b", "c"};
    CHECK(nearest.choose(hosts).empty());
    CHECK(nearest.takeDue(hosts, start) == hosts);
    CHECK(nearest.takeDue(hosts, start).empty());
    nearest.recordRoundTrip("a", milliseconds(110));
    nearest.recordRoundTrip("b", milliseconds(3));
    CHECK(nearest.choose(hosts) == "b");
    // A host that failed is measured again before it is used again.
    nearest.recordFailure("b", start);
    CHECK(nearest.choose(hosts) == "a");
    CHECK(nearest.takeDue(hosts, start + milliseconds(1000)) == std::vector<std::string>{"b"});
    nearest.recordRoundTrip("b", milliseconds(4));
    CHECK(nearest.choose(hosts) == "b");
    CHECK(nearest.choose({"c"}).empty());
}

// Reports and answers are lost and hosts stop reporting in any order; the sum of the shares must never exceed the rate.
TEST_CASE("shares never add up to more than the rate")
{
    const bool held = rc::check("sum of shares", [] {
        RateShareAllocator shares;
        const auto declaration = declarationWith(100);
        std::vector<FakeHost> hosts(5);
        std::set<std::string> live;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            hosts[i].id = "h" + std::to_string(i);
            live.insert(hosts[i].id);
        }
        Time now = start;
        shares.reset({}, now);
        for (int step = 0; step < 200; ++step) {
            now += milliseconds(*rc::gen::inRange(1, 400));
            FakeHost &host = hosts[*rc::gen::inRange<std::size_t>(0, hosts.size())];
            if (*rc::gen::inRange(0, 40) == 0) {
                shares.reset({}, now); // a new leader without state
            }
            shares.recordReport(host.report(*rc::gen::inRange(0, 300)), now);
            const auto reply = shares.sharesFor(host.id, declaration, live, now);
            if (*rc::gen::inRange(0, 5) != 0) { // else the answer is lost
                host.bucket.setShare(reply.front().rate(), reply.front().burst(), now);
                host.hasShare = true;
            }
            double sum = 0;
            for (const auto &each : hosts) {
                sum += each.hasShare ? each.bucket.rate(now) : 0;
            }
            RC_ASSERT(sum <= 100 + 1e-6);
        }
    });
    CHECK(held);
}

TEST_CASE("a share follows the demand")
{
    RateShareAllocator shares;
    const auto declaration = declarationWith(100);
    std::vector<FakeHost> hosts(2);
    hosts[0].id = "a";
    hosts[1].id = "b";
    const std::set<std::string> live{"a", "b"};
    Time now = start;
    shares.reset({}, now);
    for (int i = 0; i < 10; ++i) {
        for (auto &host : hosts) {
            now += milliseconds(200);
            shares.recordReport(host.report(host.id == "a" ? 50 : 0), now);
            const auto reply = shares.sharesFor(host.id, declaration, live, now);
            host.bucket.setShare(reply.front().rate(), reply.front().burst(), now);
            host.hasShare = true;
        }
    }
    CHECK(hosts[0].bucket.rate(now) > 60);
    CHECK(hosts[1].bucket.rate(now) > 5);
}
