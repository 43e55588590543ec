// Tests what clients of a gateway get when a backend server sends unusual or broken responses.
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gateway_fixture.h"
#include "response_cases.h"

using namespace banyanledge;

namespace
{

using Connection = std::shared_ptr<ScriptedConnection>;

// Three failures in a row eject a server. On a slow machine the test may last until the trial request after that.
constexpr std::size_t maxFailuresAndTrials = 4;

std::vector<ResponseCase> brokenResponses()
{
    std::vector<ResponseCase> cases = brokenHeads();
    for (const auto &more : {brokenBodies(), brokenChunkExtensions()}) {
        cases.insert(cases.end(), more.begin(), more.end());
    }
    return cases;
}

void respondAlways(ScriptedServer &server, const std::string &bytes)
{
    server.onRequest = [bytes](const Connection &connection, const ReceivedRequest &) { connection->write(bytes); };
}

} // namespace

// Guards against a check of responses that refuses what the standard allows, or changes it.
TEST_CASE("unusual responses arrive whole")
{
    const std::string kind = GENERATE("safe", "unsafe", "download");
    for (const ResponseCase &sound : soundResponses()) {
        CAPTURE(kind, sound.name);
        GatewayFixture fixture(1);
        respondAlways(fixture.servers[0], sound.bytes);
        const auto response = fixture.call(GatewayFixture::request(kind, "a"));
        CHECK(response.complete);
        CHECK(response.status() == sound.status);
        CHECK(response.body == sound.body);
        CHECK(response.header("Signed") == "s");
        CHECK(fixture.servers[0].received.size() == 1);
    }
}

// Guards against a broken response that reaches the client, in whole or in part, as an answer of the server, is taken
// for a statement that the request has not run, or leaves a connection whose next bytes belong to no request.
TEST_CASE("a broken response is not passed on, and its connection is not used again")
{
    const std::string kind = GENERATE("safe", "unsafe", "download");
    for (const ResponseCase &broken : brokenResponses()) {
        CAPTURE(kind, broken.name);
        GatewayFixture fixture(1);
        respondAlways(fixture.servers[0], broken.bytes);
        const auto response = fixture.call(GatewayFixture::request(kind, "a"));
        CHECK(response.complete);
        CHECK(response.status() == 502);
        CHECK(response.header("Signed").empty());
        CHECK(fixture.servers[0].received.size() == 1);
        if (response.status() != 502) {
            continue;
        }
        fixture.runUntil([&] { return fixture.servers[0].disconnects == 1; });
        fixture.servers[0].onRequest = [](const Connection &connection, const ReceivedRequest &request) {
            connection->respond(request, 200, "next");
        };
        CHECK(fixture.call(GatewayFixture::request(kind, "b")).body == "next");
        CHECK(fixture.servers[0].usedConnections == 2);
    }
}

// Guards against a server that sends only broken responses and counts as healthy.
TEST_CASE("broken responses count as failures of their server")
{
    for (const ResponseCase &broken : brokenResponses()) {
        CAPTURE(broken.name);
        GatewayFixture fixture(2);
        respondAlways(fixture.servers[0], broken.bytes);
        for (int i = 0; i < 12; ++i) {
            CHECK(fixture.call(GatewayFixture::request("safe", "a")).status() == 200);
        }
        CHECK(fixture.servers[0].received.size() <= maxFailuresAndTrials);
    }
}

// Guards against a request that runs twice, because the broken response of the server that ran it says that it has not.
TEST_CASE("a broken response that says not run is no promise")
{
    for (const ResponseCase &broken : brokenHeads()) {
        CAPTURE(broken.name);
        GatewayFixture fixture(2);
        std::string bytes = broken.bytes;
        const auto fields = bytes.find("\r\nSigned");
        REQUIRE(fields != std::string::npos);
        bytes.insert(fields, "\r\nNot-Run: 1");
        for (auto &server : fixture.servers) {
            respondAlways(server, bytes);
        }
        CHECK(fixture.call(GatewayFixture::request("unsafe", "a", {}, "x")).status() == 502);
        CHECK(fixture.servers[0].received.size() + fixture.servers[1].received.size() == 1);
    }
}

// Guards against a server that gets no more requests because of what a broken response says of it.
TEST_CASE("what a broken response says of its server is not believed")
{
    for (const ResponseCase &broken : brokenHeads()) {
        CAPTURE(broken.name);
        GatewayFixture fixture(1);
        std::string bytes = broken.bytes;
        const auto fields = bytes.find("\r\nSigned");
        REQUIRE(fields != std::string::npos);
        bytes.insert(fields, "\r\nLeaving: 1");
        respondAlways(fixture.servers[0], bytes);
        CHECK(fixture.call(GatewayFixture::request("unsafe", "a", {}, "x")).status() == 502);
        fixture.servers[0].onRequest = [](const Connection &connection, const ReceivedRequest &request) {
            connection->respond(request, 200, "next");
        };
        CHECK(fixture.call(GatewayFixture::request("unsafe", "b", {}, "x")).status() == 200);
    }
}

// Guards against a server that is taken for cold, and reported as such, because of a broken answer to a health check.
TEST_CASE("a broken answer to a health check is not believed")
{
    const std::string requestId = "Req-Id: a\r\n"; // health checks have none
    for (const ResponseCase &broken : brokenHeads()) {
        CAPTURE(broken.name);
        std::string answer = broken.bytes;
        answer.replace(answer.find(requestId), requestId.size(), "Warmup-Ms: 900\r\n");
        GatewayFixture fixture;
        fixture.declaration.mutable_services(0)->set_health_path("/health");
        fixture.publishView();
        Connection connected;
        int checks = 0;
        fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &request) {
            if (request.head.target == "/health") {
                ++checks;
                connection->write(answer);
                return;
            }
            connected = connection;
            connection->respond(request, 200, "ok");
        };
        CHECK(fixture.call(GatewayFixture::request("safe", "first")).status() == 200);
        connected->close(); // makes the gateway check the server
        fixture.runUntil([&] { return checks == 1; });
        fixture.runFor(milliseconds(20));
        proto::SyncRequest report;
        fixture.gateway->report(report);
        CHECK(report.process_reports_size() == 0);
    }
}
