// A control host loses its disk and is repaired; a second one is lost right after. Nothing acknowledged may be missing.
#include <catch2/catch.hpp>

#include <csignal>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr unsigned customersBefore = 300; // changes that the repaired host has to catch up with

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

// Whether the leader counts the host as a voter with an identity other than `before`.
bool votesAgain(const Fleet &fleet, HttpClient &client, const std::string &host, const std::string &before)
{
    const std::string leader = fleet.leader();
    if (leader.empty()) {
        return false;
    }
    const auto status = parseJson(fleet.callControl(client, fleet.process(leader), {.url = "/v1/status"}).body);
    for (const auto &member : field(field(status, "config"), "members").list_value().values()) {
        if (field(member, "id").string_value() == host) {
            return field(member, "voter").bool_value() && !field(member, "identity").string_value().empty()
                && field(member, "identity").string_value() != before;
        }
    }
    return false;
}

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

TEST_CASE("the loss of a second control host right after a repair loses nothing")
{
    Fleet fleet("--entries 1 --servers 1");
    HttpClient client;
    for (unsigned i = 0; i < customersBefore; ++i) {
        REQUIRE(createCustomer(fleet, client, "customer" + std::to_string(i)));
    }
    const std::string lost = fleet.leader();
    REQUIRE_FALSE(lost.empty());
    const std::string before = identityOf(fleet, client, lost);
    fleet.signal(lost, SIGKILL);
    fleet.waitForExit(lost);
    fleet.emptyDataFolder(lost);
    REQUIRE(createCustomer(fleet, client, "during"));
    fleet.restart(lost);
    REQUIRE(waitUntil([&] { return votesAgain(fleet, client, lost, before); }));

    const std::string second = fleet.leader();
    fleet.signal(second, SIGKILL);
    fleet.waitForExit(second);
    fleet.emptyDataFolder(second);
    REQUIRE(createCustomer(fleet, client, "after"));
    // The customer "demo" of the fleet counts too.
    CHECK(customerCount(fleet, client) == customersBefore + 3);
    const Process entry = fleet.processes("entry").front();
    CHECK(waitUntil([&] {
        return client
                   .send({.url = "http://" + entry.httpAddress + "/s/lessons/a",
                          .headers = {{"Banyanledge-Key", fleet.customerKey()}}})
                   .status
            == 200;
    }));
}
