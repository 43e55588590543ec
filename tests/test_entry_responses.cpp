// Tests what clients of an entry host get when a backend server sends unusual or broken responses.
#include <catch2/catch.hpp>

#include "entry_fixture.h"
#include "net/http.h"
#include "response_cases.h"

using namespace banyanledge;
using namespace banyanledge::testing;
using Socket = asio::ip::tcp::socket;

namespace
{

ScriptedServer::Script respondAlways(const std::string &bytes)
{
    return [bytes](const std::string &, Socket &socket) {
        sendAll(socket, bytes);
        return true;
    };
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a check of responses that refuses what the standard allows, or changes it.
TEST_CASE("unusual responses arrive whole")
{
    for (const ResponseCase &sound : soundResponses()) {
        CAPTURE(sound.name);
        ScriptedServer server(respondAlways(sound.bytes));
        EntryFixture fixture({server.address()});
        TestClient client(fixture.port());
        client.send(requestText("POST", "/s/lessons/x", {}, "b"));
        const bool bodyless = sound.status == 204 || sound.status == 304;
        const auto received = client.receive(nullptr, bodyless);
        HttpParser response(HttpParser::Kind::Response);
        CHECK(response.feed(received) == received.size());
        CHECK(response.complete());
        CHECK(response.head().status == sound.status);
        CHECK(response.takeBody() == sound.body);
        CHECK(contains(received, "\r\nSigned: s\r\n"));
        CHECK(eventually([&] { return fixture.heldSlots() == 0; }));
        CHECK(server.requests().size() == 1);
    }
}

// Guards against a broken response that reaches the client, in whole or in part, as an answer of the server, or leaves
// a connection whose next bytes belong to no request.
TEST_CASE("a response with a broken head is not passed on, and its connection is not used again")
{
    for (const ResponseCase &broken : brokenHeads()) {
        CAPTURE(broken.name);
        ScriptedServer server(respondAlways(broken.bytes));
        EntryFixture fixture({server.address()});
        TestClient client(fixture.port());
        client.send(requestText("POST", "/s/lessons/x", "Banyanledge-Deadline-Ms: 1000\r\n", "b"));
        bool complete = false;
        const auto response = client.receive(&complete);
        CHECK(complete);
        CHECK(contains(response, "HTTP/1.1 502 "));
        CHECK(contains(response, "Banyanledge-Outcome: unknown"));
        CHECK_FALSE(contains(response, "Signed"));
        CHECK(eventually([&] { return fixture.heldSlots() == 0 && server.openConnections() == 0; }));
        CHECK(fixture.outcomes() == std::vector{proto::OUTCOME_ERROR});
        CHECK(server.requests().size() == 1);
    }
}

// Guards against a response that looks complete to the client although its end is broken, and counts as a success.
TEST_CASE("a response with broken chunks or trailers does not look complete")
{
    std::vector<ResponseCase> cases = brokenBodies();
    const auto extensions = brokenChunkExtensions();
    cases.insert(cases.end(), extensions.begin(), extensions.end());
    for (const ResponseCase &broken : cases) {
        CAPTURE(broken.name);
        ScriptedServer server(respondAlways(broken.bytes));
        EntryFixture fixture({server.address()});
        TestClient client(fixture.port());
        client.send(requestText("POST", "/s/lessons/x", "Banyanledge-Deadline-Ms: 1000\r\n", "b"));
        bool complete = true;
        const auto response = client.receive(&complete);
        CHECK((!complete || contains(response, "HTTP/1.1 502 ")));
        CHECK(eventually([&] { return fixture.heldSlots() == 0 && server.openConnections() == 0; }));
        CHECK(fixture.outcomes().back() != proto::OUTCOME_OK);
        CHECK(server.requests().size() == 1);
    }
}

// Guards against a decoder of chunks that does not find the end of the response.
TEST_CASE("a connection is used again after a chunked response")
{
    ScriptedServer server(respondAlways("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        "4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n"));
    EntryFixture fixture({server.address()});
    for (int i = 0; i < 3; ++i) {
        CHECK(contains(fixture.sendAndReceive(requestText("GET", "/s/lessons/x")), "4\r\nbody\r\n0\r\n\r\n"));
    }
    CHECK(server.requests().size() == 3);
    CHECK(server.connections() == 1);
}

// Guards against a read that fails because one server sends broken heads.
TEST_CASE("a read whose first server sends a broken head is tried on another server")
{
    for (const ResponseCase &broken : brokenHeads()) {
        CAPTURE(broken.name);
        ScriptedServer faulty(respondAlways(broken.bytes));
        ScriptedServer sound(respondAlways(okResponse("sound")));
        EntryFixture fixture({faulty.address(), sound.address()});
        const auto response =
            fixture.sendAndReceive(requestText("GET", "/s/lessons/x", "Banyanledge-Deadline-Ms: 2000\r\n"));
        CHECK(contains(response, "HTTP/1.1 200 OK"));
        CHECK(contains(response, "sound"));
        CHECK(faulty.requests().size() == 1);
    }
}
