// A traffic shift on real processes: the shifted fraction of requests never exceeds the cap, even when the leader of
// the control hosts is killed during the shift.
#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr double cap = 0.2;

// Counters of the requests to one entry host.
struct RequestCounts
{
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> shifted{0}; // served in the target region
    std::atomic<unsigned> failed{0};
    std::atomic<bool> capExceeded{false};
};

// Sends requests one after another and checks after each that the entry host has shifted at most cap * sent requests.
void sendUntilStopped(const Fleet &fleet, const Process &entry, const std::atomic<bool> &stop, RequestCounts &counts)
{
    HttpClient client;
    while (!stop) {
        const HttpReply reply = client.send({.url = "http://" + entry.httpAddress + "/s/lessons/a",
                                             .headers = {{"Banyanledge-Key", fleet.customerKey()}}});
        ++counts.sent;
        counts.failed += reply.status == 200 ? 0 : 1;
        counts.shifted += reply.header("banyanledge-server").find("-south-") != std::string::npos ? 1 : 0;
        if (static_cast<double>(counts.shifted) > cap * counts.sent) {
            counts.capExceeded = true;
        }
    }
}

// Step of the shift as reported by any control host, or -1 if none reports it.
double currentStep(const Fleet &fleet, HttpClient &client)
{
    const auto body =
        parseJson(fleet.callAnyControl(client, {.url = "/v1/shifts", .timeout = milliseconds(2000)}).body);
    for (const auto &shift : field(body, "shifts").list_value().values()) {
        if (field(shift, "id").string_value() == "move") {
            return field(shift, "step").number_value();
        }
    }
    return -1;
}

} // namespace

TEST_CASE("a shift advances in steps and never exceeds its cap when the control leader is killed")
{
    Fleet fleet("--entries 2 --servers 2");
    HttpClient client;
    std::atomic<bool> stop{false};
    std::map<std::string, RequestCounts> countsByHost;
    std::vector<std::thread> callers;
    for (const Process &entry : fleet.processes("entry")) {
        if (entry.region == "north") {
            callers.emplace_back([&fleet, &stop, entry, &count = countsByHost[entry.name]] {
                sendUntilStopped(fleet, entry, stop, count);
            });
        }
    }
    const HttpReply started = fleet.callAnyControl(
        client,
        {.method = "POST",
         .url = "/v1/shifts",
         .body = R"({"id":"move","service":"lessons","from_region":"north","to_region":"south","cap":0.2})"});
    REQUIRE(started.status == 200);
    double largestStep = 0;
    bool stepDecreased = false;
    const auto waitForStep = [&](double step) {
        return waitUntil(
            [&] {
                const double now = currentStep(fleet, client);
                stepDecreased = stepDecreased || (now >= 0 && now < largestStep);
                largestStep = std::max(largestStep, now);
                return now >= step;
            },
            milliseconds(60000));
    };
    CHECK(waitForStep(0.04));
    const std::string leader = fleet.leader();
    REQUIRE_FALSE(leader.empty());
    fleet.signal(leader, SIGKILL);
    // The next leader continues from the replicated step.
    CHECK(waitForStep(cap - 0.001));
    const unsigned sentBefore = countsByHost.begin()->second.sent;
    CHECK(waitUntil([&] { return countsByHost.begin()->second.sent > sentBefore + 300; }));
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(largestStep <= cap + 1e-9);
    CHECK_FALSE(stepDecreased);
    for (const auto &[name, count] : countsByHost) {
        INFO(name << ": sent " << count.sent << ", shifted " << count.shifted << ", failed " << count.failed);
        CHECK_FALSE(count.capExceeded);
        CHECK(count.shifted > 10);
        CHECK(count.failed == 0);
    }
}
