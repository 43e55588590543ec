// Choice of regions for requests, shifts between regions, retry budget, look-up of hosts, and client blocks.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

#include "base/error.h"
#include "base/invariant.h"
#include "decide/lookup.h"
#include "decide/pacing.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/shift.h"

using namespace banyanledge;

namespace
{

const std::vector<std::string> threeRegions{"east", "north", "west"};

void addServer(proto::TableContent &content, const std::string &region, bool drained = false)
{
    proto::Server *server = content.add_servers();
    server->set_id("lessons-" + region);
    server->set_service("lessons");
    server->set_region(region);
    server->set_slots(10);
    server->set_drained(drained);
}

void addShift(proto::TableContent &content, const std::string &id, const std::string &to, double step, double cap,
              const std::string &service = "lessons")
{
    proto::Shift *shift = content.add_shifts();
    shift->set_id(id);
    shift->set_service(service);
    shift->set_from_region("north");
    shift->set_to_region(to);
    shift->set_step(step);
    shift->set_cap(cap);
}

void addRow(proto::TableContent &content, const std::string &region, std::uint32_t weight)
{
    proto::Row *row = content.add_rows();
    row->set_service("lessons");
    row->set_region(region);
    row->set_customer("*");
    row->set_weight(weight);
}

void addMember(proto::TableContent &content, const std::string &id, const std::string &region, proto::MemberState state)
{
    proto::Member *member = content.add_members();
    member->set_id(id);
    member->set_entry(true);
    member->set_region(region);
    member->set_state(state);
}

proto::TableContent threeRegionContent()
{
    proto::TableContent content;
    content.set_revision(1);
    for (const std::string &region : threeRegions) {
        addServer(content, region);
    }
    return content;
}

proto::PoolLoad load(const std::string &region, std::uint32_t inUse, std::uint64_t ageMs = 0)
{
    proto::PoolLoad result;
    result.set_service("lessons");
    result.set_region(region);
    result.set_slots(10);
    result.set_in_use(inUse);
    result.set_age_ms(ageMs);
    result.set_warm(1);
    return result;
}

const RouteRequest northRequest{"lessons", "ysgol-un", "north"};

// First choices of `count` requests.
std::map<std::string, int> firstChoices(const View &view, const std::vector<proto::PoolLoad> &loads, int count,
                                        RoutingState &state)
{
    std::map<std::string, int> result;
    for (int i = 0; i < count; ++i) {
        ++result[routeRegions(northRequest, view, loads, state, Time{}).front().region];
    }
    return result;
}

std::map<std::string, int> firstChoices(const proto::TableContent &content, const std::vector<proto::PoolLoad> &loads,
                                        int count)
{
    RoutingState state;
    return firstChoices(*View::next(View(), content, true), loads, count, state);
}

} // namespace

TEST_CASE("requests stay in their region while it can take them")
{
    const auto content = threeRegionContent();
    REQUIRE(firstChoices(content, {}, 100) == std::map<std::string, int>{{"north", 100}});
    REQUIRE(firstChoices(content, {load("north", 5), load("east", 0)}, 100)
            == std::map<std::string, int>{{"north", 100}});
    // A full pool whose load report is too old keeps its requests.
    REQUIRE(firstChoices(content, {load("north", 10, 5000), load("east", 0)}, 100)
            == std::map<std::string, int>{{"north", 100}});
}

// Guards against decisions based on outdated load reports, and against preferring pools without reports.
TEST_CASE("load reports lose weight with age")
{
    REQUIRE(poolHeadroom(nullptr) == 0.5);
    const auto idle = load("east", 0);
    REQUIRE(poolHeadroom(&idle) == 1);
    const auto older = load("east", 0, 2500);
    REQUIRE(poolHeadroom(&older) == Approx(0.75));
    const auto useless = load("east", 0, 5000);
    REQUIRE(poolHeadroom(&useless) == 0.5);
    const auto full = load("east", 10, 4900);
    REQUIRE(poolHeadroom(&full) == 0);
    auto queue = load("east", 10, 2500);
    queue.set_waiting(20);
    REQUIRE(poolUtilization(&queue) == Approx(1.75));
    queue.set_slots(0);
    REQUIRE(poolHeadroom(&queue) == 0);
}

// Guards against hosts that all leave a busy region at once on a delayed report, and against full regions that spill
// over into each other.
TEST_CASE("a region with a long queue spills to regions with free slots, in proportion to them")
{
    const auto content = threeRegionContent();
    const std::vector<proto::PoolLoad> others{load("east", 2), load("west", 4)};
    const auto spill = [&](std::uint32_t waiting) {
        auto loads = others;
        loads.push_back(load("north", 10));
        loads.back().set_waiting(waiting);
        return firstChoices(content, loads, 1200);
    };
    REQUIRE(spill(20) == std::map<std::string, int>{{"north", 1200}});
    const auto half = spill(35);
    REQUIRE(std::abs(half.at("north") - 600) <= 5);
    const auto all = spill(50);
    REQUIRE(all.count("north") == 0);
    // Free fractions 0.8 and 0.6 less the reserve of 0.3.
    REQUIRE(std::abs(all.at("east") - 750) <= 5);

    auto full = load("north", 10);
    full.set_waiting(100);
    REQUIRE(firstChoices(content, {full, load("east", 10), load("west", 8)}, 100)
            == std::map<std::string, int>{{"north", 100}});
}

TEST_CASE("a request that no other region takes at once waits in its own")
{
    RoutingState state;
    const auto view = View::next(View(), threeRegionContent(), true);
    auto busy = load("north", 10);
    busy.set_waiting(50);
    const auto choices = routeRegions(northRequest, *view, {busy, load("east", 0), load("west", 9)}, state, Time{});
    REQUIRE(choices == std::vector<RouteChoice>{{"east", {}, true}, {"north", {}, false}});
    const auto order = routeRegions(northRequest, *view, {load("east", 0), load("west", 1)}, state, Time{});
    REQUIRE(order
            == std::vector<RouteChoice>{
                {"north", {}, false}, {"east", {}, true}, {"west", {}, true}, {"north", {}, false}});
}

TEST_CASE("weight 0, drained servers and missing servers take a region out")
{
    auto content = threeRegionContent();
    addRow(content, "north", 0);
    addRow(content, "east", 300);
    const auto choices = firstChoices(content, {}, 1000);
    REQUIRE(choices.count("north") == 0);
    REQUIRE(std::abs(choices.at("east") - 750) <= 5);

    proto::TableContent drained;
    addServer(drained, "north", true);
    addServer(drained, "west");
    REQUIRE(firstChoices(drained, {}, 10) == std::map<std::string, int>{{"west", 10}});

    RoutingState state;
    REQUIRE(routeRegions(northRequest, View(), {}, state, Time{}).empty());
}

TEST_CASE("several shifts each stay within their cap and together move at most all requests")
{
    setInvariantsFatal(true);
    auto content = threeRegionContent();
    addShift(content, "one", "east", 0.7, 0.7);
    addShift(content, "two", "west", 0.6, 0.6, "*");
    const auto view = View::next(View(), content, true);
    RoutingState state;
    const auto choices = firstChoices(*view, {}, 1300, state);
    REQUIRE(std::abs(choices.at("east") - 700) <= 2);
    REQUIRE(std::abs(choices.at("west") - 600) <= 2);
}

TEST_CASE("a shift does not move requests to a region without headroom while the source has some")
{
    auto content = threeRegionContent();
    addShift(content, "one", "east", 0.5, 0.5);
    REQUIRE(firstChoices(content, {load("east", 10), load("north", 2)}, 100)
            == std::map<std::string, int>{{"north", 100}});
}

TEST_CASE("retries of a failing service stay within a tenth of its requests")
{
    RetryBudget budget;
    Time now{std::chrono::hours(1)};
    int attempts = 0;
    const int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        now += milliseconds(5);
        addRetryCredit(budget, now);
        Attempt attempt{true, true, false, 1, std::chrono::seconds(30)};
        for (++attempts; mayRetry(budget, attempt, now); ++attempts) {
            ++attempt.number;
        }
    }
    REQUIRE(attempts <= 1.15 * requests);
    REQUIRE(attempts >= 1.05 * requests);
}

TEST_CASE("look-ups return live hosts, those of the caller's region first, and distribute callers over equal hosts")
{
    proto::TableContent content;
    addMember(content, "n1", "north", proto::MEMBER_LIVE);
    addMember(content, "n2", "north", proto::MEMBER_LIVE);
    addMember(content, "n3", "north", proto::MEMBER_LEAVING);
    addMember(content, "n4", "north", proto::MEMBER_JOINING);
    addMember(content, "n5", "north", proto::MEMBER_GONE);
    addMember(content, "e1", "east", proto::MEMBER_LIVE);
    const auto view = View::next(View(), content, true);
    std::map<std::string, int> first;
    for (std::uint64_t caller = 0; caller < 1000; ++caller) {
        const auto hosts = lookupHosts({"lessons", "north", caller}, *view, {{"n1", 0.5}}, 5);
        REQUIRE(hosts.size() == 3);
        REQUIRE(hosts.back().id() == "e1");
        ++first[hosts.front().id()];
    }
    // Weights 0.5 and 1.
    REQUIRE(std::abs(first["n1"] - 333) < 60);
    REQUIRE(lookupHosts({"lessons", "west", 1}, *view, {}, 2).size() == 2);
}

TEST_CASE("client blocks: the longest prefix wins")
{
    const auto blocks =
        ClientBlocks::parse("# sites\n10.0.0.0/8 cdf wales\n10.1.0.0/16 swa west\n10.1.2.3/32 cdf wales\n");
    REQUIRE(blocks);
    REQUIRE(blocks->size() == 3);
    REQUIRE(blocks->regionOf(0x0A000001) == "wales");
    REQUIRE(blocks->regionOf(0x0A010001) == "west");
    REQUIRE(blocks->regionOf(0x0A010203) == "wales");
    REQUIRE(blocks->regionOf(0x0A010204) == "west");
    REQUIRE(blocks->regionOf(0x0AFFFFFF) == "wales");
    REQUIRE_FALSE(blocks->regionOf(0x0B000000));
    REQUIRE_FALSE(blocks->regionOf(0));
    for (const char *wrong :
         {"10.0.0.0/33 a b", "10.0.0.1/8 a b", "10.0.0/8 a b", "10.0.0.0/8 a", "10.0.0.0/8 a b c"}) {
        REQUIRE_FALSE(ClientBlocks::parse(wrong));
        REQUIRE(lastError().message.find("line 1") != std::string::npos);
    }
}
