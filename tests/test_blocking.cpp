// Requests that crash backend servers: at a gateway between a test client and scripted servers.
#include <catch2/catch.hpp>

#include "decide/fingerprint.h"
#include "gateway_fixture.h"

using namespace banyanledge;

namespace
{

using Connection = std::shared_ptr<ScriptedConnection>;

// A gateway whose only server crashes as soon as it gets a request with the body "deadly".
class CrashFixture
{
public:
    CrashFixture()
    {
        server.onRequest = [this](const Connection &connection, const ReceivedRequest &request) {
            if (request.body == "deadly" && crashes) {
                server.crash();
                connection->reset();
            } else {
                connection->respond(request, 200, "ok");
            }
        };
    }

    // Sends a request; the server is back afterwards.
    int send(const std::string &body, const std::string &kind = "unsafe")
    {
        const std::size_t before = server.received.size();
        const int status =
            gateway.call(GatewayFixture::request(kind, "id" + std::to_string(++m_sent), {}, body)).status();
        gateway.runFor(milliseconds(50)); // for the check of the server
        if (body == "deadly" && crashes && server.received.size() > before) {
            server.restart();
        }
        return status;
    }

    // Waits until the server is no longer ejected and its crashes count.
    void waitForServer()
    {
        for (int i = 0; i < 10; ++i) {
            proto::SyncRequest report; // as the host does every 100 ms
            gateway.gateway->report(report);
            gateway.runFor(milliseconds(100));
        }
    }

    GatewayFixture gateway{1};
    ScriptedServer &server = gateway.servers[0];
    bool crashes = true;

private:
    int m_sent = 0;
};

std::string fingerprintOfDeadly()
{
    return fingerprintOf({"POST", "h.example", "/unsafe/x?q=1", "cust", "deadly"});
}

} // namespace

// Guards against one request that crashes server after server.
TEST_CASE("a request with which servers crashed three times in a row is not sent again, and others are")
{
    CrashFixture fixture;
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.send("deadly") == 502);
        fixture.waitForServer();
    }
    CHECK(fixture.server.received.size() == 3);
    CHECK(fixture.send("deadly") == 502);
    CHECK(fixture.server.received.size() == 3);
    CHECK(fixture.send("other") == 200);
    CHECK(fixture.send("deadly", "safe") == 502); // another path, so the server runs it and crashes
    CHECK(fixture.server.received.size() == 5);
}

// Guards against blocking a request that an unrelated crash took along.
TEST_CASE("a success clears a request of earlier crashes")
{
    CrashFixture fixture;
    for (int i = 0; i < 4; ++i) {
        CHECK(fixture.send("deadly") == 502);
        fixture.crashes = false;
        CHECK(fixture.send("deadly") == 200);
        fixture.crashes = true;
    }
    CHECK(fixture.server.received.size() == 8);
}

// Guards against blocking a request whose answers are lost while its servers are well.
TEST_CASE("a connection that ends without a crash of its server does not count")
{
    GatewayFixture fixture(1);
    bool loses = true;
    fixture.servers[0].onRequest = [&loses](const Connection &connection, const ReceivedRequest &request) {
        if (loses) {
            connection->reset();
        } else {
            connection->respond(request, 200, "ok");
        }
    };
    for (int i = 0; i < 6; ++i) {
        loses = true;
        CHECK(fixture.call(GatewayFixture::request("unsafe", "a", {}, "x")).status() == 502);
        fixture.runFor(milliseconds(50));
        loses = false; // the success of another request keeps the server from being ejected
        CHECK(fixture.call(GatewayFixture::request("unsafe", "b", {}, "y")).status() == 200);
    }
    CHECK(fixture.call(GatewayFixture::request("unsafe", "c", {}, "x")).status() == 200);
}

// Guards against a host that has seen no crash itself and goes on sending a request that the others have blocked.
TEST_CASE("a request that the table blocks is rejected at once, until the table unblocks it")
{
    CrashFixture fixture;
    proto::BlockedRequest blocked;
    blocked.set_id(fingerprintOfDeadly());
    fixture.gateway.blockedRequests = {blocked};
    fixture.gateway.publishView();
    const auto response = fixture.gateway.call(GatewayFixture::request("unsafe", "a", {}, "deadly"));
    CHECK(response.status() == 502);
    CHECK(response.body.find(fingerprintOfDeadly()) != std::string::npos);
    CHECK(response.header("Retry-After").empty());
    CHECK(fixture.server.received.empty());
    proto::SyncRequest report;
    fixture.gateway.gateway->report(report);
    REQUIRE(report.refused_blocked_size() == 1);
    CHECK(report.refused_blocked(0) == fingerprintOfDeadly());
    CHECK(fixture.send("other") == 200);
    fixture.gateway.blockedRequests.clear();
    fixture.gateway.publishView();
    fixture.crashes = false;
    CHECK(fixture.send("deadly") == 200);
}

// Guards against each host trying a blocked request by itself, and against a trial that is used twice.
TEST_CASE("the trial of a blocked request lets one request of the chosen host pass")
{
    CrashFixture fixture;
    proto::BlockedRequest blocked;
    blocked.set_id(fingerprintOfDeadly());
    blocked.set_trials(1);
    blocked.set_trial_host("another");
    fixture.gateway.blockedRequests = {blocked};
    fixture.gateway.publishView();
    CHECK(fixture.send("deadly") == 502);
    CHECK(fixture.server.received.empty());
    fixture.gateway.blockedRequests[0].set_trials(2);
    fixture.gateway.blockedRequests[0].set_trial_host("own");
    fixture.gateway.publishView();
    CHECK(fixture.send("deadly") == 502);
    CHECK(fixture.server.received.size() == 1);
    CHECK(fixture.send("deadly") == 502);
    CHECK(fixture.server.received.size() == 1);
    fixture.gateway.blockedRequests[0].set_trials(3);
    fixture.gateway.publishView();
    fixture.crashes = false;
    CHECK(fixture.send("deadly") == 200);
    proto::SyncRequest report;
    fixture.gateway.gateway->report(report);
    REQUIRE(report.suspects_size() == 1);
    CHECK(report.suspects(0).has_succeeded_age_ms());
    CHECK(report.suspects(0).crashes_size() == 0);
}
