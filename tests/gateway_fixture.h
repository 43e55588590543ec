// A gateway on loopback between a scripted caller and scripted backend servers, on one event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "net/http.h"
#include "net/server.h"

namespace banyanledge
{

struct ReceivedRequest
{
    HttpHead head;
    std::string body;

    std::string header(const std::string &name) const;
};

// One connection of the gateway to a scripted server.
class ScriptedConnection : public std::enable_shared_from_this<ScriptedConnection>
{
public:
    ScriptedConnection(class ScriptedServer &server, asio::ip::tcp::socket socket);

    void write(const std::string &bytes);

    // A whole answer to `request` with a signature; `extra` headers are lines with CRLF.
    void respond(const ReceivedRequest &request, int status, const std::string &body, const std::string &extra = {});

    void close();
    void reset();
    void read();

private:
    ScriptedServer &m_server;
    asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_chunk{};
    std::string m_input;
    HttpParser m_parser{HttpParser::Kind::Request};
};

class ScriptedServer
{
public:
    explicit ScriptedServer(asio::io_context &loop);

    std::string address() const;

    std::function<void(const std::shared_ptr<ScriptedConnection> &, const ReceivedRequest &)> onRequest;
    std::vector<ReceivedRequest> received;
    int connections = 0; // accepted so far
    int disconnects = 0; // connections that the gateway closed

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
};

// What a caller received.
struct ClientResponse
{
    HttpHead head;
    std::string body;
    bool complete = false;

    int status() const;
    std::string header(const std::string &name) const;
};

class GatewayFixture
{
public:
    explicit GatewayFixture(std::size_t servers = 1);
    ~GatewayFixture();

    // Builds the table again from `declaration` and the servers.
    void publishView();

    // Runs the loop until the condition holds; fails the test after some seconds.
    void runUntil(const std::function<bool()> &done);
    void runFor(milliseconds time);

    // Sends bytes on a connection of its own and waits for one answer or the end of the connection.
    ClientResponse call(const std::string &bytes);

    // The same on a connection that stays open.
    std::unique_ptr<asio::ip::tcp::socket> connect();
    ClientResponse receiveResponse(asio::ip::tcp::socket &socket, bool headMethod = false);

    // A request on the route of that kind: "safe", "unsafe" or "download".
    static std::string request(const std::string &kind, const std::string &id, const std::string &extra = {},
                               const std::string &body = {});

    asio::io_context loop;
    proto::Declaration declaration;
    std::deque<ScriptedServer> servers;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<HttpServer> httpServer;
    std::string address;
    std::vector<std::string> evacuatedZones; // zones; server N is in zone "zN"
    TokenClient::SendCall takeTokens; // the leader's answer; grants nothing at first

private:
    Revision m_revision = 0;
};

} // namespace banyanledge
