// HTTP server for clients: RESTinio on standalone Asio with a pool of worker threads.
#pragma once

#include <asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/types.h"
#include "entry/framing.h"

namespace banyanledge
{

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::uint32_t clientAddress = 0; // IPv4, host byte order; 0 for IPv6
};

// Writes the response to one request. Calls may come from any thread, one at a time.
class ResponseWriter
{
public:
    class Private;
    explicit ResponseWriter(std::shared_ptr<Private> priv);

    // Sends a whole response.
    void respond(int status, const Headers &headers, const std::string &body);

    // Starts a streamed response; the head is sent with the first call of write() or finish(). Without a length the
    // body is chunked. `bodyless` is set for responses without a body, which keep their length header.
    void start(int status, const Headers &headers, std::optional<std::uint64_t> length, bool bodyless);

    // Sends a part of the body; `written(false)` when the client has disconnected.
    void write(std::string data, std::function<void(bool)> written);

    // Ends the response, with a last part of the body.
    void finish(std::string data = {});

    // Closes the connection before the end of the response, so that it can't look complete.
    void abort();

    // Registers a callback for a client that disconnects before the response is finished. It may run at once.
    void onDisconnect(std::function<void()> disconnected);

    // Keeps the token until the last byte of the response has been written or the connection has been closed.
    void holdUntilWritten(std::shared_ptr<void> token);

private:
    std::shared_ptr<Private> d;
};

class EntryServer
{
public:
    struct Options
    {
        std::string address; // IP:PORT
        unsigned threads = 4;
        std::uint64_t maxBodyBytes = 8388608;
        std::function<void(Request, ResponseWriter)> handle;
    };

    explicit EntryServer(Options options);
    ~EntryServer();

    // Listens and starts the threads; false with lastError() when the address cannot be bound.
    bool start();

    // Stops listening, closes all connections and ends the threads.
    void stop();

    // Closes each connection after its next response. Requests that arrive behind that one are not handled.
    void closeAfterResponses();

    // Port in use, for tests that bind port 0.
    std::uint16_t port() const;

    std::shared_ptr<asio::io_context> context();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
