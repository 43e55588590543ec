// Tests the gateway between a test client and scripted backend servers.
#include <malloc.h>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gateway/upstream.h"
#include "gateway_fixture.h"
#include "net/address.h"

using namespace banyanledge;

namespace
{

using Connection = std::shared_ptr<ScriptedConnection>;

// Requests that all servers together received.
std::size_t receivedRequestCount(const GatewayFixture &fixture)
{
    std::size_t count = 0;
    for (const auto &server : fixture.servers) {
        count += server.received.size();
    }
    return count;
}

void setRequestHandlers(GatewayFixture &fixture,
                        const std::function<void(const Connection &, const ReceivedRequest &)> &onRequest)
{
    for (auto &server : fixture.servers) {
        server.onRequest = onRequest;
    }
}

// Bytes in use on the heap of this process, which holds gateway, servers and clients.
std::size_t heapBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

TEST_CASE("a request is forwarded unchanged, with the customer's name and without the key")
{
    GatewayFixture fixture;
    fixture.servers[0].onRequest = [](const Connection &connection, const ReceivedRequest &request) {
        connection->respond(request, 201, "body", "X-Custom: 1\r\nLoad: 1,0,4\r\n");
    };
    const auto response = fixture.call(
        GatewayFixture::request("unsafe", "id1", "Customer: forged\r\nExpect: forged\r\nX-Other: o\r\n", "payload"));
    CHECK(response.status() == 201);
    CHECK(response.body == "body");
    CHECK(response.header("Signed") == "s");
    CHECK(response.header("X-Custom") == "1");
    REQUIRE(fixture.servers[0].received.size() == 1);
    const ReceivedRequest &received = fixture.servers[0].received[0];
    CHECK(received.head.method == "POST");
    CHECK(received.head.target == "/unsafe/x?q=1");
    CHECK(received.body == "payload");
    CHECK(received.header("Req-Id") == "id1");
    CHECK(received.header("Customer") == "cust");
    CHECK(received.header("Expect") == "s0");
    CHECK(received.header("X-Other") == "o");
    CHECK(received.header("Authorization").empty());
    const int timeLeftMs = std::stoi(received.header("Left-Ms"));
    CHECK(timeLeftMs <= 1000);
    CHECK(timeLeftMs > 800);
}

TEST_CASE("requests without a route, a valid key or a token are rejected and not forwarded")
{
    GatewayFixture fixture;
    CHECK(fixture.call(GatewayFixture::request("other", "a")).status() == 404);
    CHECK(fixture.call(GatewayFixture::request("safe", "b", "Authorization: Bearer wrong\r\n")).status() == 401);
    CHECK(fixture.call(GatewayFixture::request("safe", "c", "Authorization: Basic key\r\n")).status() == 401);
    fixture.declaration.mutable_customers(0)->set_rate(1);
    fixture.declaration.mutable_customers(0)->set_burst(1);
    fixture.publishView();
    const auto rateLimited =
        fixture.call(GatewayFixture::request("safe", "d")); // the host has no share of the rate yet
    CHECK(rateLimited.status() == 429);
    CHECK_FALSE(rateLimited.header("Retry-After").empty());
    CHECK(receivedRequestCount(fixture) == 0);
    fixture.declaration.mutable_routes(0)->set_open(true);
    fixture.publishView();
    CHECK(fixture.call(GatewayFixture::request("safe", "e", "Authorization: none\r\n")).status() == 200);
    CHECK(fixture.servers[0].received.at(0).header("Customer").empty());
}

// Guards against a 404 or 401 from an old copy of the table for a route or key that was added since.
TEST_CASE("a host whose copy of the table is not confirmed refuses unknown routes and keys with 503")
{
    GatewayFixture fixture;
    const std::string unknownRoute = GatewayFixture::request("other", "a");
    const std::string unknownKey = GatewayFixture::request("safe", "b", "Authorization: Bearer wrong\r\n");
    CHECK(fixture.call(unknownRoute).status() == 404);
    fixture.confirmsView = false;
    fixture.runFor(freshnessLease + milliseconds(50));
    for (const std::string &request : {unknownRoute, unknownKey}) {
        const auto response = fixture.call(request);
        CHECK(response.status() == 503);
        CHECK_FALSE(response.header("Retry-After").empty());
    }
    CHECK(receivedRequestCount(fixture) == 0);
    CHECK(fixture.call(GatewayFixture::request("safe", "c")).status() == 200);
    fixture.gateway->confirmView(Clock::now());
    CHECK(fixture.call(unknownRoute).status() == 404);
    CHECK(fixture.call(unknownKey).status() == 401);
}

// Guards against a slow leader being reported to clients as a customer that exceeded its rate limit.
TEST_CASE("a request whose token call times out gets 503, and a token that arrives later doesn't run it")
{
    GatewayFixture fixture;
    fixture.declaration.mutable_customers(0)->set_rate(1);
    fixture.declaration.mutable_customers(0)->set_burst(1);
    fixture.publishView();
    std::function<void(const proto::TakeTokensReply &)> sendTokenReply;
    fixture.takeTokens = [&sendTokenReply](const auto &, auto done) { sendTokenReply = std::move(done); };
    const auto refused = fixture.call(GatewayFixture::request("safe", "a"));
    CHECK(refused.status() == 503);
    CHECK(refused.body == "the control leader granted no token in time\n");
    CHECK_FALSE(refused.header("Retry-After").empty());
    proto::TakeTokensReply lateReply;
    lateReply.add_granted()->set_customer("cust");
    lateReply.mutable_granted(0)->set_amount(1);
    sendTokenReply(lateReply);
    fixture.runFor(milliseconds(50));
    CHECK(receivedRequestCount(fixture) == 0);
}

// Guards against placing a request that waited for a token by the list of servers at its arrival: such a request ran on
// a server 3.2 s after the list showed it as leaving.
TEST_CASE("a request that waited for a token is placed by the latest list of servers")
{
    GatewayFixture fixture(2);
    setRequestHandlers(fixture, [](const Connection &connection, const ReceivedRequest &request) {
        connection->respond(request, 200, "ok");
    });
    fixture.declaration.mutable_customers(0)->set_rate(1);
    fixture.declaration.mutable_customers(0)->set_burst(1);
    fixture.publishView();
    proto::TakeTokensReply granted;
    granted.add_granted()->set_customer("cust");
    granted.mutable_granted(0)->set_amount(1);
    fixture.takeTokens = [&](const auto &, auto done) {
        fixture.evacuatedZones = {"z0"};
        fixture.publishView();
        asio::post(fixture.loop, [granted, done] { done(granted); });
    };
    for (int i = 0; i < 8; ++i) {
        fixture.evacuatedZones.clear();
        fixture.publishView();
        CHECK(fixture.call(GatewayFixture::request("safe", "w" + std::to_string(i))).status() == 200);
    }
    CHECK(fixture.servers[0].received.empty());
    CHECK(fixture.servers[1].received.size() == 8);
}

// Guards against a single token call at a time, with which a request waited for up to two round trips to the leader.
TEST_CASE("up to three token calls run concurrently, and further requests share the next call")
{
    std::vector<proto::TakeTokensRequest> calls;
    std::vector<std::function<void(const proto::TakeTokensReply &)>> replyCallbacks;
    TokenClient tokens("own", [&](const auto &request, auto done) {
        calls.push_back(request);
        replyCallbacks.push_back(std::move(done));
    });
    std::vector<TokenGrant> grants;
    for (int i = 0; i < 5; ++i) {
        tokens.requestToken("cust", [&grants](TokenGrant grant) { grants.push_back(grant); });
    }
    REQUIRE(calls.size() == 3);
    CHECK(calls[0].wants(0).amount() == 1);
    proto::TakeTokensReply reply;
    reply.set_kind(proto::ERROR_UNAVAILABLE);
    replyCallbacks[0](reply);
    REQUIRE(calls.size() == 4);
    CHECK(calls[3].wants(0).amount() == 2);
    reply.set_kind(proto::ERROR_NONE);
    reply.add_granted()->set_customer("cust");
    reply.mutable_granted(0)->set_amount(1);
    replyCallbacks[3](reply);
    CHECK(grants == std::vector{TokenGrant::Unknown, TokenGrant::Granted, TokenGrant::Refused});
}

// Guards against a lasting imbalance after hosts failed: clients with persistent connections stayed on the hosts that
// were left, and restarted hosts got no load.
TEST_CASE("a host with far more requests than its region's mean closes connections after complete responses")
{
    GatewayFixture fixture;
    const auto countClosedConnections = [&fixture] {
        int count = 0;
        for (int i = 0; i < 40; ++i) {
            const auto response = fixture.call(GatewayFixture::request("safe", "r" + std::to_string(i)));
            CHECK(response.status() == 200);
            CHECK(response.complete);
            count += response.header("Connection") == "close" ? 1 : 0;
        }
        return count;
    };
    CHECK(countClosedConnections() == 0);
    proto::SyncReply reply;
    reply.set_region_request_rate(1);
    fixture.gateway->applySyncReply({}, reply);
    CHECK(countClosedConnections() > 5);
}

TEST_CASE("the route with the longest matching path prefix of the host is used")
{
    GatewayFixture fixture;
    auto *route = fixture.declaration.add_routes();
    *route = fixture.declaration.routes(0);
    route->set_name("longer");
    route->set_path_prefix("/safe/x/");
    route->mutable_split(0)->set_weight(0);
    fixture.publishView();
    CHECK(fixture.call("GET /safe/x/y HTTP/1.1\r\nHost: H.example:80\r\nAuthorization: Bearer key\r\n\r\n").status()
          == 503);
    CHECK(fixture.call("GET /safe/xy HTTP/1.1\r\nHost: H.example:80\r\nAuthorization: Bearer key\r\n\r\n").status()
          == 200);
    CHECK(fixture.call("GET /safe/xy HTTP/1.1\r\nHost: other\r\nAuthorization: Bearer key\r\n\r\n").status() == 404);
}

// Guards against retrying an unsafe request that the server may have executed; it would run twice.
TEST_CASE("an unsafe request whose response is lost is not retried and gets 502")
{
    GatewayFixture fixture(2);
    setRequestHandlers(fixture, [](const Connection &connection, const ReceivedRequest &) { connection->reset(); });
    const auto response = fixture.call(GatewayFixture::request("unsafe", "a", "", "x"));
    CHECK(response.status() == 502);
    fixture.runFor(milliseconds(50));
    CHECK(receivedRequestCount(fixture) == 1);
}

// Guards against resending an unsafe request when the server closes a reused connection as the request arrives.
TEST_CASE("an unsafe request on a reused connection that fails is not sent again")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &request) {
        if (fixture.servers[0].received.size() == 1) {
            connection->respond(request, 200, "ok");
        } else {
            connection->reset();
        }
    };
    CHECK(fixture.call(GatewayFixture::request("unsafe", "a", "", "x")).status() == 200);
    CHECK(fixture.call(GatewayFixture::request("unsafe", "b", "", "x")).status() == 502);
    CHECK(fixture.servers[0].usedConnections == 1);
    CHECK(fixture.servers[0].connections == 2); // one that checks whether the server has crashed
    CHECK(receivedRequestCount(fixture) == 2);
}

// Guards against failing one unsafe request after another when servers drop idle connections silently.
TEST_CASE("after a reused connection failed, unsafe requests use new connections for a while")
{
    GatewayFixture fixture(1);
    int count = 0;
    fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &request) {
        if (++count == 2) {
            connection->reset();
        } else {
            connection->respond(request, 200, "ok");
        }
    };
    CHECK(fixture.call(GatewayFixture::request("unsafe", "a", "", "x")).status() == 200);
    CHECK(fixture.call(GatewayFixture::request("unsafe", "b", "", "x")).status() == 502);
    CHECK(fixture.call(GatewayFixture::request("unsafe", "c", "", "x")).status() == 200);
    fixture.runFor(milliseconds(150));
    CHECK(fixture.call(GatewayFixture::request("unsafe", "d", "", "x")).status() == 200);
    CHECK(fixture.servers[0].usedConnections == 3);
    CHECK(fixture.servers[0].connections == 4); // one that checks whether the server has crashed
}

TEST_CASE("a safe request is retried on another server, up to the route's max_attempts")
{
    GatewayFixture fixture(3);
    bool first = true;
    setRequestHandlers(fixture, [&](const Connection &connection, const ReceivedRequest &request) {
        if (std::exchange(first, false)) {
            connection->reset();
        } else {
            connection->respond(request, 200, "ok");
        }
    });
    CHECK(fixture.call(GatewayFixture::request("safe", "a")).status() == 200);
    CHECK(receivedRequestCount(fixture) == 2);
    setRequestHandlers(fixture, [](const Connection &connection, const ReceivedRequest &) { connection->reset(); });
    CHECK(fixture.call(GatewayFixture::request("safe", "b")).status() == 502);
    CHECK(receivedRequestCount(fixture) == 4);
}

// Guards against an unsafe request that gets 502 although it did not run, because the loop handled it before the end of
// the idle connection or the bytes on it, which had arrived earlier.
TEST_CASE("an idle connection that the server closed or wrote on is not reused, even if the loop has not seen it yet")
{
    GatewayFixture fixture(1);
    Connection idle;
    fixture.servers[0].onRequest = [&idle](const Connection &connection, const ReceivedRequest &request) {
        idle = connection;
        connection->respond(request, 200, "ok");
    };
    const auto socket = fixture.connect();
    asio::write(*socket, asio::buffer(GatewayFixture::request("unsafe", "a", "", "x")));
    CHECK(fixture.receiveResponse(*socket).status() == 200);
    fixture.runFor(milliseconds(20));
    // The loop handles sockets in the order in which they became ready: the client's is the first.
    asio::write(*socket, asio::buffer(GatewayFixture::request("unsafe", "b", "", "x")));
    SECTION("closed")
    {
        idle->close();
    }
    SECTION("reset")
    {
        idle->reset();
    }
    SECTION("bytes without a request")
    {
        idle->write("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
    }
    const auto response = fixture.receiveResponse(*socket);
    CHECK(response.status() == 200);
    CHECK(response.header("Req-Id") == "b");
    CHECK(fixture.servers[0].usedConnections == 2);
    CHECK(receivedRequestCount(fixture) == 2);
}

// Guards against an idle connection on which nothing is read: a slow client had paused the response at its last bytes.
TEST_CASE("an idle connection whose last response was paused at its end still notices the server")
{
    asio::io_context loop;
    ScriptedServer server(loop);
    Connection idle;
    server.onRequest = [&idle](const Connection &connection, const ReceivedRequest &request) {
        idle = connection;
        connection->respond(request, 200, "ok");
    };
    Upstream upstream(loop, {"Req-Id"});
    std::shared_ptr<UpstreamAttempt> attempt;
    bool completed = false;
    AttemptHandlers handlers;
    handlers.head = [](const HttpHead &) {};
    handlers.body = [&attempt](const std::string &) { attempt->setPaused(true); };
    handlers.end = [&completed](AttemptResult result, const std::string &) {
        completed = result == AttemptResult::Completed;
    };
    UpstreamRequest request;
    request.serverId = "s0";
    request.address = *parseEndpoint(server.address());
    request.bytes = "GET / HTTP/1.1\r\nReq-Id: a\r\n\r\n";
    request.requestId = "a";
    attempt = upstream.send(request, handlers);
    loop.run_for(milliseconds(100));
    REQUIRE(completed);
    idle->write("bytes without a request");
    loop.restart();
    loop.run_for(milliseconds(100));
    CHECK(server.disconnects == 1);
}

TEST_CASE("a request that a server refused without executing it is retried whatever its kind")
{
    GatewayFixture fixture(2);
    bool first = true;
    setRequestHandlers(fixture, [&](const Connection &connection, const ReceivedRequest &request) {
        const bool refuse = std::exchange(first, false);
        connection->respond(request, refuse ? 503 : 200, "", refuse ? "Not-Run: 1\r\n" : "");
    });
    CHECK(fixture.call(GatewayFixture::request("unsafe", "a", "", "x")).status() == 200);
    CHECK(receivedRequestCount(fixture) == 2);
    setRequestHandlers(fixture, [](const Connection &connection, const ReceivedRequest &request) {
        connection->respond(request, 503, "", "Not-Run: 1\r\n");
    });
    const auto response = fixture.call(GatewayFixture::request("unsafe", "b", "", "x"));
    CHECK(response.status() == 503);
    CHECK_FALSE(response.header("Retry-After").empty());
    CHECK(response.header("Signed").empty());
}

TEST_CASE("the retry budget limits retries")
{
    GatewayFixture fixture(2);
    setRequestHandlers(fixture, [](const Connection &connection, const ReceivedRequest &) { connection->reset(); });
    for (int i = 0; i < 150; ++i) {
        fixture.call(GatewayFixture::request("safe", "r" + std::to_string(i)));
    }
    // Retries are limited to 20 % of the requests (retry_ratio) plus 100 (retry_slack). Ejected servers get none of the
    // later requests, so that fewer arrive.
    CHECK(receivedRequestCount(fixture) <= 150 * 1.2 + 100);
}

TEST_CASE("the server's own error response is forwarded with its signature")
{
    GatewayFixture fixture(1);
    setRequestHandlers(fixture, [](const Connection &connection, const ReceivedRequest &request) {
        connection->respond(request, 500, "broken");
    });
    const auto response = fixture.call(GatewayFixture::request("unsafe", "a", "", "x"));
    CHECK(response.status() == 500);
    CHECK(response.body == "broken");
    CHECK(response.header("Signed") == "s");
}

// Guards against taking a second response to an earlier request for the response to the current one.
TEST_CASE("a response to another request is skipped")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [](const Connection &connection, const ReceivedRequest &request) {
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: earlier\r\nSigned: s\r\nContent-Length: 5\r\n\r\nwrong");
        connection->respond(request, 200, "right");
    };
    const auto response = fixture.call(GatewayFixture::request("unsafe", "a", "", "x"));
    CHECK(response.status() == 200);
    CHECK(response.body == "right");
    CHECK(response.header("Req-Id") == "a");
}

TEST_CASE("a connection with bytes after a response is not reused")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [](const Connection &connection, const ReceivedRequest &request) {
        connection->respond(request, 200, "ok", "");
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id")
                          + "\r\nSigned: s\r\nContent-Length: 0\r\n\r\n");
    };
    CHECK(fixture.call(GatewayFixture::request("safe", "a")).body == "ok");
    fixture.runFor(milliseconds(20));
    CHECK(fixture.call(GatewayFixture::request("safe", "b")).body == "ok");
    CHECK(fixture.servers[0].connections == 2);
}

TEST_CASE("a success without a signature and invalid HTTP are not forwarded to the client")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [](const Connection &connection, const ReceivedRequest &) {
        connection->write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
    };
    CHECK(fixture.call(GatewayFixture::request("unsafe", "a", "", "x")).status() == 502);
    fixture.servers[0].onRequest = [](const Connection &connection, const ReceivedRequest &) {
        connection->write("\x01\x02garbage\r\n\r\n");
    };
    CHECK(fixture.call(GatewayFixture::request("unsafe", "b", "", "x")).status() == 502);
}

// Guards against a refusal that a faulty server writes once more: clients would be told that a request has not run
// while the server runs it, and it would run at a second server.
TEST_CASE("a refusal that does not name the request is no promise that it has not run")
{
    GatewayFixture fixture(2);
    setRequestHandlers(fixture, [](const Connection &connection, const ReceivedRequest &) {
        connection->write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    const auto response = fixture.call(GatewayFixture::request("unsafe", "a", {}, "x"));
    CHECK(response.status() == 502);
    CHECK(receivedRequestCount(fixture) == 1);
}

// Guards against the same for a refusal of an earlier request, whole or in two pieces around the next request.
TEST_CASE("an earlier refusal that a server writes once more is not taken for that of the next request")
{
    const auto split = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{30}, std::size_t{60});
    const bool beforeRequest = GENERATE(true, false);
    CAPTURE(split, beforeRequest);
    GatewayFixture fixture(1);
    Connection kept;
    const std::string refusal = "HTTP/1.1 503 Full\r\nReq-Id: a\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull";
    fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &request) {
        if (request.header("Req-Id") == "a") {
            kept = connection;
            connection->write(refusal);
            return;
        }
        if (connection == kept) {
            connection->write(refusal.substr(beforeRequest ? split : 0));
        }
        connection->respond(request, 200, "run");
    };
    CHECK(fixture.call(GatewayFixture::request("unsafe", "a", {}, "x")).status() == 503);
    fixture.runFor(milliseconds(100)); // until the server counts as free again
    if (beforeRequest) {
        kept->write(refusal.substr(0, split));
        fixture.runFor(milliseconds(10));
    }
    const auto response = fixture.call(GatewayFixture::request("unsafe", "b", {}, "x"));
    CHECK(response.status() == 200);
    CHECK(response.body == "run");
    CHECK(fixture.servers[0].received.size() == 2);
}

// Guards against a head that ends in the middle and reaches the client as a whole response with an empty or short body.
TEST_CASE("a response whose head ends in the middle is no response")
{
    const std::string kind = GENERATE("safe", "unsafe", "download");
    const std::string whole = "HTTP/1.1 200 OK\r\nReq-Id: a\r\nSigned: s\r\nContent-Length: 12345\r\n\r\n";
    for (std::size_t size = 1; size < whole.size(); ++size) {
        CAPTURE(kind, whole.substr(0, size));
        GatewayFixture fixture(1);
        fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &) {
            connection->write(whole.substr(0, size));
            connection->close();
        };
        const auto response = fixture.call(GatewayFixture::request(kind, "a"));
        CHECK(response.status() == 502);
        CHECK(response.complete);
    }
}

// Guards against an incomplete response that looks complete to the client.
TEST_CASE("an incomplete short response is retried, a long one ends the client's connection")
{
    GatewayFixture fixture(2);
    bool first = true;
    setRequestHandlers(fixture, [&](const Connection &connection, const ReceivedRequest &request) {
        if (std::exchange(first, false)) {
            connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id")
                              + "\r\nSigned: s\r\nContent-Length: 10\r\n\r\nabc");
            connection->close();
        } else {
            connection->respond(request, 200, "whole");
        }
    });
    CHECK(fixture.call(GatewayFixture::request("download", "a")).body == "whole");
    setRequestHandlers(fixture, [&](const Connection &connection, const ReceivedRequest &request) {
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id")
                          + "\r\nSigned: s\r\nContent-Length: 400000\r\n\r\n" + std::string(300000, 'x'));
        connection->close();
    });
    const auto incomplete = fixture.call(GatewayFixture::request("download", "b"));
    CHECK(incomplete.status() == 200);
    CHECK_FALSE(incomplete.complete);
}

// Guards against an incomplete response that looks complete because it was begun early, as the host has no memory left.
TEST_CASE("while the budget of response bytes is spent, an incomplete short response ends the client's connection")
{
    const std::string framing = GENERATE("Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n");
    CAPTURE(framing);
    GatewayFixture fixture(2);
    ByteBudget::Share others(fixture.gateway->responseBudget());
    setRequestHandlers(fixture, [&](const Connection &connection, const ReceivedRequest &request) {
        others.set(32UL << 20);
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id") + "\r\nSigned: s\r\n" + framing
                          + "\r\n3\r\nabc\r\n");
        connection->close();
    });
    const auto incomplete = fixture.call(GatewayFixture::request("safe", "a"));
    CHECK(incomplete.status() == 200);
    CHECK_FALSE(incomplete.complete);
    CHECK(receivedRequestCount(fixture) == 1);
}

TEST_CASE("a response without Content-Length ends with the server's connection")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [](const Connection &connection, const ReceivedRequest &request) {
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id") + "\r\nSigned: s\r\n\r\nall of it");
        connection->close();
    };
    const auto response = fixture.call(GatewayFixture::request("safe", "a"));
    CHECK(response.complete);
    CHECK(response.body == "all of it");
}

TEST_CASE("a long response is streamed completely")
{
    GatewayFixture fixture(1);
    const std::string body(1500000, 'y');
    fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &request) {
        connection->respond(request, 200, body);
    };
    const auto response = fixture.call(GatewayFixture::request("download", "a"));
    CHECK(response.complete);
    CHECK(response.body == body);
}

// Guards against a server that goes on working on a request whose client has disconnected.
TEST_CASE("the connection to the server is closed when the client disconnects")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [](const Connection &, const ReceivedRequest &) {};
    {
        const auto socket = fixture.connect();
        asio::write(*socket, asio::buffer(GatewayFixture::request("safe", "a")));
        fixture.runUntil([&] { return !fixture.servers[0].received.empty(); });
    }
    fixture.runUntil([&] { return fixture.servers[0].disconnects == 1; });
    CHECK(fixture.gateway->inFlight() == 0);
}

// Guards against requests that outlive the gateway in the handlers of its loop, and then write to its freed memory.
// Only a build with the address sanitizer sees the write; the fixture ends in the same order as GatewayHost.
TEST_CASE("no request is left once the server for clients has ended and the loop was drained")
{
    GatewayFixture fixture(1);
    bool arrived = false;
    std::function<void(const proto::TakeTokensReply &)> sendTokenReply;
    std::string kind = "safe";
    SECTION("at a server")
    {
        fixture.servers[0].onRequest = [&](const Connection &, const ReceivedRequest &) { arrived = true; };
    }
    SECTION("in the middle of its response")
    {
        kind = "download";
        fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &) {
            connection->write("HTTP/1.1 200 OK\r\nReq-Id: a\r\nSigned: s\r\nContent-Length: 400000\r\n\r\n"
                              + std::string(200000, 'x'));
            arrived = true;
        };
    }
    SECTION("waiting for a token")
    {
        fixture.declaration.mutable_customers(0)->set_rate(1);
        fixture.declaration.mutable_customers(0)->set_burst(1);
        fixture.publishView();
        fixture.takeTokens = [&](const auto &, auto done) {
            sendTokenReply = std::move(done);
            arrived = true;
        };
    }
    const auto socket = fixture.connect();
    asio::write(*socket, asio::buffer(GatewayFixture::request(kind, "a")));
    fixture.runUntil([&] { return arrived; });
    CHECK(fixture.gateway->inFlight() == 1);
    fixture.httpServer.reset();
    if (sendTokenReply) {
        std::exchange(sendTokenReply, {})({}); // as the client of the control hosts does when it is stopped
    }
    fixture.loop.restart();
    fixture.loop.poll();
    CHECK(fixture.gateway->inFlight() == 0);
}

// The client states a timeout shorter than the route's first, then the route's is the shorter one.
TEST_CASE("the timeout of the client or the route ends a request at once with 504")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [](const Connection &, const ReceivedRequest &) {};
    const Time startTime = Clock::now();
    std::string bytes = GatewayFixture::request("safe", "a");
    bytes.replace(bytes.find("1000"), 4, "200"); // Left-Ms
    CHECK(fixture.call(bytes).status() == 504);
    CHECK(Clock::now() - startTime < milliseconds(450));
    fixture.runUntil([&] { return fixture.servers[0].disconnects == 1; });
    fixture.declaration.mutable_routes(0)->set_timeout_ms(100);
    fixture.publishView();
    const Time routeStartTime = Clock::now();
    CHECK(fixture.call(GatewayFixture::request("safe", "b")).status() == 504);
    CHECK(Clock::now() - routeStartTime < milliseconds(350));
}

// Guards against requests that are accepted shortly before the end of a planned stop and cut without an answer.
TEST_CASE("a stopping host rejects requests that may run past its end and answers the others before it")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [](const Connection &, const ReceivedRequest &) {};
    const auto socket = fixture.connect();
    asio::write(*socket, asio::buffer(GatewayFixture::request("unsafe", "a", {}, "body")));
    fixture.runUntil([&] { return receivedRequestCount(fixture) == 1; });
    const Time end = Clock::now() + milliseconds(500);
    fixture.gateway->beginStop(end);
    const ClientResponse rejected = fixture.call(GatewayFixture::request("unsafe", "b", {}, "body"));
    CHECK(rejected.status() == 503);
    CHECK_FALSE(rejected.header("Retry-After").empty());
    CHECK(receivedRequestCount(fixture) == 1);
    std::string brief = GatewayFixture::request("safe", "c");
    brief.replace(brief.find("Left-Ms: 1000"), 13, "Left-Ms: 100");
    CHECK(fixture.call(brief).status() == 504); // sent, because its time limit is before the end
    CHECK(receivedRequestCount(fixture) == 2);
    CHECK(fixture.receiveResponse(*socket).status() == 504);
    CHECK(Clock::now() < end + milliseconds(100));
}

TEST_CASE("an evacuated availability zone gets no requests, and requests get 503 when all zones are evacuated")
{
    GatewayFixture fixture(2);
    fixture.evacuatedZones = {"z0"};
    fixture.publishView();
    for (int i = 0; i < 8; ++i) {
        std::string bytes = GatewayFixture::request("safe", "r" + std::to_string(i));
        bytes.replace(bytes.find("Object: 17"), 10, "Object: " + std::to_string(20 + i));
        CHECK(fixture.call(bytes).status() == 200);
    }
    CHECK(fixture.servers[0].received.empty());
    fixture.evacuatedZones = {"z0", "z1"};
    fixture.publishView();
    const auto response = fixture.call(GatewayFixture::request("safe", "last"));
    CHECK(response.status() == 503);
    CHECK_FALSE(response.header("Retry-After").empty());
    CHECK(receivedRequestCount(fixture) == 8);
}

// Guards against a response without end, which would fill the memory of the host and hold the client until its
// deadline.
TEST_CASE("bytes without end from a server end the attempt, and the client gets a true answer soon")
{
    const std::string signedHead = "Req-Id: a\r\nSigned: s\r\n";
    const auto [head, repeated] = GENERATE_COPY(table<std::string, std::string>({
        {"HTTP/1.1 500 X\r\n" + signedHead + "\r\n", "body without a length "},
        {"HTTP/1.1 503 X\r\n" + signedHead + "Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
         "10\r\n0123456789abcdef\r\n"},
        {"HTTP/1.1 200 X\r\nReq-Id: a\r\n\r\n", "no signature "},
        {"HTTP/1.1 200 X\r\nReq-Id: another\r\n\r\n", "response to another request "},
        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"HTTP/1.1 200 X\r\n", "X-Endless: head\r\n"},
        {"", "bytes that are no response "},
    }));
    CAPTURE(head, repeated);
    std::string piece;
    while (piece.size() < 16384) {
        piece += repeated;
    }
    std::size_t sent = 0;
    // Declared before the fixture, whose destructor runs what is left in the loop: the last call of this function.
    std::function<void(Connection)> sendPiece;
    GatewayFixture fixture(1);
    sendPiece = [&](const Connection &connection) {
        if (fixture.servers[0].disconnects == 0) {
            connection->write(piece);
            sent += piece.size();
            asio::post(fixture.loop, [&sendPiece, connection] { sendPiece(connection); });
        }
    };
    setRequestHandlers(fixture, [&, head = head](const Connection &connection, const ReceivedRequest &) {
        connection->write(head);
        sendPiece(connection);
    });
    const Time begin = Clock::now();
    const auto response = fixture.call(GatewayFixture::request("unsafe", "a", "Left-Ms: 8000\r\n"));
    CHECK(response.status() == 502); // the server may have run it
    CHECK(Clock::now() - begin < milliseconds(2000));
    fixture.runUntil([&] { return fixture.servers[0].disconnects > 0; });
    CHECK(sent < 8UL * 1024 * 1024);
}

// Guards against responses that fill the memory of the host together though each stays within its own limit: many
// servers send without end, and the clients read nothing.
TEST_CASE("the bytes of all responses that a host holds stay within its budget")
{
    const std::string framing = GENERATE("Content-Length: 1000000000\r\n", "Transfer-Encoding: chunked\r\n", "");
    CAPTURE(framing);
    constexpr std::size_t requestCount = 100;
    constexpr std::size_t budgetBytes = 32UL << 20;
    // Beyond the budget, each request may hold one read from its server, and has buffers of connections and small
    // objects.
    constexpr std::size_t bytesPerRequest = 96UL << 10;
    const std::string piece =
        framing[0] == 'T' ? "4000\r\n" + std::string(0x4000, 'x') + "\r\n" : std::string(16384, 'x');
    struct Sender
    {
        Connection connection;
        std::size_t sent = 0;
    };
    GatewayFixture fixture(requestCount / 4);
    // Shared with the handler, which may run once more at the end of the fixture.
    const auto senders = std::make_shared<std::vector<Sender>>();
    fixture.declaration.mutable_services(0)->set_warmup_ms(0);
    for (auto &route : *fixture.declaration.mutable_routes()) {
        route.set_timeout_ms(60000);
        route.set_affinity(false); // all servers get requests
    }
    fixture.publishView();
    setRequestHandlers(fixture, [senders, framing](const Connection &connection, const ReceivedRequest &request) {
        const std::string id = request.header("Req-Id");
        connection->write("HTTP/1.1 200 X\r\nReq-Id: " + id + "\r\nSigned: s\r\n" + framing + "\r\n");
        senders->push_back({connection});
    });
    // Whether any server could send; a piece goes on where its last part ended.
    const auto sendSome = [&] {
        bool progress = false;
        for (Sender &sender : *senders) {
            const std::size_t offset = sender.sent % piece.size();
            const std::size_t size = sender.connection->writeAvailable(std::string_view(piece).substr(offset));
            sender.sent += size;
            progress = progress || size > 0;
        }
        return progress;
    };
    const std::size_t heapBefore = heapBytes();
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> clients;
    for (std::size_t i = 0; i < requestCount; ++i) {
        clients.push_back(fixture.connect());
        std::string request = GatewayFixture::request("download", "r" + std::to_string(i));
        const std::string timeLeft = "Left-Ms: 1000\r\n";
        request.replace(request.find(timeLeft), timeLeft.size(), "Left-Ms: 60000\r\n");
        asio::write(*clients.back(), asio::buffer(request));
    }
    fixture.runUntil([&] { return senders->size() == requestCount; });
    // Until no server can send: the sockets are full, and the gateway reads no more.
    unsigned idleRounds = 0;
    while (idleRounds < 20) {
        idleRounds = sendSome() ? 0 : idleRounds + 1;
        fixture.runFor(milliseconds(idleRounds > 0 ? 5 : 1));
    }
    CHECK(heapBytes() - heapBefore < budgetBytes + requestCount * bytesPerRequest);
    CHECK(fixture.gateway->inFlight() == requestCount);
    // Each response goes on once its client reads.
    std::vector<char> received(2UL << 20);
    for (std::size_t i = 0; i < requestCount; ++i) {
        bool read = false;
        asio::async_read(*clients[i], asio::buffer(received), [&read](auto error, std::size_t) { read = !error; });
        fixture.runUntil([&] {
            sendSome();
            return read;
        });
        clients[i].reset(); // makes room for the next one
    }
    fixture.runUntil([&] { return fixture.gateway->inFlight() == 0; });
    fixture.runUntil([&] { return fixture.gateway->responseBudget()->held() == 0; });
}

// Guards against heads of many short lines, which take far more memory than their bytes, and against those of many
// requests that never end.
TEST_CASE("a response head that takes much memory ends the attempt, and common ones are forwarded")
{
    const auto repeated = [](const std::string &text, std::size_t count) {
        std::string result;
        for (std::size_t i = 0; i < count; ++i) {
            result += text;
        }
        return result;
    };
    const std::string signedHead = "HTTP/1.1 200 X\r\nReq-Id: a\r\nSigned: s\r\n";
    const std::string end = "Content-Length: 2\r\n\r\nok";
    const auto [head, budgetSpent, status] = GENERATE_COPY(table<std::string, bool, int>({
        {signedHead + repeated("a:\r\n", 100) + end, false, 200},
        {signedHead + "Long: " + std::string(30000, 'x') + "\r\n" + end, false, 200},
        {signedHead + "Long: " + std::string(1000, 'x') + "\r\n" + end, true, 200},
        {signedHead + repeated("a:\r\n", 200), false, 502},
        {signedHead + repeated("a:\r\n", 200) + end, false, 502},
        {signedHead + "Long: " + std::string(40000, 'x'), false, 502},
        {signedHead + "Long: " + std::string(30000, 'x'), true, 502},
    }));
    CAPTURE(head.size(), budgetSpent);
    GatewayFixture fixture(1);
    ByteBudget::Share others(fixture.gateway->responseBudget());
    fixture.servers[0].onRequest = [&, head = head, budgetSpent = budgetSpent](const Connection &connection,
                                                                               const ReceivedRequest &) {
        others.set(budgetSpent ? 32UL << 20 : 0);
        connection->write(head);
    };
    const auto response = fixture.call(GatewayFixture::request("unsafe", "a"));
    CHECK(response.status() == status); // 502: the server may have run it
}

// Guards against a host that accepts requests whose responses it can't hold, and against a response that waits for ever
// for memory while its client reads.
TEST_CASE("a host whose budget of response bytes is spent refuses requests as not run and completes those in progress")
{
    constexpr std::size_t budgetBytes = 32UL << 20;
    const std::string largeBody(1500000, 'y');
    const std::string errorBody(6000, 'e');
    GatewayFixture fixture(1);
    ByteBudget::Share others(fixture.gateway->responseBudget());
    fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &request) {
        others.set(budgetBytes);
        const bool isError = request.header("Req-Id") == "error";
        connection->respond(request, isError ? 500 : 200, isError ? errorBody : largeBody);
    };
    const auto response = fixture.call(GatewayFixture::request("download", "large"));
    CHECK(response.complete);
    CHECK(response.body == largeBody);
    const auto refused = fixture.call(GatewayFixture::request("unsafe", "refused", {}, "x"));
    CHECK(refused.status() == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK(receivedRequestCount(fixture) == 1);
    others.set(0);
    const auto error = fixture.call(GatewayFixture::request("unsafe", "error"));
    CHECK(error.status() == 500);
    CHECK(error.body == errorBody);
    others.set(0);
    CHECK(fixture.call(GatewayFixture::request("safe", "b")).body == largeBody);
    others.set(0);
    fixture.runUntil([&] { return fixture.gateway->responseBudget()->held() == 0; });
}

// Two requests arrive in one write; the second is still answered when closeAfterResponses() follows the first response.
TEST_CASE("pipelined requests on one connection are answered in order")
{
    GatewayFixture fixture(1);
    const auto socket = fixture.connect();
    asio::write(*socket, asio::buffer(GatewayFixture::request("safe", "a") + GatewayFixture::request("safe", "b")));
    const auto first = fixture.receiveResponse(*socket);
    CHECK(first.header("Req-Id") == "a");
    fixture.httpServer->closeAfterResponses();
    asio::write(*socket, asio::buffer(GatewayFixture::request("safe", "c")));
    const auto second = fixture.receiveResponse(*socket);
    CHECK(second.status() == 200);
    CHECK(second.header("Req-Id") == "b");
}

// Guards against requests that run at sound servers and get no answer, because a streamed response before them broke
// off and its connection had to be reset.
TEST_CASE("a request behind a download waits for its end, so that a cut download does not take its answer along")
{
    GatewayFixture fixture(1);
    Connection download;
    fixture.servers[0].onRequest = [&download](const Connection &connection, const ReceivedRequest &request) {
        if (request.head.target.starts_with("/download")) {
            download = connection;
            connection->write("HTTP/1.1 200 OK\r\nReq-Id: a\r\nSigned: s\r\nContent-Length: 400000\r\n\r\n"
                              + std::string(200000, 'x'));
        } else {
            connection->respond(request, 200, "ok");
        }
    };
    const auto socket = fixture.connect();
    asio::write(*socket, asio::buffer(GatewayFixture::request("download", "a") + GatewayFixture::request("safe", "b")));
    fixture.runUntil([&] { return download != nullptr; });
    fixture.runFor(milliseconds(50));
    download->reset();
    CHECK_FALSE(fixture.receiveResponse(*socket).complete);
    CHECK(receivedRequestCount(fixture) == 1);
}

// Guards against a sound server that is charged with a timeout, and ejected after three of them, by requests whose time
// had passed before they were sent to it.
TEST_CASE("a request whose time passed while it waited behind another one is not sent to a server")
{
    GatewayFixture fixture(1);
    Connection download;
    ReceivedRequest downloadRequest;
    fixture.servers[0].onRequest = [&](const Connection &connection, const ReceivedRequest &request) {
        if (request.head.target.starts_with("/download")) {
            download = connection;
            downloadRequest = request;
        } else {
            connection->respond(request, 200, "ran");
        }
    };
    const auto socket = fixture.connect();
    std::string late = GatewayFixture::request("safe", "b");
    late.replace(late.find("Left-Ms: 1000"), 13, "Left-Ms: 100");
    asio::write(*socket, asio::buffer(GatewayFixture::request("download", "a") + late));
    fixture.runUntil([&] { return download != nullptr; });
    fixture.runFor(milliseconds(150));
    download->respond(downloadRequest, 200, "whole");
    std::string received;
    socket->non_blocking(true);
    fixture.runUntil([&] {
        std::array<char, 4096> chunk{};
        asio::error_code error; // no bytes yet
        received.append(chunk.data(), socket->read_some(asio::buffer(chunk), error));
        return received.find("HTTP/1.1", 1) != std::string::npos
            && (received.ends_with("\n") || received.ends_with("ran"));
    });
    CHECK(received.starts_with("HTTP/1.1 200 "));
    CHECK(received.find("\r\n\r\nwholeHTTP/1.1 503 ") != std::string::npos);
    CHECK(received.ends_with("\r\n\r\nthe time passed before it was sent to a backend server\n"));
    CHECK(receivedRequestCount(fixture) == 1);
}

// Guards against the same for a request that waited for the leader's token longer than it had time.
TEST_CASE("a request whose time passed while it waited for a token is not sent to a server")
{
    GatewayFixture fixture(1);
    fixture.declaration.mutable_customers(0)->set_rate(1);
    fixture.declaration.mutable_customers(0)->set_burst(1);
    fixture.publishView();
    std::function<void(const proto::TakeTokensReply &)> sendTokenReply;
    fixture.takeTokens = [&sendTokenReply](const auto &, auto done) { sendTokenReply = std::move(done); };
    const auto socket = fixture.connect();
    std::string bytes = GatewayFixture::request("safe", "a");
    bytes.replace(bytes.find("Left-Ms: 1000"), 13, "Left-Ms: 50");
    asio::write(*socket, asio::buffer(bytes));
    fixture.runUntil([&] { return bool(sendTokenReply); });
    fixture.runFor(milliseconds(80));
    proto::TakeTokensReply reply;
    reply.add_granted()->set_customer("cust");
    reply.mutable_granted(0)->set_amount(1);
    sendTokenReply(reply);
    const auto response = fixture.receiveResponse(*socket);
    CHECK(response.status() == 503);
    CHECK(response.body == "the time passed before it was sent to a backend server\n");
    CHECK_FALSE(response.header("Retry-After").empty());
    CHECK(receivedRequestCount(fixture) == 0);
}

TEST_CASE("requests beyond the declared limits are rejected")
{
    GatewayFixture fixture(1);
    fixture.declaration.mutable_limits()->set_max_header_bytes(500);
    fixture.declaration.mutable_limits()->set_max_body_bytes(10);
    fixture.declaration.mutable_limits()->set_header_timeout_ms(100);
    fixture.declaration.mutable_limits()->set_idle_timeout_ms(1000);
    fixture.publishView();
    CHECK(fixture.call(GatewayFixture::request("safe", "a", "X: " + std::string(1000, 'x') + "\r\n")).status() == 431);
    CHECK(fixture.call(GatewayFixture::request("unsafe", "b", "", std::string(11, 'x'))).status() == 413);
    CHECK(fixture.call("GET /safe/ HTTP/1.1\r\nHost: h.exa").status() == 408);
    CHECK(fixture.call("nonsense\r\n\r\n").status() == 400);
    CHECK(receivedRequestCount(fixture) == 0);
}

// Guards against a request whose body is decoded in part, and forwarded without the coding that it still has.
TEST_CASE("a request with another transfer coding than chunked is refused and not forwarded")
{
    const std::string coding = GENERATE("gzip, chunked", "chunked, chunked", "chunked\r\nTransfer-Encoding: chunked",
                                        "gzip\r\nTransfer-Encoding: chunked");
    GatewayFixture fixture(1);
    const std::string head = GatewayFixture::request("unsafe", "a", "Transfer-Encoding: " + coding + "\r\n");
    const auto socket = fixture.connect();
    asio::write(*socket, asio::buffer("POST" + head.substr(3) + "1\r\nx\r\n0\r\n\r\n"));
    CHECK(fixture.receiveResponse(*socket).status() == 400);
    fixture.runFor(milliseconds(20));
    CHECK(fixture.servers[0].received.empty());
}

// Guards against a request whose body is another one than its client meant, or holds the next request.
TEST_CASE("a request with broken chunks or trailers is refused and not forwarded")
{
    const std::string body = GENERATE("1\r\nxXX0\r\n\r\n", "1\rXx\r\n0\r\n\r\n", "1;a\nb\r\nx\r\n0\r\n\r\n",
                                      "1\r\nx\r\n0\r\nX Y: z\r\n\r\n", "1\r\nx\r\n0\r\n\rX");
    GatewayFixture fixture(1);
    const std::string head = GatewayFixture::request("unsafe", "a", "Transfer-Encoding: chunked\r\n");
    const auto socket = fixture.connect();
    asio::write(*socket, asio::buffer("POST" + head.substr(3) + body));
    CHECK(fixture.receiveResponse(*socket).status() == 400);
    fixture.runFor(milliseconds(20));
    CHECK(fixture.servers[0].received.empty());
}

// Guards against a request that shows its server two lengths, or a customer beside the one whose key it carries.
TEST_CASE("a request with a blank in the name of a header is refused and not forwarded")
{
    const std::string line =
        GENERATE("X Y: z", "Customer : other", "Content-Length : 5", "Transfer-Encoding : chunked", " Object: 1");
    GatewayFixture fixture(1);
    std::string request = GatewayFixture::request("unsafe", "a", {}, "x");
    request.insert(request.find("\r\n") + 2, line + "\r\n");
    const auto socket = fixture.connect();
    asio::write(*socket, asio::buffer(request));
    CHECK(fixture.receiveResponse(*socket).status() == 400);
    fixture.runFor(milliseconds(20));
    CHECK(fixture.servers[0].received.empty());
    CHECK_FALSE(fixture.receiveResponse(*socket).complete); // the connection has ended
}

TEST_CASE("look-ups return the live hosts of the client's region, or all hosts when it has none")
{
    GatewayFixture fixture(1);
    CHECK(fixture.gateway->hostsFor("r", "") == std::vector<std::string>{fixture.address});
    CHECK(fixture.gateway->hostsFor("elsewhere", "") == std::vector<std::string>{fixture.address});
    CHECK(fixture.gateway->ready());
}

TEST_CASE("a split gives each service its weight of the requests")
{
    GatewayFixture fixture(1);
    // A service without servers: its requests are rejected, not sent to the other service.
    fixture.declaration.add_services()->set_name("none");
    auto *part = fixture.declaration.mutable_routes(0)->add_split();
    part->set_service("none");
    part->set_weight(3);
    fixture.publishView();
    int served = 0;
    for (int i = 0; i < 40; ++i) {
        served += fixture.call(GatewayFixture::request("safe", "r" + std::to_string(i))).status() == 200 ? 1 : 0;
    }
    CHECK(served == 10);
}
