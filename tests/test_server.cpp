// Pipelined requests at the HTTP server, over real sockets.
#include <unistd.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <thread>

#include <asio.hpp>

#include "base/log.h"
#include "net/server.h"

using namespace banyanledge;

namespace
{

using asio::ip::tcp;

// Time after which a wait in these tests fails.
constexpr milliseconds waitLimit{5000};

// A server whose calls the test answers. Requests to paths below /once must not be repeated.
class PipelineFixture
{
public:
    explicit PipelineFixture(const HttpLimits &initialLimits = {})
        : limits(initialLimits)
        , m_client(m_loop)
    {
        HttpServer::Options options;
        options.limits = [this] { return limits; };
        options.handle = [this](const std::shared_ptr<HttpCall> &call) {
            const std::string path = call->request().head.target;
            m_arrivals.push_back(path);
            calls[path] = call;
            call->onDisconnect([this, path](CloseReason) { disconnected.push_back(path); });
        };
        options.mayPipeline = [](const HttpHead &head) { return !head.target.starts_with("/once"); };
        for (unsigned short port = 20000; !server && port < 20200; ++port) {
            options.address = "127.0.0.1:" + std::to_string(port);
            server = HttpServer::start(m_loop, options);
            m_endpoint = {asio::ip::address_v4::loopback(), port};
        }
        REQUIRE(server);
        m_client.connect(m_endpoint);
    }

    void send(const std::string &bytes)
    {
        asio::write(m_client, asio::buffer(bytes));
    }

    // Runs the loop until a condition holds.
    void runUntil(const std::function<bool()> &condition)
    {
        const Time end = Clock::now() + waitLimit;
        while (!condition()) {
            REQUIRE(Clock::now() < end);
            m_loop.run_for(milliseconds(1));
            m_loop.restart();
        }
    }

    // Waits until exactly these requests have been handed to the handler, and no other one is in the next 30 ms.
    void expectArrivals(const std::vector<std::string> &paths)
    {
        runUntil([&] { return m_arrivals.size() >= paths.size(); });
        m_loop.run_for(milliseconds(30));
        m_loop.restart();
        CHECK(m_arrivals == paths);
    }

    // All bytes that arrive until the server closes the connection; `reset` tells how it did.
    std::string receiveUntilClosed(bool &reset)
    {
        std::string received;
        bool closed = false;
        std::array<char, 4096> buffer{};
        std::function<void()> read = [&] {
            m_client.async_read_some(asio::buffer(buffer), [&](const asio::error_code &error, std::size_t size) {
                received.append(buffer.data(), size);
                closed = bool(error);
                reset = error == asio::error::connection_reset;
                if (!error) {
                    read();
                }
            });
        };
        read();
        runUntil([&] { return closed; });
        return received;
    }

    // Bytes that arrive until the text is complete.
    std::string receive(const std::string &lastText)
    {
        std::string received;
        asio::error_code error;
        m_client.non_blocking(true);
        runUntil([&] {
            std::array<char, 4096> buffer{};
            const std::size_t size = m_client.read_some(asio::buffer(buffer), error);
            received.append(buffer.data(), size);
            return received.ends_with(lastText);
        });
        m_client.non_blocking(false);
        return received;
    }

    // Runs the loop for a time.
    void runFor(milliseconds time)
    {
        m_loop.run_for(time);
        m_loop.restart();
    }

    void closeClient()
    {
        m_client.close();
    }

    HttpLimits limits;
    std::map<std::string, std::shared_ptr<HttpCall>> calls; // by path
    std::vector<std::string> disconnected; // paths
    std::unique_ptr<HttpServer> server;

private:
    asio::io_context m_loop;
    tcp::socket m_client;
    tcp::endpoint m_endpoint;
    std::vector<std::string> m_arrivals; // paths
};

// Collects what is logged, instead of printing it.
class LogCapture
{
public:
    LogCapture()
        : m_file(std::tmpfile())
        , m_standardOutput(dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        dup2(fileno(m_file), STDOUT_FILENO);
        startLog("info", "test");
    }

    ~LogCapture()
    {
        end();
        std::fclose(m_file);
    }

    // Ends the collection and returns the lines.
    std::string end()
    {
        if (m_standardOutput >= 0) {
            stopLog();
            dup2(m_standardOutput, STDOUT_FILENO);
            close(std::exchange(m_standardOutput, -1));
            startLog("error", "test"); // as tests/main.cpp does
        }
        std::string text;
        std::rewind(m_file);
        std::array<char, 4096> buffer{};
        for (std::size_t size = 0; (size = std::fread(buffer.data(), 1, buffer.size(), m_file)) > 0;) {
            text.append(buffer.data(), size);
        }
        return text;
    }

private:
    std::FILE *m_file;
    int m_standardOutput;
};

std::string get(const std::string &path, const std::string &headers = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

std::string ok(const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

} // namespace

// Guards against a request that waits at the server for the backend's answers to all earlier ones of its connection.
TEST_CASE("pipelined requests that may be repeated are handled at once and answered in order")
{
    PipelineFixture fixture;
    fixture.send(get("/a") + get("/b") + get("/c"));
    fixture.expectArrivals({"/a", "/b", "/c"});
    fixture.calls["/c"]->respond(200, {}, "third");
    fixture.calls["/b"]->begin(200, {}, std::nullopt);
    fixture.calls["/b"]->write("second");
    fixture.calls["/b"]->end();
    fixture.calls["/a"]->respond(200, {}, "first");
    CHECK(fixture.receive("third")
          == ok("first") + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n"
              + ok("third"));
    CHECK(fixture.disconnected.empty());
}

// Guards against a request that runs twice, because the client sends it again after the response before it closed the
// connection.
TEST_CASE("a pipelined request that must not be repeated waits for the responses before it")
{
    PipelineFixture fixture;
    fixture.send(get("/a") + get("/once") + get("/b"));
    fixture.expectArrivals({"/a"});
    fixture.calls["/a"]->respond(200, {}, "first");
    fixture.expectArrivals({"/a", "/once"});
    fixture.calls["/once"]->respond(200, {}, "second");
    fixture.expectArrivals({"/a", "/once", "/b"});
    fixture.calls["/b"]->respond(200, {}, "third");
    CHECK(fixture.receive("third") == ok("first") + ok("second") + ok("third"));
}

TEST_CASE("requests behind a response that closes the connection are not handled, and those in progress are cancelled")
{
    PipelineFixture fixture;
    SECTION("the request asks for it")
    {
        fixture.send(get("/a", "Connection: close\r\n") + get("/b"));
        fixture.expectArrivals({"/a"});
    }
    SECTION("the handler asks for it")
    {
        fixture.send(get("/a") + get("/b") + get("/once"));
        fixture.expectArrivals({"/a", "/b"});
        fixture.calls["/a"]->closeAfterResponse();
    }
    const bool cancelsOthers = fixture.calls.contains("/b");
    fixture.calls["/a"]->respond(200, {}, "first");
    bool reset = false;
    CHECK(fixture.receiveUntilClosed(reset) == ok("first", "Connection: close\r\n"));
    CHECK_FALSE(reset);
    CHECK_FALSE(fixture.calls.contains("/once"));
    CHECK(fixture.disconnected == (cancelsOthers ? std::vector<std::string>{"/b"} : std::vector<std::string>{}));
}

// Guards against requests that were accepted and are cut off when the server stops.
TEST_CASE("a closing server answers all requests in progress and closes with the newest")
{
    PipelineFixture fixture;
    fixture.send(get("/a") + get("/b"));
    fixture.expectArrivals({"/a", "/b"});
    fixture.server->closeAfterResponses();
    fixture.send(get("/c"));
    fixture.calls["/a"]->respond(200, {}, "first");
    fixture.calls["/b"]->respond(200, {}, "second");
    bool reset = false;
    CHECK(fixture.receiveUntilClosed(reset) == ok("first") + ok("second", "Connection: close\r\n"));
    CHECK_FALSE(reset);
    CHECK(fixture.calls.size() == 2);
}

// Guards against an incomplete response that looks complete.
TEST_CASE("an aborted response of which bytes were sent resets the connection")
{
    PipelineFixture fixture;
    fixture.send(get("/a") + get("/b") + get("/c"));
    fixture.expectArrivals({"/a", "/b", "/c"});
    SECTION("the oldest one")
    {
        fixture.calls["/a"]->begin(200, {}, 100);
        fixture.calls["/a"]->write("part");
        CHECK(fixture.receive("part").ends_with("Content-Length: 100\r\n\r\npart"));
        fixture.calls["/a"]->abort();
        CHECK(fixture.disconnected == std::vector<std::string>{"/b", "/c"});
    }
    SECTION("one that became the oldest")
    {
        fixture.calls["/a"]->respond(200, {}, "first");
        fixture.calls["/b"]->begin(200, {}, 100);
        fixture.calls["/b"]->write("part");
        CHECK(fixture.receive("part").starts_with(ok("first")));
        fixture.calls["/b"]->abort();
        CHECK(fixture.disconnected == std::vector<std::string>{"/c"});
    }
    bool reset = false;
    CHECK(fixture.receiveUntilClosed(reset).empty());
    CHECK(reset);
}

// Guards against an aborted response that takes the one before it along: a reset destroys what the kernel has not sent
// yet. The first response is longer than what the kernel takes at once, so that a part of it is there at its end.
TEST_CASE("an aborted response of which no byte was sent ends the connection after the whole responses before it")
{
    PipelineFixture fixture;
    fixture.send(get("/a") + get("/b") + get("/c"));
    fixture.expectArrivals({"/a", "/b", "/c"});
    const std::string first(8000000, 'f');
    SECTION("aborted while the one before is sent")
    {
        fixture.calls["/a"]->respond(200, {}, first);
    }
    fixture.calls["/b"]->begin(200, {}, 100);
    fixture.calls["/b"]->write("part");
    fixture.calls["/b"]->abort();
    SECTION("aborted before the one before it is sent")
    {
        fixture.calls["/a"]->respond(200, {}, first);
    }
    bool reset = false;
    const std::string received = fixture.receiveUntilClosed(reset);
    CHECK(received.size() == ok(first).size());
    CHECK((received == ok(first)));
    CHECK_FALSE(reset);
    CHECK(fixture.disconnected == std::vector<std::string>{"/c"});
}

// Guards against requests that are passed on although an aborted response before them is sure to end the connection.
TEST_CASE("a request behind an aborted response is not handled")
{
    PipelineFixture fixture;
    fixture.send(get("/a") + get("/b"));
    fixture.expectArrivals({"/a", "/b"});
    fixture.calls["/b"]->abort();
    fixture.send(get("/c"));
    fixture.expectArrivals({"/a", "/b"});
    fixture.calls["/a"]->respond(200, {}, "first");
    bool reset = false;
    CHECK(fixture.receiveUntilClosed(reset) == ok("first"));
}

// Guards against a response that the gateway logs as sent although no byte of it was sent.
TEST_CASE("a whole response that is not sent because of an earlier one is logged")
{
    LogCapture log;
    {
        PipelineFixture fixture;
        fixture.send(get("/a?key=1") + get("/b?key=2") + get("/c"));
        fixture.expectArrivals({"/a?key=1", "/b?key=2", "/c"});
        fixture.calls["/b?key=2"]->respond(200, {}, "second");
        fixture.calls["/a?key=1"]->begin(200, {}, 100);
        fixture.calls["/a?key=1"]->write("part");
        fixture.calls["/a?key=1"]->abort();
        CHECK(fixture.disconnected == std::vector<std::string>{"/c"});
    }
    const std::string lines = log.end();
    CHECK(std::count(lines.begin(), lines.end(), '\n') == 1);
    CHECK_THAT(lines,
               Catch::Contains("\"message\":\"response not sent whole, because the connection ended first\","
                               "\"path\":\"/b\",\"reason\":\"an earlier response was cut\",\"sent\":\"no\""));
}

TEST_CASE("an unreadable request is refused after the responses before it")
{
    PipelineFixture fixture;
    fixture.send(get("/a") + "nonsense\r\n\r\n" + get("/b"));
    fixture.expectArrivals({"/a"});
    fixture.calls["/a"]->respond(200, {}, "first");
    bool reset = false;
    const std::string received = fixture.receiveUntilClosed(reset);
    CHECK(received.starts_with(ok("first") + "HTTP/1.1 400 "));
    CHECK(received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a client that disconnects cancels all its requests")
{
    PipelineFixture fixture;
    fixture.send(get("/a") + get("/b"));
    fixture.expectArrivals({"/a", "/b"});
    fixture.closeClient();
    fixture.runUntil([&] { return fixture.disconnected.size() == 2; });
    CHECK(fixture.disconnected == std::vector<std::string>{"/a", "/b"});
}

// Guards against requests that were passed on and whose connection was closed without an answer: the process stood
// still past the idle limit of a kept connection, and the completion of its timer was handled after the request was
// read.
TEST_CASE("a request that arrives while the process stands still past the idle limit is answered")
{
    HttpLimits limits;
    limits.idleTimeout = milliseconds(50);
    PipelineFixture fixture(limits);
    fixture.runFor(milliseconds(10));
    fixture.send(get("/a"));
    std::this_thread::sleep_for(milliseconds(100));
    fixture.expectArrivals({"/a"});
    CHECK(fixture.disconnected.empty());
    fixture.calls["/a"]->respond(200, {}, "first");
    CHECK(fixture.receive("first") == ok("first"));
}

// Guards against the head of a request being refused as late, because the time limit of the request before it passed
// while the process stood still.
TEST_CASE("the time limit of one request's head does not end the next request")
{
    HttpLimits limits;
    limits.headerTimeout = milliseconds(300);
    PipelineFixture fixture(limits);
    fixture.send("GET /a HTTP/1.1\r\n");
    fixture.runFor(milliseconds(10));
    fixture.send("Host: h\r\n\r\nGET /b HTTP/1.1\r\n");
    std::this_thread::sleep_for(milliseconds(400));
    fixture.expectArrivals({"/a"});
    fixture.calls["/a"]->respond(200, {}, "first");
    fixture.send("Host: h\r\n\r\n");
    fixture.expectArrivals({"/a", "/b"});
    fixture.calls["/b"]->respond(200, {}, "second");
    CHECK(fixture.receive("second") == ok("first") + ok("second"));
}

// Guards against requests that are cut off unread at a planned stop, because their connection was still counted as
// idle.
TEST_CASE("a request that has arrived is answered when the server closes its idle connections")
{
    PipelineFixture fixture;
    fixture.send(get("/a"));
    fixture.expectArrivals({"/a"});
    fixture.calls["/a"]->respond(200, {}, "first");
    CHECK(fixture.receive("first") == ok("first"));
    fixture.send(get("/b"));
    fixture.server->closeAfterResponses();
    fixture.server->closeIdleConnections();
    fixture.expectArrivals({"/a", "/b"});
    fixture.calls["/b"]->respond(200, {}, "second");
    bool reset = false;
    CHECK(fixture.receiveUntilClosed(reset) == ok("second", "Connection: close\r\n"));
}

// Guards against requests that are passed on long after their clients have left: the process stood still meanwhile, and
// the end of the connection waited behind the request.
TEST_CASE("a request whose client has closed the connection before it was read is not handled")
{
    PipelineFixture fixture;
    fixture.runFor(milliseconds(10));
    fixture.send(get("/a"));
    fixture.closeClient();
    fixture.expectArrivals({});
    fixture.runUntil([&] { return fixture.server->connections() == 0; });
}

// Guards against a request with a long body that is refused as one with a long head, when all of it arrives at once.
TEST_CASE("a body that is longer than the limit on heads is accepted with its head")
{
    PipelineFixture fixture;
    const std::string body(40000, 'b');
    fixture.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n" + body);
    fixture.expectArrivals({"/a"});
    CHECK(fixture.calls["/a"]->request().body.size() == body.size());
    fixture.calls["/a"]->respond(200, {}, "first");
    CHECK(fixture.receive("first") == ok("first"));
}
