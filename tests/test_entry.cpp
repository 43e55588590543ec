// Tests of the request path against a scripted backend server.
#include <catch2/catch.hpp>

#include <netinet/tcp.h>

#include "entry_fixture.h"

using namespace banyanledge;
using namespace banyanledge::testing;
using Socket = asio::ip::tcp::socket;

namespace
{

bool respondOk(const std::string &, Socket &socket)
{
    sendAll(socket, okResponse("hello"));
    return true;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

// Client that reads only when told. Its small receive buffer and segments keep the entry host's send buffer small too.
class SlowClient
{
public:
    explicit SlowClient(std::uint16_t port)
        : m_socket(m_context, asio::ip::tcp::v4())
    {
        m_socket.set_option(asio::socket_base::receive_buffer_size(4096));
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(1000));
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string &bytes)
    {
        sendAll(m_socket, bytes);
    }

    // Reads until this many bytes have arrived in total, the connection ends or nothing arrives for 2 s; returns all
    // bytes so far.
    const std::string &readUpTo(std::size_t bytes)
    {
        const timeval timeout{2, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        ssize_t size = 1;
        while (size > 0 && m_received.size() < bytes) {
            std::array<char, 4096> part{};
            size = ::recv(m_socket.native_handle(), part.data(), std::min(part.size(), bytes - m_received.size()), 0);
            m_received.append(part.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        }
        return m_received;
    }

private:
    asio::io_context m_context;
    Socket m_socket;
    std::string m_received;
};

} // namespace

TEST_CASE("a request passes all steps and its slot is released once")
{
    ScriptedServer server(respondOk);
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    for (int i = 0; i < 3; ++i) {
        client.send(requestText("GET", "/s/lessons/a/b?c=1"));
        const auto response = client.receive();
        CHECK(contains(response, "HTTP/1.1 200 OK"));
        CHECK(contains(response, "hello"));
        CHECK(contains(response, "Banyanledge-Server: lessons-0"));
    }
    CHECK(server.requests().front().starts_with("GET /a/b?c=1 HTTP/1.1\r\n"));
    CHECK(contains(server.requests().front(), "Banyanledge-Customer: escola"));
    CHECK(eventually([&] { return fixture.heldSlots() == 0 && fixture.path().inFlight() == 0; }));
    CHECK(fixture.outcomes() == std::vector<proto::Outcome>(3, proto::OUTCOME_OK));
    CHECK(fixture.tokens() == 3);
    CHECK(server.connections() == 1);
}

TEST_CASE("a look-up names live hosts")
{
    EntryFixture fixture({"127.0.0.1:1"});
    const auto response = fixture.sendAndReceive("GET /v1/lookup?service=lessons HTTP/1.1\r\nHost: e1\r\n\r\n");
    CHECK(contains(response, "\"address\":\"127.0.0.1:1\""));
    CHECK(contains(response, "Cache-Control: private, max-age=5"));
}

// A request without a valid key must not run, except on a route that is open to all.
TEST_CASE("a request runs only for a valid key or on an open route")
{
    ScriptedServer server(respondOk);
    EntryFixture fixture({server.address()});
    const std::string noKey = "GET /s/lessons/x HTTP/1.1\r\nHost: e1\r\n\r\n";
    CHECK(contains(fixture.sendAndReceive(noKey), "HTTP/1.1 401 "));
    CHECK(contains(fixture.sendAndReceive("GET /s/lessons/x HTTP/1.1\r\nHost: e1\r\nBanyanledge-Key: other\r\n\r\n"),
                   "HTTP/1.1 401 "));
    CHECK(server.requests().empty());
    CHECK(contains(fixture.sendAndReceive("GET /s/open/x HTTP/1.1\r\nHost: e1\r\n\r\n"), "HTTP/1.1 200 "));
    CHECK_FALSE(contains(server.requests().at(0), "Banyanledge-Customer"));
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/unknown/x")), "HTTP/1.1 404 "));
}

// Each refusal before dispatch must say that nothing ran, and must not keep tokens, slots or claims.
TEST_CASE("refusals before dispatch are not-run and leave nothing behind")
{
    ScriptedServer server(respondOk);
    EntryFixture fixture({server.address()});
    const auto refused = [&](const std::string &status) {
        const auto response =
            fixture.sendAndReceive(requestText("POST", "/s/lessons/x", "Banyanledge-Request-Id: a\r\n", "b"));
        CHECK(contains(response, "HTTP/1.1 " + status + " "));
        CHECK(contains(response, "Banyanledge-Outcome: not-run"));
        CHECK(contains(response, "Retry-After: "));
    };
    fixture.refuseCustomerTokens = true;
    refused("429");
    fixture.refuseCustomerTokens = false;
    fixture.refuseSlots = true;
    refused("503");
    fixture.refuseSlots = false;
    fixture.fresh = false;
    refused("503");
    fixture.fresh = true;
    fixture.beforeSlot = [&] { fixture.fresh = false; };
    refused("503");
    CHECK(server.requests().empty());
    CHECK(eventually([&] { return fixture.path().inFlight() == 0; }));
    CHECK(fixture.heldSlots() == 0);
    CHECK(fixture.tokens() == 0);
    CHECK(fixture.claims().empty());
}

// A key withdrawn while the request waits for its slot must not reach the server (P5).
TEST_CASE("a key withdrawn before dispatch stops the request")
{
    ScriptedServer server(respondOk);
    EntryFixture fixture({server.address()});
    fixture.beforeSlot = [&] { fixture.withdrawKey(); };
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x")), "HTTP/1.1 401 "));
    CHECK(server.requests().empty());
}

// An owner without a lease grants nothing, so a request that waited for it was refused only at its deadline. Grants
// that arrive after the refusal must be returned.
TEST_CASE("a request that waits is refused when its key is withdrawn or the lease lapses")
{
    using Step = EntryFixture::Step;
    const Step step = GENERATE(Step::CustomerToken, Step::Claim, Step::Slot, Step::SlotOfRetry);
    const bool withdrawn = GENERATE(true, false);
    CAPTURE(static_cast<int>(step), withdrawn);
    ScriptedServer server([](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 503 Busy\r\nBanyanledge-Shed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    EntryFixture fixture({server.address(), server.address()});
    fixture.heldStep = step;
    TestClient client(fixture.port());
    client.send(requestText("POST", "/s/lessons/x", "Banyanledge-Request-Id: a\r\n", "b"));
    REQUIRE(eventually([&] { return fixture.heldCalls() == 1; }));
    const Time changedAt = Clock::now();
    if (withdrawn) {
        fixture.withdrawKey();
    } else {
        fixture.fresh = false;
    }
    const auto response = client.receive();
    CHECK(Clock::now() - changedAt < std::chrono::seconds(3));
    CHECK(contains(response, withdrawn ? "HTTP/1.1 401 " : "HTTP/1.1 503 "));
    CHECK(contains(response, "Banyanledge-Outcome: not-run"));
    fixture.answerHeldCalls();
    CHECK(eventually([&] { return fixture.path().inFlight() == 0; }));
    CHECK(fixture.heldSlots() == 0);
    CHECK(fixture.tokens() == 0);
    CHECK(fixture.claims().empty());
    CHECK(server.requests().size() == (step == Step::SlotOfRetry ? 1 : 0));
}

// On a kept-alive connection the key of each request counts, not the one that opened the connection (P5).
TEST_CASE("a withdrawn key stops working on a kept-alive connection")
{
    ScriptedServer server(respondOk);
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/x"));
    CHECK(contains(client.receive(), "HTTP/1.1 200 "));
    fixture.withdrawKey();
    client.send(requestText("GET", "/s/lessons/x"));
    CHECK(contains(client.receive(), "HTTP/1.1 401 "));
    CHECK(server.requests().size() == 1);
}

// A response in progress must be aborted when its key is withdrawn or the freshness lease expires, and must not look
// complete then (P5, P7).
TEST_CASE("a long response is cut when its key is withdrawn or the lease lapses")
{
    const bool withdrawn = GENERATE(true, false);
    ScriptedServer server([](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
        asio::error_code ended;
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1), ended); // until the entry host closes
        return false;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/x"));
    REQUIRE(client.receiveUntil("part"));
    const Time cut = Clock::now();
    if (withdrawn) {
        fixture.withdrawKey();
    } else {
        fixture.fresh = false;
    }
    CHECK_FALSE(client.receiveUntil("\r\n0\r\n\r\n"));
    CHECK(Clock::now() - cut < std::chrono::seconds(3));
    CHECK(eventually([&] { return server.openConnections() == 0 && fixture.heldSlots() == 0; }));
    CHECK(fixture.outcomes() == std::vector{proto::OUTCOME_CANCELLED});
}

// A client would store a truncated response that looks complete (P7).
TEST_CASE("a truncated server response closes the client's connection")
{
    const std::string head =
        GENERATE("Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    ScriptedServer server([head](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 200 OK\r\n" + head);
        return false;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/x"));
    bool complete = true;
    const auto response = client.receive(&complete);
    CHECK_FALSE(complete);
    CHECK(eventually([&] { return fixture.heldSlots() == 0; }));
    CHECK(fixture.outcomes().back() == proto::OUTCOME_ERROR);
}

// The end of a body without a length can't be told from a broken connection, so it must not pass as complete (P7).
TEST_CASE("a response that only the end of the connection delimits is refused")
{
    ScriptedServer server([](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 200 OK\r\n\r\nbody");
        return false;
    });
    EntryFixture fixture({server.address()});
    const auto response = fixture.sendAndReceive(requestText("POST", "/s/lessons/x", {}, "b"));
    CHECK(contains(response, "HTTP/1.1 502 "));
    CHECK(contains(response, "Banyanledge-Outcome: unknown"));
}

// The late response to an abandoned request must not be delivered for the next request (P7).
TEST_CASE("a late response never reaches another request")
{
    std::atomic<bool> holdResponse = true;
    ScriptedServer server([&](const std::string &request, Socket &socket) {
        if (contains(request, "/slow")) {
            eventually([&] { return !holdResponse; });
            sendAll(socket, okResponse("slow answer"));
            return true;
        }
        sendAll(socket, okResponse("fast answer"));
        return true;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/warm"));
    client.receive(); // leaves a connection that may be reused
    client.send(requestText("GET", "/s/lessons/slow", "Banyanledge-Deadline-Ms: 100\r\n"));
    const auto timeout = client.receive();
    CHECK(contains(timeout, "HTTP/1.1 504 "));
    CHECK(contains(timeout, "Banyanledge-Outcome: unknown"));
    holdResponse = false;
    for (int i = 0; i < 5; ++i) {
        client.send(requestText("GET", "/s/lessons/fast"));
        CHECK(contains(client.receive(), "fast answer"));
    }
    CHECK(server.connections() == 2);
}

// An unsolicited response on an idle connection must not be delivered for the next request (P7).
TEST_CASE("an unsolicited response on a kept connection is not delivered")
{
    ScriptedServer server([](const std::string &request, Socket &socket) {
        sendAll(socket, okResponse("asked") + (contains(request, "/first") ? okResponse("unsolicited") : ""));
        return true;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    for (const char *target : {"/s/lessons/first", "/s/lessons/second", "/s/lessons/third"}) {
        client.send(requestText("GET", target));
        CHECK(contains(client.receive(), "asked"));
    }
}

// A request whose client has disconnected would occupy a slot that others wait for.
TEST_CASE("a client's disconnect cancels the backend request")
{
    ScriptedServer server([](const std::string &, Socket &socket) {
        asio::error_code ended;
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1), ended);
        return false;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/x"));
    REQUIRE(eventually([&] { return server.requests().size() == 1; }));
    client.close();
    CHECK(eventually(
        [&] { return server.openConnections() == 0 && fixture.heldSlots() == 0 && fixture.path().inFlight() == 0; }));
    CHECK(fixture.outcomes() == std::vector{proto::OUTCOME_CANCELLED});
}

// libcurl silently sends a request again when a reused connection closes before the first byte of the response; a
// booking would run twice (P9).
TEST_CASE("a non-idempotent request is sent once when the server closes without a response")
{
    std::atomic<bool> closeWithoutResponse = false;
    ScriptedServer server([&](const std::string &, Socket &socket) {
        if (closeWithoutResponse) {
            return false;
        }
        sendAll(socket, okResponse("ok"));
        return true;
    });
    EntryFixture fixture({server.address()});
    for (int i = 0; i < 3; ++i) {
        CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/warm")), "200 OK"));
    }
    closeWithoutResponse = true;
    const auto response =
        fixture.sendAndReceive(requestText("POST", "/s/lessons/book", "Banyanledge-Request-Id: b1\r\n", "seat"));
    CHECK(contains(response, "HTTP/1.1 502 "));
    CHECK(contains(response, "Banyanledge-Outcome: unknown"));
    const auto seen = server.requests();
    CHECK(std::count_if(seen.begin(), seen.end(), [](const auto &one) { return contains(one, "POST"); }) == 1);
    CHECK(fixture.claims().at("b1").state() == proto::CLAIM_HELD);
    closeWithoutResponse = false;
    const auto resent =
        fixture.sendAndReceive(requestText("POST", "/s/lessons/book", "Banyanledge-Request-Id: b1\r\n", "seat"));
    CHECK(contains(resent, "HTTP/1.1 409 "));
    CHECK(contains(resent, "Banyanledge-Outcome: unknown"));
    CHECK(server.requests().size() == seen.size());
}

// An idempotent request must be resent: a server may close an idle connection at any moment.
TEST_CASE("a read survives a server that closes its idle connection")
{
    ScriptedServer server([](const std::string &, Socket &socket) {
        sendAll(socket, okResponse("ok"));
        return true;
    });
    EntryFixture fixture({server.address()});
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/warm")), "200 OK"));
    std::atomic<unsigned> closedConnections = 0;
    server.setScript([&](const std::string &, Socket &socket) {
        if (closedConnections++ == 0) {
            return false;
        }
        sendAll(socket, okResponse("ok"));
        return true;
    });
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x")), "200 OK"));
    CHECK(fixture.outcomes() == std::vector(2, proto::OUTCOME_OK));
}

// A resent booking must not run again, and the client must learn that the first one ran (P9).
TEST_CASE("a resent booking is told that it ran")
{
    ScriptedServer server([](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    EntryFixture fixture({server.address()});
    const auto booking = requestText("POST", "/s/lessons/book", "Banyanledge-Request-Id: b2\r\n", "seat");
    CHECK(contains(fixture.sendAndReceive(booking), "HTTP/1.1 201 "));
    CHECK(eventually([&] { return fixture.path().inFlight() == 0; }));
    const auto resent = fixture.sendAndReceive(booking);
    CHECK(contains(resent, "HTTP/1.1 409 "));
    CHECK(contains(resent, "Banyanledge-Outcome: ran"));
    CHECK(contains(resent, "status 201"));
    CHECK(server.requests().size() == 1);
}

// Guards against requests beyond the slots of a process that has just started: its pool does not count this lease for
// it.
TEST_CASE("a slot of a server's former process is not used for the new one")
{
    ScriptedServer server(respondOk);
    EntryFixture fixture({server.address()});
    const auto method = GENERATE(as<std::string>(), "GET", "POST");
    fixture.startServersAnew(6);
    fixture.slotIncarnation = 5;
    fixture.beforeSlot = [&fixture] { fixture.slotIncarnation = fixture.slotWaits().empty() ? 5 : 6; };
    CHECK(fixture.sendAndReceive(requestText(method, "/s/lessons/x", "Connection: close\r\n"))
              .starts_with("HTTP/1.1 200"));
    CHECK(eventually([&] { return fixture.heldSlots() == 0; }));
    CHECK(server.requests().size() == 1);
    CHECK(fixture.outcomes() == std::vector{proto::OUTCOME_CANCELLED, proto::OUTCOME_OK});
}

// Guards against refusing slots that the pool's owner granted because its table is newer than this host's.
TEST_CASE("a slot of a server's process that this host does not know yet is used")
{
    ScriptedServer server(respondOk);
    EntryFixture fixture({server.address()});
    fixture.startServersAnew(6);
    fixture.slotIncarnation = 7;
    CHECK(fixture.sendAndReceive(requestText("GET", "/s/lessons/x", "Connection: close\r\n"))
              .starts_with("HTTP/1.1 200"));
    CHECK(eventually([&] { return fixture.heldSlots() == 0; }));
    CHECK(fixture.outcomes() == std::vector{proto::OUTCOME_OK});
}

// Nothing ran on a server that refuses connections or sheds, so even a booking may go to another one.
TEST_CASE("a request that did not run is tried on another server")
{
    const bool shed = GENERATE(true, false);
    ScriptedServer first([&](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 503 Busy\r\nBanyanledge-Shed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    ScriptedServer second(respondOk);
    EntryFixture fixture({shed ? first.address() : "127.0.0.1:1", second.address()});
    const auto response =
        fixture.sendAndReceive(requestText("POST", "/s/lessons/book", "Banyanledge-Request-Id: b3\r\n", "seat"));
    CHECK(contains(response, "HTTP/1.1 200 "));
    CHECK(contains(response, "Banyanledge-Server: lessons-1"));
    CHECK(fixture.outcomes() == std::vector{shed ? proto::OUTCOME_SHED : proto::OUTCOME_NOT_SENT, proto::OUTCOME_OK});
    CHECK(second.requests().size() == 1);
}

// A server that sheds because it is leaving must be reported as such, or its pool keeps using it until the platform's
// list names it (P10). The state header alone must not count: without the shed header the request may have run.
TEST_CASE("a shedding server that says it is leaving is reported as leaving")
{
    const std::string busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n";
    ScriptedServer first([&](const std::string &, Socket &socket) {
        sendAll(socket, busy + "Banyanledge-Shed: 1\r\nBanyanledge-State: leaving\r\n\r\n");
        return true;
    });
    ScriptedServer second(respondOk);
    EntryFixture fixture({first.address(), second.address()});
    CHECK(contains(fixture.sendAndReceive(requestText("POST", "/s/lessons/x", {}, "b")), "HTTP/1.1 200 "));
    CHECK(eventually([&] { return fixture.path().inFlight() == 0; }));
    CHECK(fixture.outcomes() == std::vector{proto::OUTCOME_LEAVING, proto::OUTCOME_OK});
    first.setScript([&](const std::string &, Socket &socket) {
        sendAll(socket, busy + "Banyanledge-State: leaving\r\n\r\n");
        return true;
    });
    CHECK(contains(fixture.sendAndReceive(requestText("POST", "/s/lessons/x", {}, "b")), "HTTP/1.1 503 "));
    CHECK(eventually([&] { return fixture.path().inFlight() == 0; }));
    CHECK(fixture.outcomes().back() == proto::OUTCOME_ERROR);
}

TEST_CASE("a request that every server sheds is refused with not-run and its claim is released")
{
    ScriptedServer server([](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 503 Busy\r\nBanyanledge-Shed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    EntryFixture fixture({server.address()});
    const auto response =
        fixture.sendAndReceive(requestText("POST", "/s/lessons/book", "Banyanledge-Request-Id: b4\r\n", "seat"));
    CHECK(contains(response, "HTTP/1.1 503 "));
    CHECK(contains(response, "Banyanledge-Outcome: not-run"));
    CHECK(eventually([&] { return fixture.claims().empty(); }));
}

// An idempotent request must succeed when one server closes its connection without a response.
TEST_CASE("an idempotent request is retried on another server")
{
    ScriptedServer first([](const std::string &, Socket &) { return false; });
    ScriptedServer second(respondOk);
    EntryFixture fixture({first.address(), second.address()});
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x")), "Banyanledge-Server: lessons-1"));
    CHECK(fixture.outcomes() == std::vector{proto::OUTCOME_ERROR, proto::OUTCOME_OK});
}

// A slow client must not make this host buffer a whole response, and a long body must arrive unchanged.
TEST_CASE("a long response is streamed with backpressure")
{
    constexpr std::size_t size = 64U << 20U;
    std::atomic<std::size_t> sent = 0;
    ScriptedServer server([&](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
        const std::string part(65536, 'x');
        for (std::size_t at = 0; at < size; at += part.size()) {
            asio::error_code error;
            sent += asio::write(socket, asio::buffer(part), error);
            if (error) {
                return false;
            }
        }
        return true;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/film"));
    // While the client reads nothing, the server blocks once the socket buffers and the entry host's window are full.
    std::size_t previous = 1;
    REQUIRE(eventually([&] {
        const auto now = sent.load();
        std::this_thread::sleep_for(milliseconds(100));
        return now > 0 && std::exchange(previous, now) == now && sent == now;
    }));
    CHECK(sent < size / 2);
    bool complete = false;
    const auto response = client.receive(&complete);
    CHECK(complete);
    CHECK(std::count(response.begin() + static_cast<std::ptrdiff_t>(response.find("\r\n\r\n")), response.end(), 'x')
          == size);
    CHECK(eventually([&] { return fixture.outcomes() == std::vector{proto::OUTCOME_OK}; }));
}

// Bodies between regions without rate limiting would saturate the link that all traffic shares.
TEST_CASE("long bodies from another region take their bytes from the link, short ones do not")
{
    constexpr std::size_t size = 300000;
    ScriptedServer server([](const std::string &request, Socket &socket) {
        sendAll(socket, okResponse(std::string(contains(request, "/long") ? size : 100, 'x')));
        return true;
    });
    EntryFixture fixture({server.address()}, {"south", false, 1000});
    const std::string requestLink = "link:south>north";
    const std::string responseLink = "link:north>south";
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/short")), "200 OK"));
    CHECK(fixture.tokens(requestLink) + fixture.tokens(responseLink) == 0);
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/long")), std::string(size, 'x')));
    CHECK(fixture.tokens(responseLink) >= size - 65536);
    CHECK(fixture.tokens(responseLink) < size + 65536);
    CHECK(contains(fixture.sendAndReceive(requestText("PUT", "/s/lessons/short", {}, std::string(200000, 'y'))),
                   "200 OK"));
    CHECK(fixture.tokens(requestLink) == 200000);
    fixture.refuseLinkTokens = true;
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/long"));
    bool complete = true;
    client.receive(&complete);
    CHECK_FALSE(complete);
    CHECK(contains(fixture.sendAndReceive(requestText("POST", "/s/lessons/short", {}, std::string(200000, 'y'))),
                   "not-run"));
    CHECK(eventually([&] { return fixture.path().inFlight() == 0 && fixture.claims().empty(); }));
}

// A shift must not move a request without a token, or it would move more requests per second than its limit (P1).
TEST_CASE("a shift moves a request only with a token")
{
    ScriptedServer north(respondOk);
    ScriptedServer south(respondOk);
    EntryFixture fixture({north.address(), south.address()}, {"north", true, 1000});
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x")), "Banyanledge-Server: lessons-1"));
    CHECK(fixture.tokens("shift:move") == 1);
    fixture.refuseShiftTokens = true;
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x")), "Banyanledge-Server: lessons-0"));
    CHECK(fixture.tokens("shift:move") == 1);
    fixture.refuseShiftTokens = false;
    fixture.refuseCustomerTokens = true;
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x")), "HTTP/1.1 429 "));
    CHECK(eventually([&] { return fixture.tokens("shift:move") == 1; }));
}

// Without a limit, an overload would exhaust this host's memory instead of being refused early.
TEST_CASE("a host that handles as many requests as it may refuses the next one")
{
    std::atomic<bool> mayRespond = false;
    ScriptedServer server([&](const std::string &, Socket &socket) {
        eventually([&] { return mayRespond.load(); });
        sendAll(socket, okResponse("ok"));
        return true;
    });
    EntryFixture fixture({server.address()}, {"north", false, 1});
    TestClient first(fixture.port());
    first.send(requestText("GET", "/s/lessons/x"));
    REQUIRE(eventually([&] { return server.requests().size() == 1; }));
    const auto refused = fixture.sendAndReceive(requestText("GET", "/s/lessons/x"));
    CHECK(contains(refused, "HTTP/1.1 503 "));
    CHECK(contains(refused, "Banyanledge-Outcome: not-run"));
    mayRespond = true;
    CHECK(contains(first.receive(), "200 OK"));
}

// Otherwise the host's shutdown would close a kept-alive connection while its client sends the next request (P11).
TEST_CASE("a leaving host closes connections after their responses")
{
    ScriptedServer server(respondOk);
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/x"));
    CHECK_FALSE(contains(client.receive(), "Connection: close"));
    fixture.server().closeAfterResponses();
    client.send(requestText("GET", "/s/lessons/x"));
    CHECK(contains(client.receive(), "Connection: close"));
    CHECK_FALSE(client.receiveUntil("more"));
}

// Guards against a pipelined request that runs although the response before it closes the connection (P11).
TEST_CASE("a leaving host runs no request behind one whose response closes the connection")
{
    ScriptedServer server([&](const std::string &, Socket &socket) {
        std::this_thread::sleep_for(milliseconds(300)); // the second request arrives before the first response
        sendAll(socket, okResponse("hello"));
        return true;
    });
    EntryFixture fixture({server.address()});
    TestClient client(fixture.port());
    fixture.server().closeAfterResponses();
    client.send(requestText("POST", "/s/lessons/a", {}, "a") + requestText("POST", "/s/lessons/b", {}, "b"));
    std::size_t answers = 0;
    for (bool complete = true; complete; answers += complete ? 1 : 0) {
        const auto response = client.receive(&complete);
        CHECK((!complete || contains(response, "Connection: close")));
    }
    CHECK(answers == 1);
    CHECK(server.requests().size() == answers);
    CHECK(fixture.claims().size() == answers);
}

// Guards against a planned stop that ends while the last part of a response waits for a slow client (P11).
TEST_CASE("a planned stop waits until a slow client has taken the whole response")
{
    constexpr std::size_t partSize = 16384;
    constexpr std::size_t bodySize = 15 * partSize; // what the entry host buffers; the socket buffers take less
    ScriptedServer server([&](const std::string &, Socket &socket) {
        sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n");
        for (std::size_t at = 0; at < bodySize; at += partSize) {
            sendAll(socket, std::string(partSize, 'x'));
            std::this_thread::sleep_for(milliseconds(2)); // in parts, so that most of them wait for the write of one
        }
        return true;
    });
    EntryFixture fixture({server.address()});
    SlowClient client(fixture.port());
    client.send(requestText("GET", "/s/lessons/film"));
    REQUIRE(eventually([&] { return fixture.outcomes() == std::vector{proto::OUTCOME_OK}; }));
    REQUIRE(fixture.path().inFlight() == 1);
    std::thread stop([&] { // as EntryHost::stop() does
        fixture.server().closeAfterResponses();
        eventually([&] { return fixture.path().inFlight() == 0; });
        fixture.server().stop();
    });
    std::size_t total = client.readUpTo(1024).size();
    const std::size_t expected = client.readUpTo(0).find("\r\n\r\n") + 4 + bodySize;
    for (std::size_t previous = 0; total > previous && total < expected;) {
        std::this_thread::sleep_for(milliseconds(5));
        previous = std::exchange(total, client.readUpTo(std::min(expected, total + 4096)).size());
    }
    stop.join();
    CHECK(total == expected);
}

// With a long wait in a full region, the clients' latency grows although another region has free slots.
TEST_CASE("a request queues only briefly in a region while another one is left")
{
    EntryFixture fixture({"127.0.0.1:1", "127.0.0.1:1"}, {"north", true, 1000});
    fixture.refuseSlots = true;
    CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x", "Banyanledge-Deadline-Ms: 20000\r\n")),
                   "not-run"));
    const auto waits = fixture.slotWaits();
    REQUIRE(waits.size() == 2);
    CHECK(waits[0] <= milliseconds(50));
    CHECK(waits[1] > milliseconds(1000)); // the last region may use the whole deadline
}

// Many short bodies together could exceed this host's share of a link without the owner of its bucket noticing (P2).
TEST_CASE("short bodies beyond this host's share of a link take their bytes from its bucket")
{
    ScriptedServer server([](const std::string &request, Socket &socket) {
        sendAll(socket, okResponse(std::string(request.starts_with("GET") ? 40000 : 1, 'x')));
        return true;
    });
    // The share is 1,000 bytes/s with 65,536 bytes saved up, so a second body of 40,000 bytes fits only after 14 s.
    EntryFixture fixture({server.address()}, {"south", false, 1000, 10000});
    for (int i = 0; i < 3; ++i) {
        CHECK(contains(fixture.sendAndReceive(requestText("PUT", "/s/lessons/x", {}, std::string(40000, 'y'))),
                       "200 OK"));
        CHECK(fixture.tokens("link:south>north") == i * 40000);
        CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x")), std::string(40000, 'x')));
        CHECK(fixture.tokens("link:north>south") == i * 40000);
    }
}
