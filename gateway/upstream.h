// Connections to backend servers: kept between requests, watched while idle, never used again after an answer that was
// not read whole.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

#include "base/types.h"
#include "net/http.h"

namespace banyanledge
{

// How an attempt ended.
enum class AttemptResult {
    NotSent, // no connection, so the server can't have run the request
    NoResponse, // the request was sent and may have run, but no whole answer came
    Completed, // the whole answer was read
};

// Callbacks of one attempt; all run on the loop. None is called after cancel().
struct AttemptHandlers
{
    std::function<void(const HttpHead &)> head;
    std::function<void(std::string)> body;
    std::function<void(AttemptResult, const std::string &reason)> end; // once, last
};

// One request to one server.
class UpstreamAttempt
{
public:
    virtual ~UpstreamAttempt() = default;

    // Closes the connection, which makes the server stop work.
    virtual void cancel() = 0;

    // Stops and resumes reading the answer, while the caller takes it slowly.
    virtual void pause(bool paused) = 0;

    // Whether a byte of the request may have left this host.
    virtual bool sent() const = 0;

    // Whether the request went on a kept connection.
    virtual bool reused() const = 0;
};

struct UpstreamRequest
{
    std::string serverId;
    asio::ip::tcp::endpoint address;
    std::string bytes; // head and body
    std::string requestId; // an answer that names another one is skipped
    bool isHead = false; // the answer has no body
    Duration maxIdleTime{}; // of a kept connection that may be used
};

class Upstream
{
public:
    class Private; // known to the connections in the source

    struct Options
    {
        std::string requestIdHeader; // in answers
        milliseconds connectTimeout{400};
    };

    Upstream(asio::io_context &loop, Options options);
    ~Upstream();

    std::shared_ptr<UpstreamAttempt> send(UpstreamRequest request, AttemptHandlers handlers);

    // Closes kept connections to a server.
    void closeIdleConnections(const std::string &server);

private:
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
