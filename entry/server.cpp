#include "entry/server.h"

#include <restinio/all.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "entry/socket.h"

namespace banyanledge
{

namespace
{

// Idle time after which a client's connection is closed, and maximum time to send a request.
constexpr std::chrono::seconds readTimeout{60};

// Maximum time for a client to receive one written part of a response.
constexpr std::chrono::seconds writeTimeout{60};

// RESTinio's limit for handling a request; longer than the maximum deadline, which the request path enforces.
constexpr std::chrono::seconds handleTimeout{660};

// Requests that a client may send on one connection before the first response. More than one, so that RESTinio keeps
// reading and notices when the client disconnects.
constexpr std::size_t pipelinedRequests = 4;

std::string reasonPhraseOf(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

// Requests in progress by connection, so that a closed connection cancels them and none is handled behind one whose
// response closes the connection.
class ActiveRequests
{
public:
    // False if the response to an earlier request closes the connection, so that this one can't be answered.
    bool mayHandle(restinio::connection_id_t connection);
    void add(restinio::connection_id_t connection, const std::shared_ptr<ResponseWriter::Private> &response);
    void remove(restinio::connection_id_t connection, restinio::request_id_t request);
    void closed(restinio::connection_id_t connection);

private:
    struct ActiveRequest
    {
        restinio::request_id_t request;
        std::weak_ptr<ResponseWriter::Private> response;
    };

    std::mutex m_mutex; // guards the members below
    std::unordered_map<restinio::connection_id_t, std::vector<ActiveRequest>> m_responses;
    std::unordered_set<restinio::connection_id_t> m_closing; // connections that the response to a request will close
};

} // namespace

class ResponseWriter::Private : public std::enable_shared_from_this<ResponseWriter::Private>
{
public:
    ~Private()
    {
        activeRequests->remove(connection, request);
        if (!ended) {
            send({}, true, true, {}); // a response that was never finished closes its connection
        }
    }

    // Queues bytes on the connection; `written` is used for all but the last ones. RESTinio keeps the order of
    // pipelined responses.
    void send(std::string data, bool last, bool close, std::function<void(bool)> written)
    {
        restinio::writable_items_container_t items;
        if (!data.empty()) {
            items.emplace_back(std::move(data));
        }
        restinio::write_group_t group(std::move(items));
        if (last) {
            group.after_write_notificator([token = std::move(heldUntilWritten)](const asio::error_code &) {});
        } else if (written) {
            group.after_write_notificator(
                [written = std::move(written)](const asio::error_code &error) { written(!error); });
        }
        const restinio::response_output_flags_t flags(
            last ? restinio::response_parts_attr_t::final_parts : restinio::response_parts_attr_t::not_final_parts,
            close ? restinio::response_connection_attr_t::connection_close
                  : restinio::response_connection_attr_t::connection_keepalive);
        handle->write_response_parts(request, flags, std::move(group));
    }

    void end()
    {
        ended = true;
        activeRequests->remove(connection, request);
        const std::lock_guard lock(mutex);
        disconnected = nullptr;
    }

    void onConnectionClosed()
    {
        std::function<void()> callback;
        {
            const std::lock_guard lock(mutex);
            closed = true;
            callback = std::exchange(disconnected, nullptr);
        }
        if (callback) {
            callback();
        }
    }

    std::string encodedChunk(std::string data) const
    {
        if (!chunked || data.empty()) {
            return data;
        }
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
        return size.data() + data + "\r\n";
    }

    restinio::impl::connection_handle_t handle;
    restinio::request_id_t request = 0;
    restinio::connection_id_t connection = 0;
    std::shared_ptr<ActiveRequests> activeRequests;
    bool close = false;
    bool headRequest = false;
    std::string head; // not sent yet
    bool chunked = false;
    std::atomic<bool> ended = false;
    std::shared_ptr<void> heldUntilWritten;

    std::mutex mutex; // guards the members below
    bool closed = false;
    std::function<void()> disconnected;
};

namespace
{

bool ActiveRequests::mayHandle(restinio::connection_id_t connection)
{
    const std::lock_guard lock(m_mutex);
    return !m_closing.contains(connection);
}

void ActiveRequests::add(restinio::connection_id_t connection, const std::shared_ptr<ResponseWriter::Private> &response)
{
    const std::lock_guard lock(m_mutex);
    m_responses[connection].push_back({response->request, response});
    if (response->close) {
        m_closing.insert(connection);
    }
}

void ActiveRequests::remove(restinio::connection_id_t connection, restinio::request_id_t request)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_responses.find(connection);
    if (found == m_responses.end()) {
        return;
    }
    std::erase_if(found->second, [&](const ActiveRequest &entry) { return entry.request == request; });
    if (found->second.empty()) {
        m_responses.erase(found);
    }
}

void ActiveRequests::closed(restinio::connection_id_t connection)
{
    std::vector<ActiveRequest> entries;
    {
        const std::lock_guard lock(m_mutex);
        m_closing.erase(connection);
        if (const auto found = m_responses.find(connection); found != m_responses.end()) {
            entries = std::move(found->second);
            m_responses.erase(found);
        }
    }
    for (const auto &entry : entries) {
        if (const auto response = entry.response.lock()) {
            response->onConnectionClosed();
        }
    }
}

} // namespace

ResponseWriter::ResponseWriter(std::shared_ptr<Private> priv)
    : d(std::move(priv))
{
}

void ResponseWriter::respond(int status, const Headers &headers, const std::string &body)
{
    start(status, headers, body.size(), false);
    finish(d->headRequest ? std::string() : body);
}

void ResponseWriter::start(int status, const Headers &headers, std::optional<std::uint64_t> length, bool bodyless)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhraseOf(status) + "\r\n";
    for (const auto &header : headers) {
        head += header.name + ": " + header.value + "\r\n";
    }
    d->chunked = !length && !bodyless;
    if (length && status != 204) {
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    } else if (d->chunked) {
        head += "Transfer-Encoding: chunked\r\n";
    }
    head += d->close ? "Connection: close\r\n\r\n" : "\r\n";
    d->head = std::move(head);
}

void ResponseWriter::write(std::string data, std::function<void(bool)> written)
{
    d->send(std::exchange(d->head, {}) + d->encodedChunk(std::move(data)), false, d->close, std::move(written));
}

void ResponseWriter::finish(std::string data)
{
    d->end();
    d->send(std::exchange(d->head, {}) + d->encodedChunk(std::move(data)) + (d->chunked ? "0\r\n\r\n" : ""), true,
            d->close, {});
}

void ResponseWriter::abort()
{
    d->end();
    d->send({}, true, true, {});
}

void ResponseWriter::onDisconnect(std::function<void()> disconnected)
{
    {
        const std::lock_guard lock(d->mutex);
        if (!d->closed) {
            d->disconnected = std::move(disconnected);
            return;
        }
    }
    disconnected();
}

void ResponseWriter::holdUntilWritten(std::shared_ptr<void> token)
{
    d->heldUntilWritten = std::move(token);
}

namespace
{

struct StateListener
{
    std::shared_ptr<ActiveRequests> activeRequests;

    void state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT RESTinio's name
    {
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            activeRequests->closed(notice.connection_id());
        }
    }
};

struct Traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                                   restinio::default_request_handler_t, restinio::default_strand_t, ValidatingSocket>
{
    using connection_state_listener_t = StateListener; // NOLINT(readability-identifier-naming) RESTinio's name
};

using Server = restinio::http_server_t<Traits>;

Request requestFrom(restinio::request_t &received)
{
    Request request;
    request.method = received.header().method().c_str();
    request.target = received.header().request_target();
    received.header().for_each_field([&](const auto &field) {
        request.headers.push_back({field.name(), field.value()});
    });
    request.body = received.body();
    if (const auto address = received.remote_endpoint().address(); address.is_v4()) {
        request.clientAddress = address.to_v4().to_uint();
    }
    return request;
}

} // namespace

class EntryServer::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
    {
        asio::make_service<FramingLimits>(*context, options.maxBodyBytes);
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &received)
    {
        // The connection ends with the response to the earlier request; the client sends this one again.
        if (!activeRequests->mayHandle(received->connection_id())) {
            countMetric("banyanledge_unhandled_pipelined_requests_total");
            logInfo("a pipelined request is not run; the response to the request before it closes the connection",
                    {{"connection", std::to_string(received->connection_id())},
                     {"request", std::to_string(received->request_id())}});
            return restinio::request_accepted();
        }
        auto response = std::make_shared<ResponseWriter::Private>();
        response->request = received->request_id();
        response->connection = received->connection_id();
        response->activeRequests = activeRequests;
        response->close = closeConnections || !received->header().should_keep_alive();
        Request request = requestFrom(*received);
        response->headRequest = request.method == "HEAD";
        response->handle = restinio::impl::access_req_connection(*received);
        activeRequests->add(response->connection, response);
        options.handle(std::move(request), ResponseWriter(response));
        return restinio::request_accepted();
    }

    void configure(restinio::server_settings_t<Traits> &settings)
    {
        const auto colon = options.address.rfind(':');
        std::string ip = options.address.substr(0, colon);
        if (ip.starts_with('[')) {
            ip = ip.substr(1, ip.size() - 2);
        }
        settings.address(asio::ip::make_address(ip))
            .port(static_cast<std::uint16_t>(std::stoul(options.address.substr(colon + 1))))
            .protocol(ip.find(':') == std::string::npos ? asio::ip::tcp::v4() : asio::ip::tcp::v6())
            .buffer_size(16384)
            .read_next_http_message_timelimit(readTimeout)
            .write_http_response_timelimit(writeTimeout)
            .handle_request_timeout(handleTimeout)
            .max_pipelined_requests(pipelinedRequests)
            .connection_state_listener(std::make_shared<StateListener>(StateListener{activeRequests}))
            .request_handler([this](const restinio::request_handle_t &received) { return handle(received); })
            .socket_options_setter([](auto &socket) { socket.set_option(asio::ip::tcp::no_delay(true)); })
            .acceptor_post_bind_hook(
                [this](asio::ip::tcp::acceptor &acceptor) { port = acceptor.local_endpoint().port(); });
    }

    Options options;
    std::shared_ptr<asio::io_context> context = std::make_shared<asio::io_context>();
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> workGuard;
    std::shared_ptr<ActiveRequests> activeRequests = std::make_shared<ActiveRequests>();
    std::unique_ptr<Server> server;
    std::vector<std::thread> threads;
    std::atomic<bool> closeConnections = false;
    std::atomic<std::uint16_t> port = 0;
};

EntryServer::EntryServer(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

EntryServer::~EntryServer()
{
    stop();
}

bool EntryServer::start()
{
    try {
        d->server = std::make_unique<Server>(restinio::external_io_context(*d->context),
                                             [this](auto &settings) { d->configure(settings); });
        d->server->open_sync();
    } catch (const std::exception &error) {
        d->server.reset();
        fail(proto::ERROR_IO,
             "cannot listen on " + d->options.address + ": " + error.what()
                 + "; choose a free address of this host in [entry] listen");
        return false;
    }
    d->workGuard.emplace(d->context->get_executor());
    for (unsigned i = 0; i < d->options.threads; ++i) {
        d->threads.emplace_back([this] { d->context->run(); });
    }
    return true;
}

void EntryServer::stop()
{
    if (!d->server) {
        return;
    }
    std::promise<void> closed;
    asio::post(*d->context, [&] {
        d->server->close_sync();
        closed.set_value();
    });
    closed.get_future().wait();
    d->context->stop();
    for (auto &thread : d->threads) {
        thread.join();
    }
    d->threads.clear();
    d->server.reset();
}

void EntryServer::closeAfterResponses()
{
    d->closeConnections = true;
}

std::uint16_t EntryServer::port() const
{
    return d->port;
}

std::shared_ptr<asio::io_context> EntryServer::context()
{
    return d->context;
}

} // namespace banyanledge
