// A traffic shift on real processes: the moved part never passes the cap, also while the control leader is killed.
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

// Requests of one entry host and how many of them were served in the target region.
struct Counts
{
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> moved{0};
    std::atomic<unsigned> failed{0};
    std::atomic<bool> passedCap{false};
};

// Sends requests one after another and checks the cap after each: moved requests of one host stay within cap x sent.
void sendUntil(const Fleet &fleet, const Process &entry, const std::atomic<bool> &stop, Counts &counts)
{
    HttpClient client;
    while (!stop) {
        const HttpReply reply = client.send({.url = "http://" + entry.httpAddress + "/s/lessons/a",
                                             .headers = {{"Banyanledge-Key", fleet.customerKey()}}});
        ++counts.sent;
        counts.failed += reply.status == 200 ? 0 : 1;
        counts.moved += reply.header("banyanledge-server").find("-south-") != std::string::npos ? 1 : 0;
        if (static_cast<double>(counts.moved) > cap * counts.sent) {
            counts.passedCap = true;
        }
    }
}

// Step of the shift as any control host reports it, -1 when it is not known.
double stepOf(const Fleet &fleet, HttpClient &client)
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

TEST_CASE("a shift moves requests in steps and never past its cap while the control leader is killed")
{
    Fleet fleet("--entries 2 --servers 2");
    HttpClient client;
    std::atomic<bool> stop{false};
    std::map<std::string, Counts> counts;
    std::vector<std::thread> callers;
    for (const Process &entry : fleet.processes("entry")) {
        if (entry.region == "north") {
            callers.emplace_back(
                [&fleet, &stop, entry, &count = counts[entry.name]] { sendUntil(fleet, entry, stop, count); });
        }
    }
    const HttpReply started = fleet.callAnyControl(
        client,
        {.method = "POST",
         .url = "/v1/shifts",
         .body = R"({"id":"move","service":"lessons","from_region":"north","to_region":"south","cap":0.2})"});
    REQUIRE(started.status == 200);
    double largest = 0;
    bool backwards = false;
    const auto reaches = [&](double step) {
        return waitUntil(
            [&] {
                const double now = stepOf(fleet, client);
                backwards = backwards || (now >= 0 && now < largest);
                largest = std::max(largest, now);
                return now >= step;
            },
            milliseconds(60000));
    };
    CHECK(reaches(0.04));
    const std::string leader = fleet.leader();
    REQUIRE_FALSE(leader.empty());
    fleet.signal(leader, SIGKILL);
    // The next leader goes on at the recorded step.
    CHECK(reaches(cap - 0.001));
    const unsigned before = counts.begin()->second.sent;
    CHECK(waitUntil([&] { return counts.begin()->second.sent > before + 300; }));
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(largest <= cap + 1e-9);
    CHECK_FALSE(backwards);
    for (const auto &[name, count] : counts) {
        INFO(name << ": sent " << count.sent << ", moved " << count.moved << ", failed " << count.failed);
        CHECK_FALSE(count.passedCap);
        CHECK(count.moved > 10);
        CHECK(count.failed == 0);
    }
}
