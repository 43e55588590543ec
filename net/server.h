// HTTP/1.1 server on one event loop: reads whole requests, streams responses and reports clients that disconnect.
// Pipelined requests that may be repeated are handled at once; the responses are sent in the order of the requests.
#pragma once

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

#include "base/types.h"
#include "net/bytebudget.h"
#include "net/http.h"

namespace banyanledge
{

struct HttpRequest
{
    HttpHead head;
    std::string body;
    Time receiveStart{}; // when the first byte arrived
    Time receiveEnd{}; // when the last byte arrived
};

// Why a connection was closed.
enum class CloseReason {
    ClientClosed, // also when the client reset the connection or shut down its sending side
    WriteFailed, // the client acknowledges no bytes
    IdleTimeout,
    EarlierResponseLast, // a response before those that are missing declared that it closes the connection
    EarlierResponseCut, // a response before those that are missing could not be completed
    ServerStopped
};

// Text for logs and metric labels, e.g. "idle timeout".
const char *closeReasonText(CloseReason reason);

// One request and its response. All functions run on the server's loop; those that respond do nothing once the client
// has disconnected.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    virtual const HttpRequest &request() const = 0;

    // Sends a response with a whole body.
    virtual void respond(int status, const HttpHeaders &headers, const std::string &body) = 0;

    // Starts a response of a declared length, or a chunked one with nullopt; the body follows with write().
    virtual void begin(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length) = 0;
    virtual void write(std::string bytes) = 0;
    virtual void end() = 0;

    // Closes the connection after this response; must be called before the response is started.
    virtual void closeAfterResponse() = 0;

    // Bytes of the response that the socket has not accepted yet.
    virtual std::size_t bufferedBytes() const = 0;

    // Calls back once after the next completed write, when bufferedBytes() has fallen.
    virtual void onDrained(std::function<void()> callback) = 0;

    // Ends the connection after the responses before this one. Resets it if bytes of this response were sent, so that
    // it does not look complete.
    virtual void abort() = 0;

    // Calls back when the connection is closed before the response has ended.
    virtual void onDisconnect(std::function<void(CloseReason)> callback) = 0;
};

// Size limits and timeouts of client requests.
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
    struct Options
    {
        std::string address; // IP:PORT
        std::function<HttpLimits()> limits; // called for each connection and each request
        std::function<void(std::shared_ptr<HttpCall>)> handle;
        // Whether a request may be handled while earlier or later ones of its connection are in progress. It must be
        // one that may run more than once, because the client sends it again when an earlier response closes the
        // connection, and its response must not be likely to break off halfway, which ends the later ones too. Empty:
        // none may.
        std::function<bool(const HttpHead &)> mayPipeline;
        // Counts the bytes of responses that the sockets have not accepted yet; may be null.
        std::shared_ptr<ByteBudget> responseBudget;
        std::function<void(int status)> onRejected; // the request exceeded a limit or is not valid HTTP; may be empty
    };

    // Binds the address and accepts connections; nullptr with lastError() when it can't.
    static std::unique_ptr<HttpServer> start(asio::io_context &loop, Options options);
    ~HttpServer();

    // Closes each connection after the response to the newest request that was received on it.
    void closeAfterResponses();

    // Closes connections without a request in progress.
    void closeIdleConnections();

    // Stops accepting connections.
    void stopAccepting();

    std::size_t connections() const;

private:
    class Private;
    explicit HttpServer(std::shared_ptr<Private> priv);
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
