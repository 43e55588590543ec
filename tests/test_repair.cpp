// One control host loses its data and rejoins; then a second one loses its data. No acknowledged change may be lost,
// which could happen if the first counted as a voter again before it had caught up.
#include <catch2/catch.hpp>

#include <csignal>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr unsigned initialCustomers = 300; // changes that the rejoining host has to catch up with

bool createCustomer(const Fleet &fleet, HttpClient &client, const std::string &name)
{
    const HttpRequest request{.method = "POST",
                              .url = "/v1/customers",
                              .body = R"({"name":")" + name + "\"}",
                              .headers = {{"Banyanledge-Change-Id", "create-" + name}}};
    return waitUntil([&] { return fleet.callAnyControl(client, request).status == 200; });
}

std::size_t customerCount(const Fleet &fleet, HttpClient &client)
{
    const auto body = parseJson(fleet.callAnyControl(client, {.url = "/v1/customers"}).body);
    return static_cast<std::size_t>(field(body, "customers").list_value().values_size());
}

// Whether the leader lists the host as a voter with an identity other than `oldIdentity`.
bool hasRejoined(const Fleet &fleet, HttpClient &client, const std::string &host, const std::string &oldIdentity)
{
    const std::string leader = fleet.leader();
    if (leader.empty()) {
        return false;
    }
    const auto status = parseJson(fleet.callControl(client, fleet.process(leader), {.url = "/v1/status"}).body);
    for (const auto &member : field(field(status, "config"), "members").list_value().values()) {
        if (field(member, "id").string_value() == host) {
            return field(member, "voter").bool_value() && !field(member, "identity").string_value().empty()
                && field(member, "identity").string_value() != oldIdentity;
        }
    }
    return false;
}

// Identity of a control host as the leader lists it, empty if it does not.
std::string identityOf(const Fleet &fleet, HttpClient &client, const std::string &host)
{
    const auto status = parseJson(fleet.callControl(client, fleet.process(fleet.leader()), {.url = "/v1/status"}).body);
    for (const auto &member : field(field(status, "config"), "members").list_value().values()) {
        if (field(member, "id").string_value() == host) {
            return field(member, "identity").string_value();
        }
    }
    return {};
}

} // namespace

TEST_CASE("losing a second control host right after the first has rejoined loses no acknowledged change")
{
    Fleet fleet("--entries 1 --servers 1");
    HttpClient client;
    for (unsigned i = 0; i < initialCustomers; ++i) {
        REQUIRE(createCustomer(fleet, client, "customer" + std::to_string(i)));
    }
    const std::string firstLost = fleet.leader();
    REQUIRE_FALSE(firstLost.empty());
    const std::string oldIdentity = identityOf(fleet, client, firstLost);
    fleet.signal(firstLost, SIGKILL);
    fleet.waitForExit(firstLost);
    fleet.clearDataFolder(firstLost);
    REQUIRE(createCustomer(fleet, client, "during"));
    fleet.restart(firstLost);
    REQUIRE(waitUntil([&] { return hasRejoined(fleet, client, firstLost, oldIdentity); }));

    const std::string secondLost = fleet.leader();
    fleet.signal(secondLost, SIGKILL);
    fleet.waitForExit(secondLost);
    fleet.clearDataFolder(secondLost);
    REQUIRE(createCustomer(fleet, client, "after"));
    // "during", "after" and the fleet's own customer "demo".
    CHECK(customerCount(fleet, client) == initialCustomers + 3);
    const Process entry = fleet.processes("entry").front();
    CHECK(waitUntil([&] {
        return client
                   .send({.url = "http://" + entry.httpAddress + "/s/lessons/a",
                          .headers = {{"Banyanledge-Key", fleet.customerKey()}}})
                   .status
            == 200;
    }));
}
