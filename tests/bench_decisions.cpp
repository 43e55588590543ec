// Benchmark of the decisions, as JSON lines. --model simulates scenarios under the product's and baseline policies, and
// --cost measures the processor time of each decision; the default is both. --seconds N is the simulated time (default
// 20), --seed N the seed of the workload. The behaviour count on the last line changes only if the product decides
// differently.
#include <chrono>
#include <cstdio>
#include <functional>
#include <iostream>
#include <random>

#include <xxhash.h>

#include "base/log.h"
#include "bench_model.h"
#include "decide/bucket.h"
#include "decide/lookup.h"
#include "decide/pool.h"
#include "decide/route.h"

using namespace banyanledge;
using namespace banyanledge::bench;

namespace
{

constexpr std::uint64_t defaultSeed = 20261204;

const std::vector<Deployment> deployments{{"wales", 1, 12, 3, 12, 14, 3, 6}, {"guatemala", 0.5, 20, 8, 12, 18, 3, 4}};
const std::vector<std::pair<Scenario, std::string>> scenarios{{Scenario::Calm, "calm"},
                                                              {Scenario::Flood, "flood"},
                                                              {Scenario::RegionFailure, "region lost"},
                                                              {Scenario::PartialDrain, "part drained"},
                                                              {Scenario::ShiftToColdRegion, "cold shift"},
                                                              {Scenario::StaleLoadReports, "measurements"}};
const std::vector<std::pair<Policy, std::string>> policies{{Policy::Product, "ours"},
                                                           {Policy::StaticRateSplit, "even rate"},
                                                           {Policy::RoundRobin, "round robin"},
                                                           {Policy::LeastLoaded, "least load"}};

std::uint64_t runModels(double seconds, std::uint64_t seed)
{
    std::uint64_t behaviourHash = 0;
    for (const Deployment &deployment : deployments) {
        for (const auto &[scenario, scenarioName] : scenarios) {
            for (const auto &[policy, policyName] : policies) {
                const double length = scenario == Scenario::ShiftToColdRegion ? seconds * 3 : seconds;
                const ModelResult result = runModel(deployment, scenario, policy, seed, length);
                std::printf(
                    "{\"deployment\": \"%s\", \"scenario\": \"%s\", \"policy\": \"%s\", \"requests\": %lu, "
                    "\"served\": %lu, \"failed\": %lu, \"unjust\": %lu, \"refused_rate\": %lu, \"over_rate\": %lu, "
                    "\"invariants\": %lu, \"cross_region\": %lu, \"median_ms\": %.1f, \"p99_ms\": %.1f, "
                    "\"worst_p99_ms\": %.1f, \"worst_share\": %.4f, \"headroom\": %.3f, "
                    "\"overloaded\": %.3f, \"drain_s\": %.1f}\n",
                    deployment.name.c_str(), scenarioName.c_str(), policyName.c_str(), result.requests, result.served,
                    result.failed, result.unservedWithinRate, result.refusedForRate, result.admittedOverRate,
                    result.invariantViolations, result.crossRegion, result.medianMs, result.p99Ms, result.worstP99Ms,
                    result.worstServedShare, result.headroom, result.overloadedFraction, result.shiftSeconds);
                std::fflush(stdout);
                if (policy == Policy::Product) {
                    behaviourHash = XXH64(&result.decisionHash, sizeof result.decisionHash, behaviourHash);
                }
            }
        }
    }
    return behaviourHash;
}

// Returns the nanoseconds per call in the fastest of three rounds.
double nanoseconds(std::size_t calls, const std::function<void(std::size_t)> &call)
{
    double best = 1e18;
    for (int round = 0; round < 3; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < calls; ++i) {
            call(i);
        }
        const auto elapsed = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start);
        best = std::min(best, elapsed.count() / static_cast<double>(calls));
    }
    return best;
}

// Prints the nanoseconds of a decision at each size, and the slope between the smallest and the largest size.
void printCosts(const std::string &decision, const std::string &dimension, const std::vector<std::size_t> &sizes,
                const std::function<double(std::size_t)> &costAtSize)
{
    std::vector<double> results;
    std::printf("{\"decision\": \"%s\", \"dimension\": \"%s\", \"ns\": {", decision.c_str(), dimension.c_str());
    for (const std::size_t size : sizes) {
        results.push_back(costAtSize(size));
        std::printf("%s\"%zu\": %.0f", results.size() > 1 ? ", " : "", size, results.back());
    }
    const double slope = (results.back() - results.front()) / static_cast<double>(sizes.back() - sizes.front());
    std::printf("}, \"slope_ns\": %.4f}\n", slope);
    std::fflush(stdout);
}

std::shared_ptr<const View> makeView(std::size_t hosts, std::size_t customers, std::size_t servers)
{
    proto::TableContent content;
    content.set_revision(1);
    const std::vector<std::string> regions{"a", "b", "c"};
    for (std::size_t i = 0; i < servers; ++i) {
        proto::Server *server = content.add_servers();
        server->set_id("server" + std::to_string(i));
        server->set_service("service" + std::to_string(i / 3 % 4));
        server->set_region(regions[i % 3]);
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        proto::Member *member = content.add_members();
        member->set_id("host" + std::to_string(i));
        member->set_entry(true);
        member->set_region(regions[i % 3]);
        member->set_state(proto::MEMBER_LIVE);
    }
    for (std::size_t i = 0; i < customers; ++i) {
        proto::Row *row = content.add_rows();
        row->set_service("*");
        row->set_region("*");
        row->set_customer("customer" + std::to_string(i));
        row->set_rate(10);
    }
    return View::next(View(), content, true);
}

double routeCost(std::size_t hosts, std::size_t customers, std::size_t servers)
{
    const auto view = makeView(hosts, customers, servers);
    std::vector<proto::PoolLoad> loads;
    for (const char *service : {"service0", "service1", "service2", "service3"}) {
        for (const char *region : {"a", "b", "c"}) {
            proto::PoolLoad load;
            load.set_service(service);
            load.set_region(region);
            load.set_slots(20);
            load.set_in_use(19);
            loads.push_back(load);
        }
    }
    RoutingState routingState;
    const RouteRequest request{"service2", "customer1", "b"};
    return nanoseconds(20000, [&](std::size_t) { routeRegions(request, *view, loads, routingState, Time{}); });
}

double lookupCost(std::size_t hosts)
{
    const auto view = makeView(hosts, 8, 52);
    const HostIndex index(view);
    return nanoseconds(2000, [&](std::size_t i) { index.hostsFor({"service0", "b", i}, {}, 4); });
}

double bucketCost(std::size_t hosts)
{
    Bucket bucket({1e6, 1e6}, 1e6, 0, milliseconds(0), Time{}, 1);
    std::vector<std::uint64_t> callNumbers(hosts, 0);
    std::vector<std::vector<GrantUse>> uses(hosts);
    Time now{std::chrono::hours(1)};
    return nanoseconds(20000, [&](std::size_t i) {
        const std::size_t host = i % hosts;
        now += std::chrono::microseconds(50);
        const GrantReply reply =
            bucket.handleRequest({{"host" + std::to_string(host), 1}, ++callNumbers[host], 10, 0, uses[host]}, now);
        uses[host] = {{reply.id, reply.granted, 0}};
    });
}

double poolCost(std::size_t customers, std::size_t servers)
{
    Time now{std::chrono::hours(1)};
    Pool pool(1, now);
    std::vector<PoolServer> list;
    for (std::size_t i = 0; i < servers; ++i) {
        list.push_back({"server" + std::to_string(i), "127.0.0.1:1", 4, 0, true});
    }
    pool.setServers(list, now);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < customers; ++i) {
        names.push_back("customer" + std::to_string(i));
    }
    return nanoseconds(20000, [&](std::size_t i) {
        now += std::chrono::microseconds(50);
        pool.acquire(
            {names[i % customers], 1, {}, {"host", 1}, i, now + milliseconds(1000), now + milliseconds(1000), {}}, now);
        for (const PoolDecision &decision : pool.poll(now)) {
            pool.release(decision.grant.lease, proto::OUTCOME_OK, milliseconds(1), now);
        }
    });
}

void benchClientBlocks()
{
    std::mt19937_64 random(defaultSeed);
    std::vector<ClientBlocks::Block> blocks;
    for (std::size_t i = 0; i < 1000000; ++i) {
        const auto prefix = static_cast<std::uint8_t>(16 + (random() % 9));
        const auto first = static_cast<std::uint32_t>(random()) & ~((1U << (32U - prefix)) - 1);
        blocks.push_back({first, prefix, static_cast<std::uint16_t>(random() % 290)});
    }
    const auto start = std::chrono::steady_clock::now();
    const ClientBlocks table(std::move(blocks), std::vector<std::string>(290, "region-07"));
    const double buildSeconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    std::vector<std::uint32_t> addresses(1 << 16);
    for (std::uint32_t &address : addresses) {
        address = static_cast<std::uint32_t>(random());
    }
    std::size_t found = 0;
    const double ns =
        nanoseconds(1000000, [&](std::size_t i) { found += table.regionOf(addresses[i % addresses.size()]) ? 1 : 0; });
    std::printf("{\"decision\": \"client block\", \"blocks\": %zu, \"ns\": %.0f, \"per_second\": %.0f, "
                "\"bytes_per_block\": %.2f, \"build_s\": %.2f, \"found\": %zu}\n",
                table.size(), ns, 1e9 / ns,
                static_cast<double>(table.memoryBytes()) / static_cast<double>(table.size()), buildSeconds, found);
}

void benchCosts()
{
    printCosts("route", "hosts", {10, 100, 1500}, [](std::size_t size) { return routeCost(size, 8, 52); });
    printCosts("route", "customers", {8, 100, 10000}, [](std::size_t size) { return routeCost(9, size, 52); });
    printCosts("route", "servers", {52, 500, 5000}, [](std::size_t size) { return routeCost(9, 8, size); });
    printCosts("lookup", "hosts", {10, 100, 1500}, lookupCost);
    printCosts("tokens", "hosts", {10, 100, 1500}, bucketCost);
    printCosts("slot", "customers", {8, 100, 10000}, [](std::size_t size) { return poolCost(size, 13); });
    printCosts("slot", "servers", {13, 100, 1000}, [](std::size_t size) { return poolCost(8, size); });
    benchClientBlocks();
}

} // namespace

int main(int argc, char **argv)
{
    startLog("error", "bench");
    bool model = true;
    bool cost = true;
    double seconds = 20;
    std::uint64_t seed = defaultSeed;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--model") {
            cost = false;
        } else if (argument == "--cost") {
            model = false;
        } else if (argument == "--seconds" && i + 1 < argc) {
            seconds = std::stod(argv[++i]);
        } else if (argument == "--seed" && i + 1 < argc) {
            seed = std::stoull(argv[++i]);
        } else {
            std::cerr << "usage: bench_decisions [--model | --cost] [--seconds N] [--seed N]\n";
            return 2;
        }
    }
    const std::uint64_t behaviourHash = model ? runModels(seconds, seed) : 0;
    if (cost) {
        benchCosts();
    }
    if (model) {
        std::printf("{\"behaviour count\": \"%016lx\"}\n", behaviourHash);
    }
    return 0;
}
