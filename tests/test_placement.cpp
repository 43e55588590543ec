// Choice of a backend server for an object, and the fraction of requests that spill over to other regions.
#include <catch2/catch.hpp>

#include <set>

#include "decide/hash.h"
#include "decide/placement.h"
#include "decide/spill.h"

using namespace banyanledge;

namespace
{

const Time start = Time{} + std::chrono::hours(1);

// Some servers with four slots each.
struct Servers
{
    explicit Servers(std::size_t count)
        : ids(count)
        , states(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            ids[i] = "s" + std::to_string(i);
            candidates.push_back({&ids[i], hashText(ids[i]), 4, 0, &states[i]});
        }
    }

    Placement choose(std::uint64_t object, double maxQueuePerSlot = 1, const std::set<std::string> *tried = nullptr)
    {
        PlacementRequest request;
        request.object = object;
        request.affinity = true;
        request.maxQueuePerSlot = maxQueuePerSlot;
        request.tried = tried;
        return placeRequest(candidates, request, start);
    }

    std::vector<std::string> ids;
    std::vector<ServerState> states;
    std::vector<Candidate> candidates;
};

} // namespace

TEST_CASE("requests for an object go to the same server, and objects are distributed over the servers")
{
    Servers servers(6);
    std::set<std::size_t> used;
    for (std::uint64_t object = 0; object < 100; ++object) {
        const auto first = servers.choose(object);
        REQUIRE(first.status == PlacementStatus::Chosen);
        CHECK(servers.choose(object).index == first.index);
        used.insert(first.index);
    }
    CHECK(used.size() == 6);
}

TEST_CASE("a full server's objects go to the next one, and nowhere when all are full")
{
    Servers servers(3);
    const auto first = servers.choose(7).index;
    recordReport(servers.states[first], 8, start);
    const auto second = servers.choose(7);
    CHECK(second.status == PlacementStatus::Chosen);
    CHECK(second.index != first);
    for (auto &state : servers.states) {
        recordReport(state, 20, start);
    }
    CHECK(servers.choose(7).status == PlacementStatus::Full);
    CHECK(servers.choose(7, 10).status == PlacementStatus::Chosen);
}

TEST_CASE("a server that was tried is not tried again")
{
    Servers servers(2);
    const auto first = servers.choose(7).index;
    std::set<std::string> tried{servers.ids[first]};
    CHECK(servers.choose(7, 1, &tried).index != first);
    tried.insert(servers.ids[1 - first]);
    CHECK(servers.choose(7, 1, &tried).status == PlacementStatus::NoServer);
}

TEST_CASE("a failing server gets one request at a time after its ejection, and is cold when it is readmitted")
{
    Servers servers(1);
    ServerState &state = servers.states[0];
    for (int i = 0; i < 4; ++i) {
        recordServerFailure(state, start);
    }
    CHECK(servers.choose(1).status == PlacementStatus::NoServer);
    const Time later = start + std::chrono::seconds(5);
    CHECK(healthy(state, later));
    state.trialRequests = 1;
    CHECK_FALSE(healthy(state, later));
    state.trialRequests = 0;
    recordServerSuccess(state, milliseconds(3000), later);
    CHECK(healthy(state, later));
    CHECK(state.coldUntil == later + milliseconds(3000));
}

TEST_CASE("a cold server gets no more requests than its rate limit")
{
    Servers servers(1);
    servers.states[0].coldUntil = start + std::chrono::seconds(3);
    servers.candidates[0].coldRate = 2;
    CHECK(servers.choose(1).status == PlacementStatus::Chosen);
    CHECK(servers.choose(2).status == PlacementStatus::Chosen);
    CHECK(servers.choose(3).status == PlacementStatus::Full);
}

TEST_CASE("a report loses its weight with age")
{
    ServerState state;
    recordReport(state, 6, start);
    CHECK(estimatedLoad(state, start) == Approx(6));
    CHECK(estimatedLoad(state, start + milliseconds(500)) == Approx(3));
    state.inFlight = 2;
    CHECK(estimatedLoad(state, start + std::chrono::seconds(5)) == Approx(2));
}

// Guards against many requests that change region at once, which would exceed the bound on shifts.
TEST_CASE("the fraction of requests that spill over changes slowly")
{
    SpillState spill;
    SpillInput input{12, 84, 3, 2.0, 0.3, 0.05};
    updateSpill(spill, input, start);
    CHECK(spill.fraction == Approx(0.4));
    double previous = spill.fraction;
    for (int i = 1; i <= 40; ++i) {
        updateSpill(spill, input, start + milliseconds(250 * i));
        CHECK(spill.fraction - previous <= 0.05 * 0.25 + 1e-9);
        previous = spill.fraction;
    }
    CHECK(spill.fraction == Approx(0.9));
    input.homeLoad = 0.2;
    updateSpill(spill, input, start + milliseconds(10250));
    CHECK(spill.fraction < previous);
}
