// Pool of HTTP connections to backend servers. A read stays pending on each idle connection, so that a close by the
// server is noticed. A connection is reused only after its last response was read completely.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

#include "base/types.h"
#include "net/bytebudget.h"
#include "net/http.h"

namespace banyanledge
{

// How an attempt ended.
enum class AttemptResult {
    NotSent, // no connection was established, so the server can't have executed the request
    Refused, // the same, because the server refused the connection: its process has ended
    NoResponse, // the request was sent and may have been executed, but no complete response arrived
    ConnectionEnded, // the same, because the server closed or reset the connection
    Completed, // a complete response was read
};

// Callbacks of one attempt, run on the event loop. None is called after cancel().
struct AttemptHandlers
{
    std::function<void(const HttpHead &)> head;
    std::function<void(std::string)> body;
    std::function<void(AttemptResult, const std::string &reason)> end; // called once, as the last one
};

// A request in progress at one server.
class UpstreamAttempt
{
public:
    virtual ~UpstreamAttempt() = default;

    // Closes the connection, which tells the server to abort the request.
    virtual void cancel() = 0;

    // Pauses or resumes reading the response, for backpressure while the client reads slowly.
    virtual void setPaused(bool paused) = 0;

    // Whether any byte of the request may have been sent.
    virtual bool sent() const = 0;

    // Whether the request was sent on a reused connection.
    virtual bool reused() const = 0;
};

struct UpstreamRequest
{
    std::string serverId;
    asio::ip::tcp::endpoint address;
    std::string bytes; // serialized head and body
    std::string requestId; // a response with another id is skipped
    bool isHeadRequest = false; // HEAD request: the response has no body
    Duration maxIdleTime{}; // limit on the idle time of a connection to be reused; negative: none is reused
    bool isCheck = false; // a health check: losing its connection later says nothing
};

class Upstream
{
public:
    class Private; // public because connections in upstream.cpp use it

    struct Options
    {
        std::string requestIdHeader; // response header with the id of the request that the response belongs to
        milliseconds connectTimeout{400};
        std::function<void(const std::string &server)> onIdleLost; // the server closed an idle connection too early
        std::shared_ptr<ByteBudget> responseBudget; // counts the heads of responses
    };

    Upstream(asio::io_context &loop, Options options);
    ~Upstream();

    // Sends a request on an idle connection of the pool, or on a new one.
    std::shared_ptr<UpstreamAttempt> send(UpstreamRequest request, AttemptHandlers handlers);

    // Closes the idle connections to a server.
    void closeIdleConnections(const std::string &server);

private:
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
