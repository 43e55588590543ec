#include "control/operatorserver.h"

#include <asio/post.hpp>
#include <asio/strand.hpp>
#include <asio/thread_pool.hpp>
#include <restinio/all.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace banyanledge
{

namespace
{

using WorkerPool = asio::thread_pool;

// What is kept of an open connection. Requests are handled in the order in which the client sent them.
struct ClientConnection
{
    explicit ClientConnection(WorkerPool &pool)
        : requests(asio::make_strand(pool))
    {
    }

    std::atomic<bool> open = true;
    asio::strand<WorkerPool::executor_type> requests;
};

// The open connections, so that an order is not sent on for a client that waits no more. Used on the HTTP thread only;
// the connections that it hands out may be used on any thread.
class ClientConnections
{
public:
    explicit ClientConnections(WorkerPool &pool)
        : m_pool(pool)
    {
    }

    std::shared_ptr<ClientConnection> connection(restinio::connection_id_t id)
    {
        auto &found = m_connections[id];
        if (!found) {
            found = std::make_shared<ClientConnection>(m_pool);
        }
        return found;
    }

    // Called by RESTinio.
    void state_changed(const restinio::connection_state::notice_t &notice) // NOLINT RESTinio's name
    {
        const auto cause = notice.cause();
        const auto found = m_connections.find(notice.connection_id());
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause) && found != m_connections.end()) {
            found->second->open = false;
            m_connections.erase(found);
        }
    }

private:
    WorkerPool &m_pool;
    std::map<restinio::connection_id_t, std::shared_ptr<ClientConnection>> m_connections;
};

struct ServerTraits : restinio::default_traits_t
{
    using connection_state_listener_t = ClientConnections; // NOLINT(readability-identifier-naming) RESTinio's name
};

using HttpServer = restinio::running_server_instance_t<restinio::http_server_t<ServerTraits>>;

// RESTinio reads from a connection while a response is pending only if one more request may follow. Without that, it
// does not see the end of the connection.
constexpr std::size_t maxPipelinedRequests = 2;

// Requests wait for the leader on these threads, so that they don't block the HTTP thread.
constexpr std::size_t workerThreads = 4;

// Bodies larger than maxApiBodyBytes are read up to this size, so that the client gets status 413. For a larger
// body, the connection is closed.
constexpr std::uint64_t maxReadBodyBytes = 16UL * 1024 * 1024;

// Counts the requests whose response has not been written yet.
struct RequestCounter
{
    std::mutex mutex;
    std::condition_variable idle;
    unsigned count = 0;

    void begin();
    void end();
    void waitUntilIdle(Time deadline);
};

void RequestCounter::begin()
{
    const std::lock_guard lock(mutex);
    ++count;
}

void RequestCounter::end()
{
    const std::lock_guard lock(mutex);
    --count;
    idle.notify_all();
}

void RequestCounter::waitUntilIdle(Time deadline)
{
    std::unique_lock lock(mutex);
    idle.wait_until(lock, deadline, [this] { return count == 0; });
}

ApiRequest toApiRequest(const restinio::request_t &request)
{
    ApiRequest apiRequest;
    const auto &header = request.header();
    apiRequest.method = header.method().c_str();
    apiRequest.path = std::string(header.path());
    for (const auto &[name, value] : restinio::parse_query<restinio::parse_query_traits::relaxed>(header.query())) {
        apiRequest.query[std::string(name)] = std::string(value);
    }
    apiRequest.authorization = header.get_field_or("Authorization", "");
    apiRequest.changeId = header.get_field_or("Banyanledge-Change-Id", "");
    apiRequest.body = request.body();
    return apiRequest;
}

void respond(Api &api, const ApiRequest &apiRequest, const restinio::request_handle_t &request,
             RequestCounter &activeRequests)
{
    const ApiResponse response = api.handle(apiRequest);
    auto builder = request->create_response(
        restinio::http_status_line_t{restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)},
                                     response.status < 400 ? "OK" : "Refused"});
    builder.append_header("Content-Type", "application/json");
    builder.append_header("Cache-Control", "no-store");
    for (const auto &[name, value] : response.headers) {
        builder.append_header(name, value);
    }
    builder.set_body(response.body + "\n");
    builder.done([&activeRequests](const auto &) { activeRequests.end(); });
}

} // namespace

class OperatorServer::Private
{
public:
    RequestCounter activeRequests;
    WorkerPool pool{workerThreads};
    const std::shared_ptr<ClientConnections> connections = std::make_shared<ClientConnections>(pool);
    std::unique_ptr<HttpServer> server;
    bool stopped = false;
};

OperatorServer::OperatorServer(std::unique_ptr<Private> priv)
    : d(std::move(priv))
{
}

OperatorServer::~OperatorServer()
{
    stop(Clock::now());
}

void OperatorServer::stop(Time deadline)
{
    if (std::exchange(d->stopped, true)) {
        return;
    }
    d->activeRequests.waitUntilIdle(deadline);
    d->pool.join();
    d->server->stop();
    d->server->wait();
}

std::unique_ptr<OperatorServer> OperatorServer::start(const std::string &address, Api &api)
{
    const auto colon = address.rfind(':');
    auto priv = std::make_unique<Private>();
    const auto handler = [&api, d = priv.get()](const restinio::request_handle_t &request) {
        d->activeRequests.begin();
        const auto connection = d->connections->connection(request->connection_id());
        ApiRequest apiRequest = toApiRequest(*request);
        apiRequest.isConnected = [connection] { return connection->open.load(); };
        asio::post(connection->requests, [&api, d, request, apiRequest = std::move(apiRequest)] {
            respond(api, apiRequest, request, d->activeRequests);
        });
        return restinio::request_accepted();
    };
    try {
        priv->server = restinio::run_async<ServerTraits>(
            restinio::own_io_context(),
            restinio::server_settings_t<ServerTraits>{}
                .address(address.substr(0, colon))
                .port(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))))
                .handle_request_timeout(std::chrono::seconds(30))
                .max_pipelined_requests(maxPipelinedRequests)
                .connection_state_listener(priv->connections)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}.max_body_size(maxReadBodyBytes))
                .request_handler(handler),
            1);
    } catch (const std::exception &error) {
        fail(proto::ERROR_IO,
             "cannot serve the operators' API on " + address + ": " + error.what()
                 + "; free the address or change [control] operators_listen");
        return nullptr;
    }
    return std::unique_ptr<OperatorServer>(new OperatorServer(std::move(priv)));
}

} // namespace banyanledge
