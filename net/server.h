// HTTP/1.1 server on one event loop: reads whole requests, streams answers, notices callers that leave.
#pragma once

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

#include "base/types.h"
#include "net/http.h"

namespace banyanledge
{

struct HttpRequest
{
    HttpHead head;
    std::string body;
    Time receiveStart{}; // when the first byte arrived
    Time receiveEnd{}; // when it was complete
};

// One request and its answer. All functions run on the server's loop; those that answer do nothing once the caller
// has left.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    virtual const HttpRequest &request() const = 0;

    // Answers with a whole body.
    virtual void respond(int status, const HttpHeaders &headers, const std::string &body) = 0;

    // Starts an answer of a declared length, or of unknown length with nullopt; the body follows with write().
    virtual void begin(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length) = 0;
    virtual void write(std::string bytes) = 0;
    virtual void end() = 0;

    // Closes the connection after this answer; has to be called before the answer is begun.
    virtual void closeAfterResponse() = 0;

    // Bytes handed over that the caller has not taken yet.
    virtual std::size_t bufferedBytes() const = 0;

    // Calls back once unsent() fell after a write.
    virtual void onDrained(std::function<void()> callback) = 0;

    // Cuts the connection, so that a begun answer does not look complete.
    virtual void abort() = 0;

    // Calls back when the caller closes the connection before the answer has ended.
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

// What callers may send and how long they may take.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 64UL << 20;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

class HttpServer
{
public:
    class Private; // known to the connections in the source

    struct Options
    {
        std::string address; // IP:PORT
        std::function<HttpLimits()> limits; // asked for each connection and each request
        std::function<void(std::shared_ptr<HttpCall>)> handle;
        std::function<void(int status)> onRejected; // a request that broke a limit or is no HTTP; may be empty
    };

    // Binds the address and accepts connections; nullptr with lastError() when it can't.
    static std::unique_ptr<HttpServer> start(asio::io_context &loop, Options options);
    ~HttpServer();

    // Answers from now on ask callers to close their connections.
    void closeAfterResponses();

    // Closes connections on which no request is being read or answered.
    void closeIdleConnections();

    // Stops accepting connections.
    void stopAccepting();

    std::size_t connections() const;

private:
    explicit HttpServer(std::shared_ptr<Private> priv);
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
