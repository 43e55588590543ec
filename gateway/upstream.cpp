#include "gateway/upstream.h"

#include <sys/socket.h>

#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <deque>
#include <map>

#include "base/metrics.h"
#include "base/timer.h"
#include "net/address.h"

namespace banyanledge
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t readBufferBytes = 16384;

// A connection is dropped when sent bytes stay unacknowledged for this long; several retransmissions fit into it.
constexpr milliseconds ackTimeout{900};

// Idle connections are closed this long before the server's keep-alive timeout, so that no request is sent on a
// connection that the server is closing.
constexpr milliseconds idleCloseMargin{1500};

// Maximum idle time of a connection, also when the server states no keep-alive timeout.
constexpr milliseconds maxIdleTimeout{7000};

// Bytes that a server may send before the head of its response: interim responses, responses to other requests and the
// head itself. A faulty server may send them without end.
constexpr std::size_t maxBytesBeforeHead = 1024UL * 1024;

// Largest head of a response. Each response may have a head of minHeadBytes, also when the budget of the host is spent.
constexpr std::size_t maxHeadBytes = 32UL * 1024;
constexpr std::size_t minHeadBytes = 4UL * 1024;

// Maximum number of headers of a response. A header takes about 100 bytes of memory, however short its line.
constexpr std::size_t maxHeaders = 128;

// Maximum number of idle connections per server.
constexpr std::size_t maxIdleConnections = 8;

// How long a connection may stay idle after a response: its Keep-Alive timeout minus idleCloseMargin, at most
// maxIdleTimeout.
Duration keepAliveTimeout(const HttpHead &head)
{
    const std::string *value = findHeader(head.headers, "Keep-Alive");
    if (value == nullptr) {
        return maxIdleTimeout;
    }
    const auto found = value->find("timeout=");
    unsigned seconds = 0;
    if (found != std::string::npos) {
        std::from_chars(value->data() + found + 8, value->data() + value->size(), seconds);
    }
    return std::min<Duration>(maxIdleTimeout,
                              std::max<Duration>(std::chrono::seconds(seconds) - idleCloseMargin, Duration(0)));
}

// Result of an attempt whose connection failed after the request was sent.
AttemptResult resultOf(const asio::error_code &error)
{
    const bool endedByServer =
        error == asio::error::eof || error == asio::error::connection_reset || error == asio::error::broken_pipe;
    return endedByServer ? AttemptResult::ConnectionEnded : AttemptResult::NoResponse;
}

} // namespace

class UpstreamConnection;

class Upstream::Private : public std::enable_shared_from_this<Upstream::Private>
{
public:
    Private(asio::io_context &eventLoop, Options options)
        : loop(eventLoop)
        , options(std::move(options))
    {
    }

    std::shared_ptr<UpstreamConnection> takeIdle(const std::string &server, Duration maxIdleTime);
    void reportIdleLost(const std::string &server);

    asio::io_context &loop;
    const Options options;
    bool stopped = false;
    std::map<std::string, std::deque<std::shared_ptr<UpstreamConnection>>> idleConnections; // by server id, newest last
};

class UpstreamConnection : public UpstreamAttempt, public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(std::shared_ptr<Upstream::Private> pool, std::string server)
        : m_pool(std::move(pool))
        , m_server(std::move(server))
        , m_socket(m_pool->loop)
        , m_timer(m_pool->loop.get_executor())
        , m_heldBytes(m_pool->options.responseBudget)
    {
    }

    // Opens the connection and sends the request.
    void connect(UpstreamRequest request, AttemptHandlers handlers)
    {
        prepare(std::move(request), std::move(handlers));
        m_timer.start(m_pool->options.connectTimeout, [self = shared_from_this()] {
            self->fail(AttemptResult::NotSent, "no connection within the connect timeout");
        });
        countMetric("banyanledge_upstream_connections_total");
        m_socket.async_connect(m_request.address, [self = shared_from_this()](const asio::error_code &error) {
            if (self->m_closed) {
                return;
            }
            if (error) {
                const bool refused = error == asio::error::connection_refused;
                self->fail(refused ? AttemptResult::Refused : AttemptResult::NotSent, "connect: " + error.message());
                return;
            }
            self->m_timer.stop();
            setSocketOptions(self->m_socket, ackTimeout);
            self->write();
            self->read();
        });
    }

    // Sends the request on this idle connection, on which a read is already pending.
    void reuse(UpstreamRequest request, AttemptHandlers handlers)
    {
        m_timer.stop();
        m_reused = true;
        prepare(std::move(request), std::move(handlers));
        write();
        read();
    }

    void cancel() override
    {
        // Posted, because a handler that is running may have cancelled the attempt.
        asio::post(m_pool->loop, [handlers = std::exchange(m_handlers, {})] {});
        close();
    }

    void setPaused(bool paused) override
    {
        m_paused = paused;
        if (!paused) {
            read();
        }
    }

    bool reused() const override
    {
        return m_reused;
    }

    bool sent() const override
    {
        return m_writeStarted;
    }

    bool usable(Duration maxIdleTime) const
    {
        const Time now = Clock::now();
        return !m_closed && now < m_idleUntil && now - m_idleSince <= maxIdleTime;
    }

    bool usedForCheck() const
    {
        return m_request.isCheck;
    }

    // Whether the server has neither closed the idle connection nor sent bytes on it. Asks the kernel, because the
    // loop may not have handled the pending read yet.
    bool silent()
    {
        char byte = 0;
        const ssize_t size = ::recv(m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        asio::error_code ignored; // the connection is dropped in any case
        m_socket.close(ignored);
        m_timer.stop();
        m_inUse = false;
    }

private:
    void prepare(UpstreamRequest request, AttemptHandlers handlers)
    {
        m_request = std::move(request);
        m_handlers = std::move(handlers);
        m_parser.reset();
        if (m_request.isHeadRequest) {
            m_parser.expectNoBody();
        }
        m_inUse = true;
        m_writeStarted = false;
        m_requestWritten = false;
        m_paused = false;
        m_headDelivered = false;
        m_skipping = false;
        m_bytesBeforeHead = 0;
    }

    void write()
    {
        m_writeStarted = true;
        asio::async_write(m_socket, asio::buffer(m_request.bytes),
                          [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                              if (self->m_closed) {
                                  return;
                              }
                              if (error) {
                                  self->fail(resultOf(error), "write: " + error.message());
                                  return;
                              }
                              self->m_requestWritten = true;
                          });
    }

    void read()
    {
        if (m_reading || m_closed || m_paused) {
            return;
        }
        m_reading = true;
        m_socket.async_read_some(asio::buffer(m_readBuffer),
                                 [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                                     self->m_reading = false;
                                     self->onRead(error, size);
                                 });
    }

    void onRead(const asio::error_code &error, std::size_t size)
    {
        if (m_closed) {
            return;
        }
        if (!m_inUse) {
            close(); // the server closed the idle connection, or sent bytes without a request
            if (error && !m_request.isCheck) {
                m_pool->reportIdleLost(m_server);
            }
            return;
        }
        if (error) {
            if (error == asio::error::eof) {
                m_parser.finish();
            }
            if (m_parser.complete()) {
                onParsed(true);
            } else {
                fail(resultOf(error),
                     m_headDelivered ? "response incomplete: " + error.message() : "read: " + error.message());
            }
            return;
        }
        std::string_view bytes(m_readBuffer.data(), size);
        while (!bytes.empty() && m_inUse && !m_closed) {
            const std::size_t used = m_parser.feed(bytes);
            bytes.remove_prefix(used);
            if (m_parser.failed()) {
                fail(AttemptResult::NoResponse, "invalid HTTP response: " + m_parser.errorMessage());
                return;
            }
            m_heldBytes.set(m_parser.headMemoryBytes());
            if (!m_headDelivered && headTooLarge()) {
                fail(AttemptResult::NoResponse, "the head of the response is too large");
                return;
            }
            m_bytesBeforeHead += m_headDelivered ? 0 : used;
            if (m_bytesBeforeHead > maxBytesBeforeHead) {
                fail(AttemptResult::NoResponse, "too many bytes before the head of the response");
                return;
            }
            if (!onParsed(!bytes.empty())) {
                break;
            }
        }
        if (!m_closed) {
            read();
        }
    }

    bool headTooLarge() const
    {
        const auto &budget = m_pool->options.responseBudget;
        const std::size_t allowance = budget ? budget->allowance(maxHeadBytes) : maxHeadBytes;
        return m_parser.head().headers.size() > maxHeaders || m_parser.headBytes() > std::max(minHeadBytes, allowance);
    }

    // Passes parsed parts of the response to the handlers; false when the attempt has ended. `notReusable`: the
    // connection ended or holds bytes after the response.
    bool onParsed(bool notReusable)
    {
        if (m_parser.headComplete() && !m_headDelivered && !m_skipping) {
            const HttpHead &head = m_parser.head();
            const std::string *id = findHeader(head.headers, m_pool->options.requestIdHeader);
            m_skipping = head.status / 100 == 1 || (id != nullptr && *id != m_request.requestId);
            if (m_skipping) {
                countMetric("banyanledge_upstream_answers_skipped_total");
            } else {
                m_headDelivered = true;
                m_handlers.head(head);
            }
        }
        if (!m_inUse || m_closed) {
            return false;
        }
        std::string body = m_parser.takeBody();
        if (!body.empty() && !m_skipping) {
            m_handlers.body(std::move(body));
        }
        if (!m_inUse || m_closed) {
            return false;
        }
        if (!m_parser.complete()) {
            return true;
        }
        if (m_skipping) {
            const bool isLast = !m_parser.head().keepAlive && m_parser.head().status / 100 != 1;
            m_skipping = false;
            m_parser.reset();
            if (isLast) {
                fail(AttemptResult::NoResponse, "only a response to another request was received");
                return false;
            }
            return true;
        }
        finish(notReusable);
        return false;
    }

    void finish(bool notReusable)
    {
        const Duration idleTimeout = keepAliveTimeout(m_parser.head());
        const bool reusable =
            !notReusable && m_requestWritten && m_parser.head().keepAlive && idleTimeout > Duration(0);
        const auto handlers = std::exchange(m_handlers, {});
        m_inUse = false;
        m_parser.reset(); // an idle connection keeps no head
        m_heldBytes.set(0);
        if (reusable) {
            returnToPool(idleTimeout);
        } else {
            close();
        }
        handlers.end(AttemptResult::Completed, {});
    }

    void returnToPool(Duration idleTimeout)
    {
        m_idleSince = Clock::now();
        m_idleUntil = m_idleSince + idleTimeout;
        m_paused = false; // onRead reads on after the response; that notices a close by the server
        m_request.bytes.clear();
        auto &idleConnections = m_pool->idleConnections[m_server];
        idleConnections.push_back(shared_from_this());
        if (idleConnections.size() > maxIdleConnections) {
            idleConnections.front()->close();
            idleConnections.pop_front();
        }
        m_timer.start(idleTimeout, [self = shared_from_this()] {
            self->close();
            std::erase(self->m_pool->idleConnections[self->m_server], self);
        });
    }

    void fail(AttemptResult result, const std::string &reason)
    {
        const auto handlers = std::exchange(m_handlers, {});
        close();
        if (handlers.end) {
            handlers.end(result, reason);
        }
    }

    std::shared_ptr<Upstream::Private> m_pool;
    const std::string m_server;
    tcp::socket m_socket;
    Timer m_timer;
    UpstreamRequest m_request;
    AttemptHandlers m_handlers;
    HttpParser m_parser{HttpParser::Kind::Response};
    ByteBudget::Share m_heldBytes; // head of the response in m_parser
    std::array<char, readBufferBytes> m_readBuffer{};
    Time m_idleSince{};
    Time m_idleUntil{};
    bool m_inUse = false;
    bool m_reused = false;
    bool m_writeStarted = false;
    bool m_requestWritten = false;
    bool m_reading = false;
    bool m_paused = false;
    bool m_headDelivered = false;
    std::size_t m_bytesBeforeHead = 0; // of the current request's response
    bool m_skipping = false; // the current response is interim (1xx) or belongs to another request
    bool m_closed = false;
};

std::shared_ptr<UpstreamConnection> Upstream::Private::takeIdle(const std::string &server, Duration maxIdleTime)
{
    const auto found = idleConnections.find(server);
    while (found != idleConnections.end() && !found->second.empty()) {
        auto connection = found->second.back();
        const bool sound = connection->usable(Duration::max()) && connection->silent();
        if (sound && !connection->usable(maxIdleTime)) {
            return nullptr; // left for requests that tolerate a longer idle time
        }
        found->second.pop_back();
        if (sound) {
            return connection;
        }
        const bool lost = connection->usable(Duration::max()) && !connection->usedForCheck();
        connection->close();
        if (lost) {
            reportIdleLost(server);
        }
    }
    return nullptr;
}

// Posted, because the caller may be about to send a request to this server.
void Upstream::Private::reportIdleLost(const std::string &server)
{
    if (options.onIdleLost) {
        asio::post(loop, [weak = weak_from_this(), server] {
            const auto self = weak.lock();
            if (self && !self->stopped) {
                self->options.onIdleLost(server);
            }
        });
    }
}

Upstream::Upstream(asio::io_context &loop, Options options)
    : d(std::make_shared<Private>(loop, std::move(options)))
{
}

Upstream::~Upstream()
{
    d->stopped = true;
    for (auto &[server, connections] : d->idleConnections) {
        for (const auto &connection : connections) {
            connection->close();
        }
    }
    d->idleConnections.clear();
}

std::shared_ptr<UpstreamAttempt> Upstream::send(UpstreamRequest request, AttemptHandlers handlers)
{
    if (const auto idleConnection = d->takeIdle(request.serverId, request.maxIdleTime)) {
        idleConnection->reuse(std::move(request), std::move(handlers));
        return idleConnection;
    }
    auto connection = std::make_shared<UpstreamConnection>(d, request.serverId);
    connection->connect(std::move(request), std::move(handlers));
    return connection;
}

void Upstream::closeIdleConnections(const std::string &server)
{
    const auto found = d->idleConnections.find(server);
    if (found == d->idleConnections.end()) {
        return;
    }
    for (const auto &connection : found->second) {
        connection->close();
    }
    d->idleConnections.erase(found);
}

} // namespace banyanledge
