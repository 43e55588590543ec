// Tests that the readers of responses that use libcurl for status and body only refuse broken responses.
#include <catch2/catch.hpp>

#include <future>

#include "apps/client.h"
#include "base/error.h"
#include "control/platform.h"
#include "entry_fixture.h"
#include "fleet/healthprober.h"
#include "response_cases.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

// Waiting time for a reader, which ends its transfer after 1 or 2 s.
constexpr std::chrono::seconds readerTimeout{10};

// A response whose body "body" is replaced by an empty JSON object of the same length.
std::string withJsonBody(std::string bytes)
{
    const auto body = bytes.rfind("body");
    return body == std::string::npos ? bytes : bytes.replace(body, 4, "{}  ");
}

ScriptedServer::Script respondAlways(const std::string &bytes)
{
    return [bytes = withJsonBody(bytes)](const std::string &, asio::ip::tcp::socket &socket) {
        sendAll(socket, bytes);
        return true;
    };
}

// Whether a health check of the server counts as answered.
bool isHealthAnswered(const ScriptedServer &server)
{
    std::promise<bool> answered;
    bool done = false;
    HealthProber prober(
        std::chrono::seconds(60),
        [&] {
            return std::vector{ProbeTarget{"pool", "s", server.address(), 0}};
        },
        [&](const ProbeTarget &, const ProbeResult &result) {
            if (!std::exchange(done, true)) {
                answered.set_value(result.answered);
            }
        });
    prober.start();
    auto result = answered.get_future();
    REQUIRE(result.wait_for(readerTimeout) == std::future_status::ready);
    return result.get();
}

struct FetchResult
{
    std::optional<std::string> body;
    std::string error;
};

// Reads a page of the platform's list.
FetchResult fetchPage(const ScriptedServer &server)
{
    std::promise<FetchResult> fetched;
    bool done = false;
    PlatformPoller::Options options;
    options.interval = std::chrono::seconds(60);
    options.readList = [&](const PlatformPoller::Fetch &fetch) -> std::optional<PlatformList> {
        const auto body = fetch("http://" + server.address() + "/list");
        if (!std::exchange(done, true)) {
            fetched.set_value({body, body ? "" : lastError().message});
        }
        return std::nullopt;
    };
    options.onList = [](const PlatformList &) {};
    const PlatformPoller poller(options);
    auto result = fetched.get_future();
    REQUIRE(result.wait_for(readerTimeout) == std::future_status::ready);
    return result.get();
}

// Status that the operators' command line takes from a control host.
unsigned operatorStatus(const ScriptedServer &server)
{
    OperatorClient::Options options;
    options.servers = {server.address()};
    options.timeout = milliseconds(0);
    return OperatorClient(options).send("GET", "/v1/rows", "", "").status;
}

std::vector<ResponseCase> brokenResponses()
{
    std::vector<ResponseCase> cases = brokenHeads();
    for (const auto &bodies : {brokenBodies(), brokenChunkExtensions()}) {
        cases.insert(cases.end(), bodies.begin(), bodies.end());
    }
    return cases;
}

} // namespace

// Guards against a check that refuses what the standard allows.
TEST_CASE("unusual responses are read")
{
    for (const ResponseCase &sound : soundResponses()) {
        if (sound.status != 200 || sound.body != "body") {
            continue;
        }
        CAPTURE(sound.name);
        const ScriptedServer server(respondAlways(sound.bytes));
        CHECK(isHealthAnswered(server));
        CHECK(fetchPage(server).body == "{}  ");
        CHECK(operatorStatus(server) == 200);
    }
}

// Guards against a server that counts as healthy, or a list of servers that is used, because of a broken response.
TEST_CASE("broken responses are not believed")
{
    for (const ResponseCase &broken : brokenResponses()) {
        CAPTURE(broken.name);
        const ScriptedServer server(respondAlways(broken.bytes));
        CHECK_FALSE(isHealthAnswered(server));
        const FetchResult page = fetchPage(server);
        CHECK_FALSE(page.body);
        CHECK_FALSE(page.error.empty());
        CHECK(operatorStatus(server) == 0);
        CHECK(eventually([&] { return server.openConnections() == 0; }));
    }
}
