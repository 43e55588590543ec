// Framing checks and header stripping for client connections.
#include <catch2/catch.hpp>

#include <random>

#include "entry_fixture.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string takeAll(MessageValidator &validator)
{
    std::string bytes(validator.availableBytes(), '\0');
    validator.take(bytes.data(), bytes.size());
    return bytes;
}

std::string withHeaders(const std::string &headers, const std::string &body = {})
{
    return "POST /s/lessons/x HTTP/1.1\r\nHost: e1\r\nBanyanledge-Key: " + std::string(EntryFixture::key) + "\r\n"
        + headers + "\r\n" + body;
}

} // namespace

// A message whose length two parties could read differently lets a client smuggle a request past the checks.
TEST_CASE("ambiguous or malformed messages are refused with not-run and nothing reaches a server")
{
    struct Case
    {
        const char *name;
        std::string request;
        int status;
    };
    const std::vector<Case> cases{
        {"both length headers", withHeaders("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
        {"both, other order", withHeaders("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"), 400},
        {"repeated equal length", withHeaders("Content-Length: 2\r\nContent-Length: 2\r\n", "ab"), 400},
        {"repeated differing length", withHeaders("Content-Length: 2\r\nContent-Length: 3\r\n", "abc"), 400},
        {"length list", withHeaders("Content-Length: 2, 2\r\n", "ab"), 400},
        {"negative length", withHeaders("Content-Length: -1\r\n", "ab"), 400},
        {"other coding", withHeaders("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400},
        {"repeated coding", withHeaders("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
         400},
        {"space before colon", withHeaders("Content-Length : 2\r\n", "ab"), 400},
        {"space in a name", withHeaders("Banyanledge Customer: x\r\n"), 400},
        {"control in a value", withHeaders("X-A: a\x01z\r\n"), 400},
        {"bad request line", "GET\r\n\r\n", 400},
        {"no path", "GET http://a/s/lessons/x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"unknown method", "BREW /s/lessons/x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"bad chunk", withHeaders("Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n0\r\n\r\n"), 400},
        {"large head", withHeaders("X-A: " + std::string(70000, 'a') + "\r\n"), 400},
        {"large body", withHeaders("Content-Length: 2000000\r\n"), 413},
        {"large chunked body",
         withHeaders("Transfer-Encoding: chunked\r\n", "1e8480\r\n" + std::string(2000000, 'b') + "\r\n0\r\n\r\n"),
         413},
        {"old version", "GET /s/lessons/x HTTP/1.0\r\nHost: a\r\n\r\n", 505},
        {"upgrade", withHeaders("Connection: Upgrade\r\nUpgrade: websocket\r\n"), 400},
        {"tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    };
    ScriptedServer server([](const std::string &, asio::ip::tcp::socket &socket) {
        sendAll(socket, okResponse("ran"));
        return true;
    });
    EntryFixture fixture({server.address()});
    for (const auto &testCase : cases) {
        INFO(testCase.name);
        const auto response = fixture.sendAndReceive(testCase.request);
        CHECK(response.starts_with("HTTP/1.1 " + std::to_string(testCase.status) + " "));
        CHECK(contains(response, "Banyanledge-Outcome: not-run"));
        CHECK(contains(response, "\"remedy\":"));
    }
    CHECK(server.requests().empty());
}

// A refusal that overtakes an earlier response would be read as the response to the earlier request.
TEST_CASE("a faulty pipelined message is refused after the response to the one before")
{
    ScriptedServer server([](const std::string &, asio::ip::tcp::socket &socket) {
        std::this_thread::sleep_for(milliseconds(50));
        sendAll(socket, okResponse("first"));
        return true;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/x") + "NONSENSE\r\n\r\n");
    CHECK(contains(client.receive(), "first"));
    CHECK(client.receive().starts_with("HTTP/1.1 400 "));
    CHECK_FALSE(client.receiveUntil("more"));
}

// A check that depends on how the bytes are split would be bypassed by splitting them.
TEST_CASE("the result of the check does not depend on how the bytes arrive")
{
    const std::vector<std::string> messages{
        requestText("GET", "/s/lessons/x") + requestText("POST", "/s/lessons/y", {}, "body"),
        withHeaders("Transfer-Encoding: chunked\r\n", "4\r\nabcd\r\n0\r\nX-T: 1\r\n\r\n")
            + requestText("GET", "/s/a/b"),
        withHeaders("Content-Length: 2\r\nContent-Length: 2\r\n", "ab"),
        requestText("GET", "/s/lessons/x") + withHeaders("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "abc"),
    };
    std::mt19937 random(20261204);
    for (int run = 0; run < 400; ++run) {
        const auto &message = messages[random() % messages.size()];
        MessageValidator whole(1000);
        whole.feed(message);
        MessageValidator split(1000);
        for (std::size_t at = 0; at < message.size();) {
            const std::size_t size = 1 + random() % 40;
            split.feed(std::string_view(message).substr(at, size));
            at += size;
        }
        REQUIRE(whole.refused() == split.refused());
        REQUIRE(takeAll(whole) == takeAll(split));
    }
}

// Forged or forwarded headers of the system would give a client another customer's name, or a server the client's key.
TEST_CASE("a server sees no key, no forged header and no hop-by-hop header")
{
    ScriptedServer server([](const std::string &, asio::ip::tcp::socket &socket) {
        sendAll(socket,
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=1\r\n"
                "Banyanledge-Outcome: not-run\r\nX-Kept: 2\r\n\r\nok");
        return true;
    });
    EntryFixture fixture({server.address()});
    const auto response =
        fixture.sendAndReceive(requestText("GET", "/s/lessons/x",
                                           "Banyanledge-Customer: rival\r\nbanyanledge_customer: rival\r\n"
                                           "Banyanledge-Deadline-Ms: 1500\r\nBanyanledge-Other: 1\r\n"
                                           "Connection: close, X-Listed\r\nX-Listed: 1\r\nTE: trailers\r\n"
                                           "Proxy-Authorization: p\r\nX-Kept: 1\r\n"));
    const auto seen = server.requests().at(0);
    for (const char *hidden : {EntryFixture::key, "rival", "1500", "Banyanledge-Other", "X-Listed", "TE:", "Proxy-A",
                               "Banyanledge-Key", "Host: e1"}) {
        INFO(hidden);
        CHECK_FALSE(contains(seen, hidden));
    }
    CHECK(contains(seen, "Banyanledge-Customer: escola\r\n"));
    CHECK(contains(seen, "Banyanledge-Deadline-Ms: 1"));
    CHECK(contains(seen, "X-Kept: 1\r\n"));
    CHECK(contains(response, "X-Kept: 2\r\n"));
    for (const char *hidden : {"X-Hop", "Keep-Alive", "not-run"}) {
        CHECK_FALSE(contains(response, hidden));
    }
}

// A key outside of its header would pass to the server.
TEST_CASE("a request that repeats its key elsewhere is refused")
{
    ScriptedServer server([](const std::string &, asio::ip::tcp::socket &) { return false; });
    EntryFixture fixture({server.address()});
    const std::string key = EntryFixture::key;
    for (const auto &request :
         {requestText("GET", "/s/lessons/x?key=" + key), requestText("GET", "/s/lessons/x", "X-A: " + key + "\r\n"),
          requestText("GET", "/s/lessons/x", "Banyanledge-Key: " + key + "\r\n")}) {
        CHECK(fixture.sendAndReceive(request).starts_with("HTTP/1.1 400 "));
    }
    CHECK(server.requests().empty());
}

TEST_CASE("HEAD and empty bodies keep their framing")
{
    ScriptedServer server([](const std::string &request, asio::ip::tcp::socket &socket) {
        const bool empty = contains(request, "/empty");
        sendAll(socket, empty ? "HTTP/1.1 204 No Content\r\n\r\n" : "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
        return true;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("HEAD", "/s/lessons/x"));
    const auto head = client.receive(nullptr, true);
    CHECK(contains(head, "Content-Length: 7\r\n"));
    client.send(requestText("GET", "/s/lessons/empty"));
    const auto empty = client.receive(nullptr, true);
    CHECK(empty.starts_with("HTTP/1.1 204 "));
    CHECK_FALSE(contains(empty, "Content-Length"));
    CHECK_FALSE(contains(empty, "Transfer-Encoding"));
    client.send(requestText("HEAD", "/s/nothing/x"));
    CHECK(client.receive(nullptr, true).starts_with("HTTP/1.1 404 "));
    client.send(requestText("POST", "/s/lessons/empty"));
    CHECK(client.receive(nullptr, true).starts_with("HTTP/1.1 204 "));
    CHECK(contains(server.requests().back(), "Content-Length: 0\r\n"));
}

// Without the interim response, clients that expect one delay their body by a second. After a refusal of the head it
// would invite a body that nobody reads.
TEST_CASE("a client that expects 100 Continue gets it at once, or a final refusal of the head")
{
    ScriptedServer server([](const std::string &, asio::ip::tcp::socket &socket) {
        sendAll(socket, okResponse("hello"));
        return true;
    });
    EntryFixture fixture({server.address()});
    const std::string expect = "Expect: 100-continue\r\nContent-Length: ";
    TestClient client(fixture.port());
    client.send(withHeaders(expect + "4\r\n"));
    CHECK(client.receive(nullptr, true) == "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(server.requests().empty());
    client.send("body");
    CHECK(contains(client.receive(), "HTTP/1.1 200 "));
    REQUIRE(server.requests().size() == 1);
    CHECK_FALSE(contains(server.requests()[0], "Expect"));
    // A client may send the body at once, without waiting for the interim response.
    CHECK(contains(fixture.sendAndReceive(withHeaders(expect + "4\r\n", "body")), "HTTP/1.1 200 "));
    CHECK(contains(fixture.sendAndReceive(withHeaders(expect + "9999999\r\n")), "HTTP/1.1 413 "));
    CHECK(contains(fixture.sendAndReceive(withHeaders(expect + "4\r\nContent-Length: 4\r\n")), "HTTP/1.1 400 "));
}

// An interim response in the middle of an earlier response would corrupt it (P7).
TEST_CASE("a pipelined message gets no 100 Continue")
{
    MessageValidator validator(1024);
    validator.feed("GET /s/lessons/x HTTP/1.1\r\nHost: e1\r\n\r\n");
    validator.feed(withHeaders("Expect: 100-continue\r\nContent-Length: 4\r\n"));
    CHECK_FALSE(validator.takeContinue());
}
