// Limits that backend servers name for themselves in their responses.
#include <catch2/catch.hpp>

#include "gateway_fixture.h"

using namespace banyanledge;

namespace
{

// Requests that a server may get in the window although it takes only `limit` a second: one and a half times what that
// allows, and five.
constexpr double windowSeconds = 4;

double allowedRequests(double limit)
{
    return 1.5 * limit * windowSeconds + 5;
}

// Lets a server name a limit in each response; an empty one names none.
void nameLimit(ScriptedServer &server, const std::string &limit)
{
    server.onRequest = [limit](const auto &connection, const ReceivedRequest &request) {
        connection->respond(request, 200, "ok", limit.empty() ? "" : "Limit: " + limit + "\r\n");
    };
}

// A request for an object of its own.
std::string requestFor(int number)
{
    std::string request = GatewayFixture::request("safe", "r" + std::to_string(number));
    const std::string object = "Object: 17";
    return request.replace(request.find(object), object.size(), "Object: o" + std::to_string(number));
}

// Sends requests of many objects for a time and returns how many were answered with 200.
int sendRequests(GatewayFixture &fixture, int count, milliseconds pause, int &refused)
{
    int answered = 0;
    for (int i = 0; i < count; ++i) {
        const Time sent = Clock::now();
        const auto response = fixture.call(requestFor(i));
        answered += response.status() == 200 ? 1 : 0;
        if (response.status() == 503) {
            ++refused;
            CHECK_FALSE(response.header("Retry-After").empty());
            CHECK(Clock::now() - sent < milliseconds(200));
        }
        fixture.runFor(pause);
    }
    return answered;
}

} // namespace

// Guards against a server that gets its usual requests although it said how many it takes.
TEST_CASE("a server gets no more requests than the limit that it names, and the others are refused at once")
{
    GatewayFixture fixture(1);
    nameLimit(fixture.servers[0], "2");
    int refused = 0;
    const int answered = sendRequests(fixture, 100, milliseconds(20), refused);
    CHECK(static_cast<double>(fixture.servers[0].received.size()) <= allowedRequests(2));
    CHECK(answered >= 4);
    CHECK(answered + refused == 100);
}

// Guards against refusals although other servers of the service have room.
TEST_CASE("requests beyond a server's limit go to the other servers")
{
    GatewayFixture fixture(3);
    nameLimit(fixture.servers[0], "2");
    int refused = 0;
    CHECK(sendRequests(fixture, 100, milliseconds(20), refused) == 100);
    CHECK(static_cast<double>(fixture.servers[0].received.size()) <= allowedRequests(2));
}
