// HTTP client for backend servers, based on libcurl's multi interface; transfers run on the client's own threads.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/types.h"
#include "entry/framing.h"

namespace banyanledge
{

struct BackendRequest
{
    std::string address; // IP:PORT
    std::string method;
    std::string target; // path with query
    Headers headers;
    std::shared_ptr<const std::string> body; // never null
    bool newConnection =
        false; // never reuses a connection: libcurl resends a request when a reused connection has just been closed
    Duration connectTimeout{};
};

struct BackendHead
{
    int status = 0;
    Headers headers; // unfiltered, as received
    std::optional<std::uint64_t> length; // Content-Length in bytes; nullopt without that header
};

enum class TransferResult {
    Complete,
    NotSent, // no connection, or beforeSend() refused
    Broken, // the connection ended early or the response is not valid HTTP/1.1
};

// What a transfer received since the previous call of BackendCallbacks::received().
struct BackendUpdate
{
    std::optional<BackendHead> head;
    std::string data;
    std::optional<TransferResult> end; // set in the last update
    std::string error; // reason when `end` is set and not Complete
};

struct BackendCallbacks
{
    // Called on the client's thread once connected, right before the first byte of the request is sent; false stops the
    // transfer with nothing sent.
    std::function<bool()> beforeSend;

    // Called on the client's thread; must not block.
    std::function<void(BackendUpdate)> received;
};

// Handle of one transfer. Destroying the handle cancels the transfer and closes its connection if it has not ended.
class BackendTransfer
{
public:
    class WorkerPool;
    BackendTransfer(std::weak_ptr<WorkerPool> workers, std::uint64_t id);
    ~BackendTransfer();
    BackendTransfer(const BackendTransfer &) = delete;
    BackendTransfer &operator=(const BackendTransfer &) = delete;

    // Reports body bytes that were written to the client. Reading from the server pauses while too many are unconsumed.
    void consumed(std::size_t bytes);

private:
    std::weak_ptr<WorkerPool> m_workers;
    const std::uint64_t m_id;
};

class BackendClient
{
public:
    explicit BackendClient(unsigned threads);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    // Starts a transfer. Updates that were already being delivered may still arrive after its handle was destroyed.
    std::unique_ptr<BackendTransfer> start(BackendRequest request, BackendCallbacks callbacks);

private:
    std::shared_ptr<BackendTransfer::WorkerPool> m_workers;
};

} // namespace banyanledge
