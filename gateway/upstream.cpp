#include "gateway/upstream.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <charconv>
#include <deque>
#include <map>

#include "base/metrics.h"
#include "net/address.h"

namespace banyanledge
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t readBufferBytes = 16384;

// Time after which a server that acknowledges no bytes counts as lost; several retransmissions fit.
constexpr milliseconds ackTimeout{900};

// Kept connections are closed this long before the server would close them, so that no request meets the close.
constexpr milliseconds idleCloseMargin{1500};

// Longest idle time of a kept connection when the server names none.
constexpr milliseconds defaultIdleTimeout{7000};

// Connections kept for each server.
constexpr std::size_t maxIdleConnections = 8;

// Idle time that an answer grants its connection.
Duration keepAliveTimeout(const HttpHead &head)
{
    const std::string *value = findHeader(head.headers, "Keep-Alive");
    if (value == nullptr) {
        return defaultIdleTimeout;
    }
    const auto found = value->find("timeout=");
    unsigned seconds = 0;
    if (found != std::string::npos) {
        std::from_chars(value->data() + found + 8, value->data() + value->size(), seconds);
    }
    return std::min<Duration>(defaultIdleTimeout,
                              std::max<Duration>(std::chrono::seconds(seconds) - idleCloseMargin, Duration(0)));
}

} // namespace

class UpstreamConnection;

class Upstream::Private
{
public:
    Private(asio::io_context &given, Options options)
        : loop(given)
        , options(std::move(options))
    {
    }

    std::shared_ptr<UpstreamConnection> takeIdle(const std::string &server, Duration maxIdleTime);

    asio::io_context &loop;
    const Options options;
    std::map<std::string, std::deque<std::shared_ptr<UpstreamConnection>>> idle; // newest last
};

class UpstreamConnection : public UpstreamAttempt, public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(std::shared_ptr<Upstream::Private> pool, std::string server)
        : m_pool(std::move(pool))
        , m_server(std::move(server))
        , m_socket(m_pool->loop)
        , m_timer(m_pool->loop)
    {
    }

    // Sends on a new connection.
    void connect(UpstreamRequest request, AttemptHandlers handlers)
    {
        begin(std::move(request), std::move(handlers));
        m_timer.expires_after(m_pool->options.connectTimeout);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && !self->m_sent) {
                self->end(AttemptResult::NotSent, "connect timed out");
            }
        });
        countMetric("banyanledge_upstream_connections_total");
        m_socket.async_connect(m_request.address, [self = shared_from_this()](const asio::error_code &error) {
            if (self->m_closed) {
                return;
            }
            if (error) {
                self->end(AttemptResult::NotSent, "connect: " + error.message());
                return;
            }
            self->m_timer.cancel();
            setSocketOptions(self->m_socket, ackTimeout);
            self->write();
            self->read();
        });
    }

    // Sends on this kept connection, whose read is already under way.
    void reuse(UpstreamRequest request, AttemptHandlers handlers)
    {
        m_timer.cancel();
        m_reused = true;
        begin(std::move(request), std::move(handlers));
        write();
        read();
    }

    void cancel() override
    {
        m_handlers = {};
        close();
    }

    void pause(bool paused) override
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
        return m_sent;
    }

    bool usable(Duration maxIdleTime) const
    {
        const Time now = Clock::now();
        return !m_closed && now < m_idleUntil && now - m_idleSince <= maxIdleTime;
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        asio::error_code ignored; // the connection ends in any case
        m_socket.close(ignored);
        m_timer.cancel();
        m_inUse = false;
    }

private:
    void begin(UpstreamRequest request, AttemptHandlers handlers)
    {
        m_request = std::move(request);
        m_handlers = std::move(handlers);
        m_parser.reset();
        if (m_request.isHead) {
            m_parser.expectNoBody();
        }
        m_inUse = true;
        m_sent = false;
        m_written = false;
        m_paused = false;
        m_headDelivered = false;
        m_skipping = false;
    }

    void write()
    {
        m_sent = true;
        asio::async_write(m_socket, asio::buffer(m_request.bytes),
                          [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                              if (self->m_closed) {
                                  return;
                              }
                              if (error) {
                                  self->end(AttemptResult::NoResponse, "write: " + error.message());
                                  return;
                              }
                              self->m_written = true;
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
            close(); // an idle connection that ends, or bytes that no request asked for
            return;
        }
        if (error) {
            if (error == asio::error::eof) {
                m_parser.finish();
            }
            if (m_parser.complete()) {
                onParsed(true);
            } else {
                end(AttemptResult::NoResponse,
                    m_headDelivered ? "answer cut: " + error.message() : "read: " + error.message());
            }
            return;
        }
        std::string_view bytes(m_readBuffer.data(), size);
        while (!bytes.empty() && m_inUse && !m_closed) {
            bytes.remove_prefix(m_parser.feed(bytes));
            if (m_parser.failed()) {
                end(AttemptResult::NoResponse, "not HTTP: " + m_parser.failure());
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

    // Passes on what was parsed; false when the attempt has ended. `unclean`: the connection can't be used again.
    bool onParsed(bool notReusable)
    {
        if (m_parser.headDone() && !m_headDelivered && !m_skipping) {
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
            const bool last = !m_parser.head().keepAlive && m_parser.head().status / 100 != 1;
            m_skipping = false;
            m_parser.reset();
            if (last) {
                end(AttemptResult::NoResponse, "only an answer to another request came");
                return false;
            }
            return true;
        }
        finish(notReusable);
        return false;
    }

    void finish(bool notReusable)
    {
        const Duration idle = keepAliveTimeout(m_parser.head());
        const bool keep = !notReusable && m_written && m_parser.head().keepAlive && idle > Duration(0);
        const auto handlers = std::exchange(m_handlers, {});
        m_inUse = false;
        if (keep) {
            returnToPool(idle);
        } else {
            close();
        }
        handlers.end(AttemptResult::Completed, {});
    }

    void returnToPool(Duration idle)
    {
        m_idleSince = Clock::now();
        m_idleUntil = m_idleSince + idle;
        m_request.bytes.clear();
        auto &kept = m_pool->idle[m_server];
        kept.push_back(shared_from_this());
        if (kept.size() > maxIdleConnections) {
            kept.front()->close();
            kept.pop_front();
        }
        m_timer.expires_after(idle);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && !self->m_inUse) {
                self->close();
                std::erase(self->m_pool->idle[self->m_server], self);
            }
        });
    }

    void end(AttemptResult result, const std::string &reason)
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
    asio::steady_timer m_timer;
    UpstreamRequest m_request;
    AttemptHandlers m_handlers;
    HttpParser m_parser{HttpParser::Kind::Response};
    std::array<char, readBufferBytes> m_readBuffer{};
    Time m_idleSince{};
    Time m_idleUntil{};
    bool m_inUse = false;
    bool m_reused = false;
    bool m_sent = false;
    bool m_written = false;
    bool m_reading = false;
    bool m_paused = false;
    bool m_headDelivered = false;
    bool m_skipping = false; // the present answer belongs to an earlier request, or is an interim one
    bool m_closed = false;
};

std::shared_ptr<UpstreamConnection> Upstream::Private::takeIdle(const std::string &server, Duration maxIdleTime)
{
    const auto found = idle.find(server);
    while (found != idle.end() && !found->second.empty()) {
        auto connection = found->second.back();
        if (connection->usable(maxIdleTime)) {
            found->second.pop_back();
            return connection;
        }
        if (connection->usable(Duration::max())) {
            return nullptr; // good for requests that may run again
        }
        found->second.pop_back();
        connection->close();
    }
    return nullptr;
}

Upstream::Upstream(asio::io_context &loop, Options options)
    : d(std::make_shared<Private>(loop, std::move(options)))
{
}

Upstream::~Upstream()
{
    for (auto &[server, connections] : d->idle) {
        for (const auto &connection : connections) {
            connection->close();
        }
    }
    d->idle.clear();
}

std::shared_ptr<UpstreamAttempt> Upstream::send(UpstreamRequest request, AttemptHandlers handlers)
{
    if (const auto kept = d->takeIdle(request.serverId, request.maxIdleTime)) {
        kept->reuse(std::move(request), std::move(handlers));
        return kept;
    }
    auto connection = std::make_shared<UpstreamConnection>(d, request.serverId);
    connection->connect(std::move(request), std::move(handlers));
    return connection;
}

void Upstream::closeIdleConnections(const std::string &server)
{
    const auto found = d->idle.find(server);
    if (found == d->idle.end()) {
        return;
    }
    for (const auto &connection : found->second) {
        connection->close();
    }
    d->idle.erase(found);
}

} // namespace banyanledge
