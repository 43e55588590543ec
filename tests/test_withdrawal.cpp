// A withdrawn key stops working within 3 s everywhere: on kept-alive connections, on long answers, and on hosts that
// were frozen or cut off while it was withdrawn.
#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr milliseconds withdrawalBound{3000};

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

bool servedEverywhere(const Fleet &fleet, const std::string &key)
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

} // namespace

TEST_CASE("withdrawn keys")
{
    Fleet fleet("--entries 1 --servers 1");
    HttpClient client;
    const IssuedKey key = issueKey(fleet, client);
    REQUIRE(servedEverywhere(fleet, key.key));

    SECTION("stop on kept-alive connections of every host and cut long answers")
    {
        const Process entry = fleet.processes("entry").front();
        HttpReply longAnswer;
        std::thread download([&] {
            HttpClient own;
            longAnswer =
                own.send({.url = "http://" + entry.httpAddress + "/s/lessons/bytes?count=100000000&pause_ms=20",
                          .headers = {{"Banyanledge-Key", key.key}},
                          .timeout = milliseconds(25000)});
        });
        // The download has reached a server before the key is withdrawn.
        REQUIRE(waitUntil([&] { return fleet.requestsInFlight() > 0; }));
        HttpClient keptAlive;
        REQUIRE(get(keptAlive, entry, "/s/lessons/a", key.key).status == 200);
        withdraw(fleet, client, key.id);
        const Time withdrawn = Clock::now();
        CHECK(waitUntil([&] { return get(keptAlive, entry, "/s/lessons/a", key.key).status == 401; }, withdrawalBound));
        download.join();
        CHECK(Clock::now() - withdrawn < withdrawalBound);
        CHECK_FALSE(longAnswer.complete());
        for (const Process &other : fleet.processes("entry")) {
            CHECK(get(client, other, "/s/lessons/a", key.key).status == 401);
        }
    }

    SECTION("do not work on a host that slept while they were withdrawn and then finds no control host")
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

    SECTION("a host without control hosts stops serving within the freshness term")
    {
        const Process entry = fleet.processes("entry").front();
        for (const Process &control : fleet.processes("control")) {
            fleet.signal(control.name, SIGSTOP);
        }
        const Time cut = Clock::now();
        CHECK(waitUntil([&] { return get(client, entry, "/s/lessons/a", key.key).status == 503; }, withdrawalBound));
        CHECK(Clock::now() - cut < withdrawalBound);
        for (const Process &control : fleet.processes("control")) {
            fleet.signal(control.name, SIGCONT);
        }
    }
}
