// The gateway between scripted callers and scripted backend servers.
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gateway_bed.h"

using namespace banyanledge;

namespace
{

using Connection = std::shared_ptr<ScriptedConnection>;

// Requests that reached any server.
std::size_t arrivals(const GatewayBed &bed)
{
    std::size_t count = 0;
    for (const auto &server : bed.servers) {
        count += server.seen.size();
    }
    return count;
}

void scriptAll(GatewayBed &bed, const std::function<void(const Connection &, const SeenRequest &)> &script)
{
    for (auto &server : bed.servers) {
        server.script = script;
    }
}

} // namespace

TEST_CASE("a request reaches a server unchanged, with the customer and without the key")
{
    GatewayBed bed;
    bed.servers[0].script = [](const Connection &connection, const SeenRequest &request) {
        connection->answer(request, 201, "body", "X-Custom: 1\r\nLoad: 1,0,4\r\n");
    };
    const auto answer = bed.call(
        GatewayBed::request("unsafe", "id1", "Customer: forged\r\nExpect: forged\r\nX-Other: o\r\n", "payload"));
    CHECK(answer.status() == 201);
    CHECK(answer.body == "body");
    CHECK(answer.header("Signed") == "s");
    CHECK(answer.header("X-Custom") == "1");
    REQUIRE(bed.servers[0].seen.size() == 1);
    const SeenRequest &seen = bed.servers[0].seen[0];
    CHECK(seen.head.method == "POST");
    CHECK(seen.head.target == "/unsafe/x?q=1");
    CHECK(seen.body == "payload");
    CHECK(seen.header("Req-Id") == "id1");
    CHECK(seen.header("Customer") == "cust");
    CHECK(seen.header("Expect") == "s0");
    CHECK(seen.header("X-Other") == "o");
    CHECK(seen.header("Authorization").empty());
    const int left = std::stoi(seen.header("Left-Ms"));
    CHECK(left <= 1000);
    CHECK(left > 800);
}

TEST_CASE("requests without a route, a key or a token are refused and never sent")
{
    GatewayBed bed;
    CHECK(bed.call(GatewayBed::request("other", "a")).status() == 404);
    CHECK(bed.call(GatewayBed::request("safe", "b", "Authorization: Bearer wrong\r\n")).status() == 401);
    CHECK(bed.call(GatewayBed::request("safe", "c", "Authorization: Basic key\r\n")).status() == 401);
    bed.declaration.mutable_customers(0)->set_rate(1);
    bed.declaration.mutable_customers(0)->set_burst(1);
    bed.publish();
    const auto limited = bed.call(GatewayBed::request("safe", "d")); // no share of the rate is held yet
    CHECK(limited.status() == 429);
    CHECK_FALSE(limited.header("Retry-After").empty());
    CHECK(arrivals(bed) == 0);
    bed.declaration.mutable_routes(0)->set_open(true);
    bed.publish();
    CHECK(bed.call(GatewayBed::request("safe", "e", "Authorization: none\r\n")).status() == 200);
    CHECK(bed.servers[0].seen.at(0).header("Customer").empty());
}

// A leader that was slow was reported to callers as a customer beyond its rate.
TEST_CASE("a request that gets no answer about its token is refused as such, and a late token doesn't run it")
{
    GatewayBed bed;
    bed.declaration.mutable_customers(0)->set_rate(1);
    bed.declaration.mutable_customers(0)->set_burst(1);
    bed.publish();
    std::function<void(const proto::TakeTokensReply &)> answer;
    bed.takeTokens = [&answer](const auto &, auto done) { answer = std::move(done); };
    const auto refused = bed.call(GatewayBed::request("safe", "a"));
    CHECK(refused.status() == 503);
    CHECK(refused.body == "the control leader granted no token in time\n");
    CHECK_FALSE(refused.header("Retry-After").empty());
    proto::TakeTokensReply late;
    late.add_granted()->set_customer("cust");
    late.mutable_granted(0)->set_amount(1);
    answer(late);
    bed.runFor(milliseconds(50));
    CHECK(arrivals(bed) == 0);
}

// A request that had waited for a token ran on a server 3.2 s after the list showed that it leaves.
TEST_CASE("a request that waited is placed by the newest list of servers")
{
    GatewayBed bed(2);
    scriptAll(bed,
              [](const Connection &connection, const SeenRequest &request) { connection->answer(request, 200, "ok"); });
    bed.declaration.mutable_customers(0)->set_rate(1);
    bed.declaration.mutable_customers(0)->set_burst(1);
    bed.publish();
    proto::TakeTokensReply granted;
    granted.add_granted()->set_customer("cust");
    granted.mutable_granted(0)->set_amount(1);
    bed.takeTokens = [&](const auto &, auto done) {
        bed.evacuated = {"z0"};
        bed.publish();
        asio::post(bed.loop, [granted, done] { done(granted); });
    };
    for (int i = 0; i < 8; ++i) {
        bed.evacuated.clear();
        bed.publish();
        CHECK(bed.call(GatewayBed::request("safe", "w" + std::to_string(i))).status() == 200);
    }
    CHECK(bed.servers[0].seen.empty());
    CHECK(bed.servers[1].seen.size() == 8);
}

// One call at a time made requests wait for up to two round trips to the leader.
TEST_CASE("token calls overlap, and requests beyond a few calls ask together")
{
    std::vector<proto::TakeTokensRequest> calls;
    std::vector<std::function<void(const proto::TakeTokensReply &)>> answers;
    TokenCalls tokens("own", [&](const auto &request, auto done) {
        calls.push_back(request);
        answers.push_back(std::move(done));
    });
    std::vector<TokenGrant> grants;
    for (int i = 0; i < 5; ++i) {
        tokens.request("cust", [&grants](TokenGrant grant) { grants.push_back(grant); });
    }
    REQUIRE(calls.size() == 3);
    CHECK(calls[0].wants(0).amount() == 1);
    proto::TakeTokensReply reply;
    reply.set_kind(proto::ERROR_UNAVAILABLE);
    answers[0](reply);
    REQUIRE(calls.size() == 4);
    CHECK(calls[3].wants(0).amount() == 2);
    reply.set_kind(proto::ERROR_NONE);
    reply.add_granted()->set_customer("cust");
    reply.mutable_granted(0)->set_amount(1);
    answers[3](reply);
    CHECK(grants == std::vector{TokenGrant::Unknown, TokenGrant::Granted, TokenGrant::Refused});
}

// Callers that keep their connections stayed on the hosts that outlived the others.
TEST_CASE("a host with far more requests than its region's mean closes connections after whole answers")
{
    GatewayBed bed;
    const auto closed = [&bed] {
        int count = 0;
        for (int i = 0; i < 40; ++i) {
            const auto answer = bed.call(GatewayBed::request("safe", "r" + std::to_string(i)));
            CHECK(answer.status() == 200);
            CHECK(answer.complete);
            count += answer.header("Connection") == "close" ? 1 : 0;
        }
        return count;
    };
    CHECK(closed() == 0);
    proto::SyncReply reply;
    reply.set_region_request_rate(1);
    bed.gateway->applySyncReply({}, reply);
    CHECK(closed() > 5);
}

TEST_CASE("the longest prefix of the host wins")
{
    GatewayBed bed;
    auto *route = bed.declaration.add_routes();
    *route = bed.declaration.routes(0);
    route->set_name("longer");
    route->set_path_prefix("/safe/x/");
    route->mutable_split(0)->set_weight(0);
    bed.publish();
    CHECK(bed.call("GET /safe/x/y HTTP/1.1\r\nHost: H.example:80\r\nAuthorization: Bearer key\r\n\r\n").status()
          == 503);
    CHECK(bed.call("GET /safe/xy HTTP/1.1\r\nHost: H.example:80\r\nAuthorization: Bearer key\r\n\r\n").status() == 200);
    CHECK(bed.call("GET /safe/xy HTTP/1.1\r\nHost: other\r\nAuthorization: Bearer key\r\n\r\n").status() == 404);
}

// A repeated unsafe request would run twice.
TEST_CASE("an unsafe request whose answer is lost is not repeated and promises nothing")
{
    GatewayBed bed(2);
    scriptAll(bed, [](const Connection &connection, const SeenRequest &) { connection->reset(); });
    const auto answer = bed.call(GatewayBed::request("unsafe", "a", "", "x"));
    CHECK(answer.status() == 502);
    bed.runFor(milliseconds(50));
    CHECK(arrivals(bed) == 1);
}

// The server closes the kept connection as the next request arrives on it.
TEST_CASE("an unsafe request on a kept connection that dies is not sent again")
{
    GatewayBed bed(1);
    bed.servers[0].script = [&](const Connection &connection, const SeenRequest &request) {
        if (bed.servers[0].seen.size() == 1) {
            connection->answer(request, 200, "ok");
        } else {
            connection->reset();
        }
    };
    CHECK(bed.call(GatewayBed::request("unsafe", "a", "", "x")).status() == 200);
    CHECK(bed.call(GatewayBed::request("unsafe", "b", "", "x")).status() == 502);
    CHECK(bed.servers[0].connections == 1);
    CHECK(arrivals(bed) == 2);
}

// Servers that forget idle connections break every request on a kept one.
TEST_CASE("after a kept connection died, unsafe requests use new ones for a while")
{
    GatewayBed bed(1);
    int count = 0;
    bed.servers[0].script = [&](const Connection &connection, const SeenRequest &request) {
        if (++count == 2) {
            connection->reset();
        } else {
            connection->answer(request, 200, "ok");
        }
    };
    CHECK(bed.call(GatewayBed::request("unsafe", "a", "", "x")).status() == 200);
    CHECK(bed.call(GatewayBed::request("unsafe", "b", "", "x")).status() == 502);
    CHECK(bed.call(GatewayBed::request("unsafe", "c", "", "x")).status() == 200);
    bed.runFor(milliseconds(150));
    CHECK(bed.call(GatewayBed::request("unsafe", "d", "", "x")).status() == 200);
    CHECK(bed.servers[0].connections == 3);
}

TEST_CASE("a safe request is repeated on another server, at most as often as the route says")
{
    GatewayBed bed(3);
    bool first = true;
    scriptAll(bed, [&](const Connection &connection, const SeenRequest &request) {
        if (std::exchange(first, false)) {
            connection->reset();
        } else {
            connection->answer(request, 200, "ok");
        }
    });
    CHECK(bed.call(GatewayBed::request("safe", "a")).status() == 200);
    CHECK(arrivals(bed) == 2);
    scriptAll(bed, [](const Connection &connection, const SeenRequest &) { connection->reset(); });
    CHECK(bed.call(GatewayBed::request("safe", "b")).status() == 502);
    CHECK(arrivals(bed) == 4);
}

TEST_CASE("a request that a server refused as not run is repeated whatever its kind")
{
    GatewayBed bed(2);
    bool first = true;
    scriptAll(bed, [&](const Connection &connection, const SeenRequest &request) {
        const bool refuse = std::exchange(first, false);
        connection->answer(request, refuse ? 503 : 200, "", refuse ? "Not-Run: 1\r\n" : "");
    });
    CHECK(bed.call(GatewayBed::request("unsafe", "a", "", "x")).status() == 200);
    CHECK(arrivals(bed) == 2);
    scriptAll(bed, [](const Connection &connection, const SeenRequest &request) {
        connection->answer(request, 503, "", "Not-Run: 1\r\n");
    });
    const auto answer = bed.call(GatewayBed::request("unsafe", "b", "", "x"));
    CHECK(answer.status() == 503);
    CHECK_FALSE(answer.header("Retry-After").empty());
    CHECK(answer.header("Signed").empty());
}

TEST_CASE("the retry budget bounds repeated attempts")
{
    GatewayBed bed(2);
    scriptAll(bed, [](const Connection &connection, const SeenRequest &) { connection->reset(); });
    for (int i = 0; i < 150; ++i) {
        bed.call(GatewayBed::request("safe", "r" + std::to_string(i)));
    }
    // Ejected servers take none of the later requests.
    CHECK(arrivals(bed) <= 150 * 1.2 + 100);
}

TEST_CASE("the server's own failure is delivered with its signature")
{
    GatewayBed bed(1);
    scriptAll(bed, [](const Connection &connection, const SeenRequest &request) {
        connection->answer(request, 500, "broken");
    });
    const auto answer = bed.call(GatewayBed::request("unsafe", "a", "", "x"));
    CHECK(answer.status() == 500);
    CHECK(answer.body == "broken");
    CHECK(answer.header("Signed") == "s");
}

// A second answer to an earlier request stands where the next answer is expected.
TEST_CASE("an answer to another request is skipped")
{
    GatewayBed bed(1);
    bed.servers[0].script = [](const Connection &connection, const SeenRequest &request) {
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: earlier\r\nSigned: s\r\nContent-Length: 5\r\n\r\nwrong");
        connection->answer(request, 200, "right");
    };
    const auto answer = bed.call(GatewayBed::request("unsafe", "a", "", "x"));
    CHECK(answer.status() == 200);
    CHECK(answer.body == "right");
    CHECK(answer.header("Req-Id") == "a");
}

TEST_CASE("a connection with bytes after an answer is not used again")
{
    GatewayBed bed(1);
    bed.servers[0].script = [](const Connection &connection, const SeenRequest &request) {
        connection->answer(request, 200, "ok", "");
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id")
                          + "\r\nSigned: s\r\nContent-Length: 0\r\n\r\n");
    };
    CHECK(bed.call(GatewayBed::request("safe", "a")).body == "ok");
    bed.runFor(milliseconds(20));
    CHECK(bed.call(GatewayBed::request("safe", "b")).body == "ok");
    CHECK(bed.servers[0].connections == 2);
}

TEST_CASE("a success without a signature and bytes that are no HTTP never reach the caller")
{
    GatewayBed bed(1);
    bed.servers[0].script = [](const Connection &connection, const SeenRequest &) {
        connection->write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
    };
    CHECK(bed.call(GatewayBed::request("unsafe", "a", "", "x")).status() == 502);
    bed.servers[0].script = [](const Connection &connection, const SeenRequest &) {
        connection->write("\x01\x02garbage\r\n\r\n");
    };
    CHECK(bed.call(GatewayBed::request("unsafe", "b", "", "x")).status() == 502);
}

// A cut answer must not look complete.
TEST_CASE("a short answer that is cut is repeated, a long one ends the caller's connection")
{
    GatewayBed bed(2);
    bool first = true;
    scriptAll(bed, [&](const Connection &connection, const SeenRequest &request) {
        if (std::exchange(first, false)) {
            connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id")
                              + "\r\nSigned: s\r\nContent-Length: 10\r\n\r\nabc");
            connection->close();
        } else {
            connection->answer(request, 200, "whole");
        }
    });
    CHECK(bed.call(GatewayBed::request("download", "a")).body == "whole");
    scriptAll(bed, [&](const Connection &connection, const SeenRequest &request) {
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id")
                          + "\r\nSigned: s\r\nContent-Length: 400000\r\n\r\n" + std::string(300000, 'x'));
        connection->close();
    });
    const auto cut = bed.call(GatewayBed::request("download", "b"));
    CHECK(cut.status() == 200);
    CHECK_FALSE(cut.complete);
}

TEST_CASE("an answer without a length ends with its connection")
{
    GatewayBed bed(1);
    bed.servers[0].script = [](const Connection &connection, const SeenRequest &request) {
        connection->write("HTTP/1.1 200 OK\r\nReq-Id: " + request.header("Req-Id") + "\r\nSigned: s\r\n\r\nall of it");
        connection->close();
    };
    const auto answer = bed.call(GatewayBed::request("safe", "a"));
    CHECK(answer.complete);
    CHECK(answer.body == "all of it");
}

TEST_CASE("a long answer is streamed whole")
{
    GatewayBed bed(1);
    const std::string body(1500000, 'y');
    bed.servers[0].script = [&](const Connection &connection, const SeenRequest &request) {
        connection->answer(request, 200, body);
    };
    const auto answer = bed.call(GatewayBed::request("download", "a"));
    CHECK(answer.complete);
    CHECK(answer.body == body);
}

// A server would go on working for nobody.
TEST_CASE("the server's connection is closed when the caller leaves")
{
    GatewayBed bed(1);
    bed.servers[0].script = [](const Connection &, const SeenRequest &) {};
    {
        const auto socket = bed.connect();
        asio::write(*socket, asio::buffer(GatewayBed::request("safe", "a")));
        bed.runUntil([&] { return !bed.servers[0].seen.empty(); });
    }
    bed.runUntil([&] { return bed.servers[0].left == 1; });
    CHECK(bed.gateway->inFlight() == 0);
}

TEST_CASE("the time limit ends a request at once, and tells whether it may have run")
{
    GatewayBed bed(1);
    bed.servers[0].script = [](const Connection &, const SeenRequest &) {};
    const Time begun = Clock::now();
    std::string bytes = GatewayBed::request("safe", "a");
    bytes.replace(bytes.find("1000"), 4, "200");
    CHECK(bed.call(bytes).status() == 504);
    CHECK(Clock::now() - begun < milliseconds(450));
    bed.runUntil([&] { return bed.servers[0].left == 1; });
    bed.declaration.mutable_routes(0)->set_timeout_ms(100);
    bed.publish();
    const Time again = Clock::now();
    CHECK(bed.call(GatewayBed::request("safe", "b")).status() == 504);
    CHECK(Clock::now() - again < milliseconds(350));
}

TEST_CASE("a zone that is evacuated gets nothing, and the rest is said to be not run")
{
    GatewayBed bed(2);
    bed.evacuated = {"z0"};
    bed.publish();
    for (int i = 0; i < 8; ++i) {
        std::string bytes = GatewayBed::request("safe", "r" + std::to_string(i));
        bytes.replace(bytes.find("Object: 17"), 10, "Object: " + std::to_string(20 + i));
        CHECK(bed.call(bytes).status() == 200);
    }
    CHECK(bed.servers[0].seen.empty());
    bed.evacuated = {"z0", "z1"};
    bed.publish();
    const auto answer = bed.call(GatewayBed::request("safe", "last"));
    CHECK(answer.status() == 503);
    CHECK_FALSE(answer.header("Retry-After").empty());
    CHECK(arrivals(bed) == 8);
}

TEST_CASE("requests on one connection are answered in order, also when they arrive together")
{
    GatewayBed bed(1);
    const auto socket = bed.connect();
    asio::write(*socket, asio::buffer(GatewayBed::request("safe", "a") + GatewayBed::request("safe", "b")));
    const auto first = bed.receive(*socket);
    CHECK(first.header("Req-Id") == "a");
    bed.front->closeAfterAnswers();
    asio::write(*socket, asio::buffer(GatewayBed::request("safe", "c")));
    const auto second = bed.receive(*socket);
    CHECK(second.status() == 200);
}

TEST_CASE("what breaks the declared limits is refused")
{
    GatewayBed bed(1);
    bed.declaration.mutable_limits()->set_max_header_bytes(500);
    bed.declaration.mutable_limits()->set_max_body_bytes(10);
    bed.declaration.mutable_limits()->set_header_timeout_ms(100);
    bed.declaration.mutable_limits()->set_idle_timeout_ms(1000);
    bed.publish();
    CHECK(bed.call(GatewayBed::request("safe", "a", "X: " + std::string(1000, 'x') + "\r\n")).status() == 431);
    CHECK(bed.call(GatewayBed::request("unsafe", "b", "", std::string(11, 'x'))).status() == 413);
    CHECK(bed.call("GET /safe/ HTTP/1.1\r\nHost: h.exa").status() == 408);
    CHECK(bed.call("nonsense\r\n\r\n").status() == 400);
    CHECK(arrivals(bed) == 0);
}

TEST_CASE("look-ups name live hosts of the caller's region")
{
    GatewayBed bed(1);
    CHECK(bed.gateway->hostsFor("r", "") == std::vector<std::string>{bed.address});
    CHECK(bed.gateway->hostsFor("elsewhere", "") == std::vector<std::string>{bed.address});
    CHECK(bed.gateway->ready());
}

TEST_CASE("a split gives each part its weight of the requests")
{
    GatewayBed bed(1);
    bed.declaration.add_services()->set_name("none"); // without servers: its part is refused, not moved
    auto *part = bed.declaration.mutable_routes(0)->add_split();
    part->set_service("none");
    part->set_weight(3);
    bed.publish();
    int served = 0;
    for (int i = 0; i < 40; ++i) {
        served += bed.call(GatewayBed::request("safe", "r" + std::to_string(i))).status() == 200 ? 1 : 0;
    }
    CHECK(served == 10);
}
