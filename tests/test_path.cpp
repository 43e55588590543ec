// End-to-end request path on real processes: look-up, forwarding, response, and the refusal of each kind of invalid
// input.
#include <catch2/catch.hpp>

#include <asio.hpp>

#include <sstream>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

// Shared by all test cases, because starting a fleet takes a few seconds.
Fleet &fleet()
{
    static Fleet instance;
    return instance;
}

std::string entryAddress()
{
    return fleet().processes("entry").front().httpAddress;
}

HttpReply get(const std::string &path, const std::string &key)
{
    HttpClient client;
    HttpRequest request{.url = "http://" + entryAddress() + path};
    if (!key.empty()) {
        request.headers["Banyanledge-Key"] = key;
    }
    return client.send(request);
}

// Sends raw bytes to an entry host and returns everything it sends until it closes the connection.
std::string sendRaw(const std::string &bytes)
{
    const std::string address = entryAddress();
    const auto colon = address.find(':');
    asio::ip::tcp::iostream stream(address.substr(0, colon), address.substr(colon + 1));
    stream.expires_after(std::chrono::seconds(10));
    stream << bytes << std::flush;
    std::ostringstream received;
    received << stream.rdbuf();
    return received.str();
}

// Number of requests that the backend servers have executed so far.
std::uint64_t totalRuns()
{
    HttpClient client;
    double runs = 0;
    for (const std::string &address : fleet().serverAddresses()) {
        runs += field(parseJson(client.send({.url = "http://" + address + "/_state"}).body), "runs").number_value();
    }
    return static_cast<std::uint64_t>(runs);
}

// Checks that a refusal has the status, states that nothing was executed, and has a kind and a message.
void checkRefused(const HttpReply &reply, int status)
{
    CHECK(reply.status == status);
    CHECK(reply.header("banyanledge-outcome") == "not-run");
    const auto body = parseJson(reply.body);
    CHECK_FALSE(field(body, "kind").string_value().empty());
    CHECK_FALSE(field(body, "message").string_value().empty());
}

} // namespace

TEST_CASE("a look-up returns entry hosts, nearest first, and a lifetime")
{
    const HttpReply reply = get("/v1/lookup?service=lessons&region=south", "");
    REQUIRE(reply.status == 200);
    const auto body = parseJson(reply.body);
    CHECK(field(body, "lifetime_ms").number_value() == 5000);
    const auto &hosts = field(body, "hosts").list_value().values();
    REQUIRE(hosts.size() >= 2);
    CHECK(field(hosts[0], "region").string_value() == "south");
    CHECK_FALSE(reply.header("cache-control").empty());
}

TEST_CASE("a request is served by a backend server in its region, which receives the customer's name")
{
    const HttpReply reply = get("/s/lessons/chapter/1?page=2", fleet().customerKey());
    REQUIRE(reply.status == 200);
    const auto body = parseJson(reply.body);
    CHECK(field(body, "customer").string_value() == "demo");
    CHECK(field(body, "target").string_value() == "/chapter/1?page=2");
    const std::string region = fleet().processes("entry").front().region;
    CHECK_THAT(reply.header("banyanledge-server"), Catch::Matchers::Contains("lessons-" + region));
}

TEST_CASE("a large response arrives complete")
{
    const HttpReply reply = get("/s/lessons/bytes?count=20000000", fleet().customerKey());
    REQUIRE(reply.status == 200);
    CHECK(reply.body.size() == 20000000);
}

TEST_CASE("a forged customer header does not reach the backend server")
{
    HttpClient client;
    HttpRequest request{.url = "http://" + entryAddress() + "/s/lessons/a"};
    request.headers = {{"Banyanledge-Key", fleet().customerKey()}, {"Banyanledge-Customer", "somebody-else"}};
    const HttpReply reply = client.send(request);
    REQUIRE(reply.status == 200);
    CHECK(field(parseJson(reply.body), "customer").string_value() == "demo");
}

TEST_CASE("invalid requests are refused with a reason and nothing is executed")
{
    const std::uint64_t before = totalRuns();
    checkRefused(get("/s/lessons/a", ""), 401);
    checkRefused(get("/s/lessons/a", "unknown"), 401);
    checkRefused(get("/s/nothing/a", fleet().customerKey()), 404);
    checkRefused(get("/elsewhere", fleet().customerKey()), 404);
    checkRefused(get("/s/lessons/" + std::string(70000, 'a'), fleet().customerKey()), 400);
    HttpClient client;
    HttpRequest largeRequest{.method = "POST", .url = "http://" + entryAddress() + "/s/lessons/a"};
    largeRequest.body = std::string(9 << 20, 'b');
    largeRequest.headers["Banyanledge-Key"] = fleet().customerKey();
    const HttpReply refused = client.send(largeRequest);
    CHECK((refused.status == 413 || refused.status == 400 || !refused.complete()));
    CHECK(totalRuns() == before);
}

TEST_CASE("ambiguous or malformed framing is refused and nothing is executed")
{
    const std::uint64_t before = totalRuns();
    const std::string head =
        "POST /s/lessons/a HTTP/1.1\r\nHost: x\r\nBanyanledge-Key: " + fleet().customerKey() + "\r\n";
    const std::string lengthAndChunked =
        sendRaw(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK_THAT(lengthAndChunked, Catch::Matchers::StartsWith("HTTP/1.1 400"));
    const std::string twoLengths = sendRaw(head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!");
    CHECK_THAT(twoLengths, Catch::Matchers::StartsWith("HTTP/1.1 400"));
    const std::string malformed = sendRaw("NOT HTTP AT ALL\r\n\r\n");
    CHECK_THAT(malformed, Catch::Matchers::StartsWith("HTTP/1.1 400"));
    CHECK(totalRuns() == before);
}

TEST_CASE("the operator API refuses missing or wrong tokens, unknown methods and paths, and invalid JSON")
{
    HttpClient client;
    const std::string url = "http://" + fleet().processes("control").front().operatorAddress + "/v1/customers";
    CHECK(client.send({.url = url}).status == 401);
    CHECK(client.send({.url = url, .headers = {{"Authorization", "Bearer wrong"}}}).status == 401);
    const Process control = fleet().processes("control").front();
    CHECK(fleet().callControl(client, control, {.method = "PATCH", .url = "/v1/customers"}).status == 405);
    CHECK(fleet().callControl(client, control, {.url = "/v1/nothing"}).status == 404);
    CHECK(fleet().callControl(client, control, {.method = "POST", .url = "/v1/customers", .body = "{"}).status == 400);
}

// Declared last, so that it covers the requests of all cases above.
TEST_CASE("no backend server received a customer's key")
{
    HttpClient client;
    for (const std::string &address : fleet().serverAddresses()) {
        const auto state = parseJson(client.send({.url = "http://" + address + "/_state"}).body);
        CHECK(field(state, "keys_seen").number_value() == 0);
    }
}
