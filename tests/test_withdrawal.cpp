// A withdrawn key stops working on all entry hosts within 3 s: on keep-alive connections, for responses in progress,
// and on hosts that were paused during the withdrawal. A host that can reach no control host would not learn of a
// withdrawal, so it has to stop serving within the same time.
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr milliseconds withdrawalBound{3000};

// How long a host is paused so that its lease ends earlier than those of the others.
constexpr milliseconds leaseLag{1000};

// How long to send requests to hosts that reach no control host: longer than the term of their leases.
constexpr milliseconds sendingTime{2000};
constexpr milliseconds requestInterval{50};

struct IssuedKey
{
    std::string id;
    std::string key;
};

IssuedKey issueKey(const Fleet &fleet, HttpClient &client)
{
    const HttpReply reply =
        fleet.callAnyControl(client, {.method = "POST", .url = "/v1/keys", .body = R"({"customer":"demo"})"});
    REQUIRE(reply.status == 200);
    const auto body = parseJson(reply.body);
    return {field(body, "id").string_value(), field(body, "key").string_value()};
}

void withdraw(const Fleet &fleet, HttpClient &client, const std::string &id)
{
    REQUIRE(fleet.callAnyControl(client, {.method = "DELETE", .url = "/v1/keys/" + id}).status == 200);
}

HttpReply get(HttpClient &client, const Process &entry, const std::string &path, const std::string &key)
{
    return client.send({.url = "http://" + entry.httpAddress + path, .headers = {{"Banyanledge-Key", key}}});
}

// Waits until all entry hosts accept the key.
bool waitForKey(const Fleet &fleet, const std::string &key)
{
    return waitUntil([&] {
        HttpClient client;
        for (const Process &entry : fleet.processes("entry")) {
            if (get(client, entry, "/s/lessons/a", key).status != 200) {
                return false;
            }
        }
        return true;
    });
}

// Sends requests to every entry host for `sendingTime`; gives the time from `start` until the end of each.
std::vector<std::future<Duration>> sendToAllEntries(const Fleet &fleet, const std::string &key, Time start)
{
    std::vector<std::future<Duration>> ends;
    while (Clock::now() - start < sendingTime) {
        for (const Process &entry : fleet.processes("entry")) {
            ends.push_back(std::async(std::launch::async, [key, entry, start] {
                HttpClient client;
                get(client, entry, "/s/lessons/a", key);
                return Clock::now() - start;
            }));
        }
        std::this_thread::sleep_for(requestInterval);
    }
    return ends;
}

} // namespace

TEST_CASE("withdrawn keys")
{
    Fleet fleet("--entries 1 --servers 1");
    HttpClient client;
    const IssuedKey key = issueKey(fleet, client);
    REQUIRE(waitForKey(fleet, key.key));

    SECTION("are refused by every entry host, also on keep-alive connections, and responses in progress are aborted")
    {
        const Process entry = fleet.processes("entry").front();
        HttpReply longReply;
        std::thread download([&] {
            HttpClient downloadClient;
            longReply = downloadClient.send(
                {.url = "http://" + entry.httpAddress + "/s/lessons/bytes?count=100000000&pause_ms=20",
                 .headers = {{"Banyanledge-Key", key.key}},
                 .timeout = milliseconds(25000)});
        });
        // The download must have reached a backend server before the key is withdrawn.
        REQUIRE(waitUntil([&] { return fleet.requestsInFlight() > 0; }));
        HttpClient keepAliveClient;
        REQUIRE(get(keepAliveClient, entry, "/s/lessons/a", key.key).status == 200);
        withdraw(fleet, client, key.id);
        const Time withdrawnAt = Clock::now();
        CHECK(waitUntil([&] { return get(keepAliveClient, entry, "/s/lessons/a", key.key).status == 401; },
                        withdrawalBound));
        download.join();
        CHECK(Clock::now() - withdrawnAt < withdrawalBound);
        CHECK_FALSE(longReply.complete());
        for (const Process &other : fleet.processes("entry")) {
            CHECK(get(client, other, "/s/lessons/a", key.key).status == 401);
        }
    }

    SECTION("are refused by a host that was paused during the withdrawal and then reaches no control host")
    {
        const Process entry = fleet.processes("entry").front();
        fleet.signal(entry.name, SIGSTOP);
        withdraw(fleet, client, key.id);
        std::this_thread::sleep_for(withdrawalBound);
        for (const Process &control : fleet.processes("control")) {
            fleet.signal(control.name, SIGSTOP);
        }
        fleet.signal(entry.name, SIGCONT);
        const HttpReply reply = get(client, entry, "/s/lessons/a", key.key);
        CHECK(reply.status == 503);
        CHECK(reply.header("banyanledge-outcome") == "not-run");
        for (const Process &control : fleet.processes("control")) {
            fleet.signal(control.name, SIGCONT);
        }
        CHECK(waitUntil([&] { return get(client, entry, "/s/lessons/a", key.key).status == 401; }));
        CHECK(waitUntil([&] { return get(client, entry, "/s/lessons/a", fleet.customerKey()).status == 200; }));
    }

    SECTION("cannot stay valid on a host that reaches no control host, because it stops serving within the bound")
    {
        const Process entry = fleet.processes("entry").front();
        for (const Process &control : fleet.processes("control")) {
            fleet.signal(control.name, SIGSTOP);
        }
        const Time pausedAt = Clock::now();
        CHECK(waitUntil([&] { return get(client, entry, "/s/lessons/a", key.key).status == 503; }, withdrawalBound));
        CHECK(Clock::now() - pausedAt < withdrawalBound);
        for (const Process &control : fleet.processes("control")) {
            fleet.signal(control.name, SIGCONT);
        }
    }

    // The lease of an owner may end before that of a host that asks it for tokens or slots. A request admitted by that
    // host waited for them until its own deadline.
    SECTION("leave no request waiting for an owner whose lease has ended")
    {
        for (const Process &owner : fleet.processes("entry")) {
            fleet.signal(owner.name, SIGSTOP);
            std::this_thread::sleep_for(leaseLag);
            for (const Process &control : fleet.processes("control")) {
                fleet.signal(control.name, SIGSTOP);
            }
            const Time pausedAt = Clock::now();
            fleet.signal(owner.name, SIGCONT);
            auto ends = sendToAllEntries(fleet, key.key, pausedAt);
            const auto late =
                std::count_if(ends.begin(), ends.end(), [](auto &end) { return end.get() >= withdrawalBound; });
            CAPTURE(owner.name);
            CHECK(late == 0);
            for (const Process &control : fleet.processes("control")) {
                fleet.signal(control.name, SIGCONT);
            }
            REQUIRE(waitForKey(fleet, key.key));
        }
    }
}
