// HTTP server for callers: RESTinio on standalone Asio with a pool of worker threads.
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

// Answer to one request. All calls may come from any thread, one at a time.
class ResponseWriter
{
public:
    class Private;
    explicit ResponseWriter(std::shared_ptr<Private> priv);

    // Sends a whole answer.
    void respond(int status, const Headers &headers, const std::string &body);

    // Begins a streamed answer; the head leaves with the first call of write() or finish(). Without a length the body
    // is chunked. `bodyless` is set for answers that never have one, which keep their length header.
    void start(int status, const Headers &headers, std::optional<std::uint64_t> length, bool bodyless);

    // Sends a part of the body; `written(false)` when the caller is gone.
    void write(std::string data, std::function<void(bool)> written);

    // Ends the answer, with a last part of the body.
    void finish(std::string data = {});

    // Closes the connection before the end of the answer, so that it can't look complete.
    void abort();

    // Registers what to do when the caller's connection closes before the answer was finished. It may run at once.
    void onDisconnect(std::function<void()> disconnected);

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

    // From now on each answer closes its connection.
    void closeAfterResponses();

    // Port in use, for tests that bind port 0.
    std::uint16_t port() const;

    std::shared_ptr<asio::io_context> context();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
