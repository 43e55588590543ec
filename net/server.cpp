#include "net/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <set>

#include "base/error.h"
#include "base/log.h"
#include "net/address.h"

namespace banyanledge
{

namespace
{

using asio::ip::tcp;

// Size of the read buffer of a connection.
constexpr std::size_t readBufferBytes = 16384;

// Bytes of pipelined requests that are buffered during a response; more stay in the socket.
constexpr std::size_t maxPipelinedBytes = 65536;

// Time for a client to receive the last response before the connection is closed.
constexpr milliseconds lingerTimeout{1000};

// Time after which the connection of a client that acknowledges no bytes fails.
constexpr milliseconds clientAckTimeout{10000};

// Delay before accepting again after an error such as a lack of file descriptors.
constexpr milliseconds acceptRetryDelay{50};

} // namespace

class Connection;

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &context, Options options)
        : loop(context)
        , acceptor(context)
        , acceptRetryTimer(context)
        , options(std::move(options))
    {
    }

    bool open();
    void accept();

    asio::io_context &loop;
    tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    const Options options;
    std::set<std::shared_ptr<Connection>> connections;
    bool closing = false; // responses carry Connection: close
    bool stopped = false;
};

class Connection : public HttpCall, public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<HttpServer::Private> server, tcp::socket socket)
        : m_server(std::move(server))
        , m_socket(std::move(socket))
        , m_timer(m_server->loop)
        , m_limits(m_server->options.limits())
    {
    }

    void start()
    {
        startIdleTimer();
        read();
    }

    bool idle() const
    {
        return m_state == State::Reading && m_input.empty() && !m_requestStarted;
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        asio::error_code ignored; // the connection is closed whether or not this fails
        m_socket.close(ignored);
        m_timer.cancel();
        m_server->connections.erase(shared_from_this());
        if (m_state == State::Responding) {
            m_state = State::Closing;
            if (const auto callback = std::exchange(m_disconnectCallback, {})) {
                callback();
            }
        }
        m_disconnectCallback = {};
        m_drainedCallback = {};
    }

    const HttpRequest &request() const override
    {
        return m_request;
    }

    void respond(int status, const HttpHeaders &headers, const std::string &body) override
    {
        begin(status, headers, body.size());
        write(body);
        end();
    }

    void begin(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length) override
    {
        if (m_state != State::Responding || m_responseStarted) {
            return;
        }
        m_responseStarted = true;
        m_closeAfterResponse = m_closeAfterResponse || !m_request.head.keepAlive || m_server->closing;
        std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
        for (const auto &[name, value] : headers) {
            appendHeader(head, name, value);
        }
        const bool bodyless = status / 100 == 1 || status == 204 || status == 304;
        m_noBody = bodyless || m_request.head.method == "HEAD";
        if (length && !bodyless) {
            head += "Content-Length: " + std::to_string(*length) + "\r\n";
        } else if (!length && !bodyless) {
            head += "Transfer-Encoding: chunked\r\n";
            m_chunked = true;
        }
        if (m_closeAfterResponse) {
            head += "Connection: close\r\n";
        }
        send(head + "\r\n");
    }

    void write(std::string bytes) override
    {
        if (m_state != State::Responding || !m_responseStarted || bytes.empty() || m_noBody) {
            return;
        }
        if (m_chunked) {
            char size[32];
            std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
            bytes = size + std::move(bytes) + "\r\n";
        }
        send(bytes);
    }

    void end() override
    {
        if (m_state != State::Responding || !m_responseStarted) {
            return;
        }
        if (m_chunked && !m_noBody) {
            send("0\r\n\r\n");
        }
        m_responseEnded = true;
        m_disconnectCallback = {};
        finishResponse();
    }

    void closeAfterResponse() override
    {
        m_closeAfterResponse = true;
    }

    std::size_t bufferedBytes() const override
    {
        return m_output.size() + m_writing.size();
    }

    void onDrained(std::function<void()> callback) override
    {
        m_drainedCallback = std::move(callback);
    }

    void abort() override
    {
        m_disconnectCallback = {};
        asio::error_code ignored; // the connection is closed whether or not this fails
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void onDisconnect(std::function<void()> callback) override
    {
        m_disconnectCallback = std::move(callback);
        if (m_closed && m_disconnectCallback) {
            std::exchange(m_disconnectCallback, {})();
        }
    }

private:
    enum class State { Reading, Responding, Closing };

    void read()
    {
        if (m_closed || m_reading || m_input.size() >= maxPipelinedBytes) {
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
        if (error) {
            close();
            return;
        }
        if (m_state != State::Closing) {
            m_input.append(m_readBuffer.data(), size);
        }
        if (m_state == State::Reading) {
            parse();
        }
        read();
    }

    void parse()
    {
        if (m_input.empty()) {
            return;
        }
        if (!m_requestStarted) {
            m_requestStarted = true;
            m_limits = m_server->options.limits();
            m_request = {};
            m_request.receiveStart = Clock::now();
            startHeaderTimer();
        }
        const std::size_t used = m_parser.feed(m_input);
        m_input.erase(0, used);
        if (m_parser.failed()) {
            reject(400, m_parser.errorMessage());
        } else if (m_parser.headBytes() > m_limits.maxHeaderBytes && (!m_parser.headComplete() || !m_headHandled)) {
            reject(431, "the request head is larger than the limit; send fewer or shorter headers");
        } else if (m_parser.headComplete()) {
            receiveBody();
        }
    }

    void receiveBody()
    {
        const HttpHead &head = m_parser.head();
        if (!m_headHandled) {
            m_headHandled = true;
            const std::string *expect = findHeader(head.headers, "Expect");
            if (expect != nullptr && headerNamesEqual(*expect, "100-continue")) {
                send("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        m_request.body += m_parser.takeBody();
        if (m_request.body.size() > m_limits.maxBodyBytes || head.contentLength.value_or(0) > m_limits.maxBodyBytes) {
            reject(413, "the request body is larger than the limit; send a smaller body");
            return;
        }
        if (m_parser.complete()) {
            m_request.head = head;
            m_request.receiveEnd = Clock::now();
            m_timer.cancel();
            m_state = State::Responding;
            m_server->options.handle(shared_from_this());
        }
    }

    // Responds to a request that can't be read and closes the connection, because the start of the next one is unknown.
    void reject(int status, const std::string &reason)
    {
        if (m_server->options.onRejected) {
            m_server->options.onRejected(status);
        }
        m_state = State::Responding;
        m_closeAfterResponse = true;
        respond(status, {{"Content-Type", "text/plain"}}, reason + "\n");
    }

    void send(const std::string &bytes)
    {
        m_output += bytes;
        if (m_writing.empty()) {
            flush();
        }
    }

    void flush()
    {
        if (m_closed || m_output.empty()) {
            return;
        }
        m_writing = std::exchange(m_output, {});
        asio::async_write(m_socket, asio::buffer(m_writing),
                          [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                              self->m_writing.clear();
                              self->onWritten(error);
                          });
    }

    void onWritten(const asio::error_code &error)
    {
        if (m_closed) {
            return;
        }
        if (error) {
            close();
            return;
        }
        flush();
        if (m_responseEnded) {
            finishResponse();
        } else if (const auto callback = std::exchange(m_drainedCallback, {})) {
            callback();
        }
    }

    // Continues with the next request once the whole response was written.
    void finishResponse()
    {
        if (!m_responseEnded || !m_output.empty() || !m_writing.empty() || m_closed) {
            return;
        }
        m_responseEnded = false;
        m_drainedCallback = {};
        if (m_closeAfterResponse) {
            linger();
            return;
        }
        m_state = State::Reading;
        m_requestStarted = false;
        m_headHandled = false;
        m_responseStarted = false;
        m_chunked = false;
        m_parser.reset();
        startIdleTimer();
        // Posted, so that a pipelined request is not handled inside the completion of the previous response.
        asio::post(m_server->loop, [self = shared_from_this()] {
            if (!self->m_closed && self->m_state == State::Reading) {
                self->parse();
                self->read();
            }
        });
    }

    // Shuts down sending and closes the connection after lingerTimeout. Closing at once with unread bytes would reset
    // the connection and could lose a response in transit.
    void linger()
    {
        m_state = State::Closing;
        m_input.clear();
        asio::error_code ignored; // the client may have closed already
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        startTimer(lingerTimeout, [this] { close(); });
        read();
    }

    void startIdleTimer()
    {
        startTimer(m_limits.idleTimeout, [this] { close(); });
    }

    void startHeaderTimer()
    {
        startTimer(m_limits.headerTimeout, [this] {
            if (m_state == State::Reading && !m_headHandled) {
                reject(408, "the request head did not arrive in time; send it at once");
            }
        });
    }

    void startTimer(Duration time, std::function<void()> expired)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([self = shared_from_this(), expired = std::move(expired)](const asio::error_code &error) {
            if (!error && !self->m_closed) {
                expired();
            }
        });
    }

    std::shared_ptr<HttpServer::Private> m_server;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    HttpLimits m_limits;
    HttpParser m_parser{HttpParser::Kind::Request};
    std::array<char, readBufferBytes> m_readBuffer{};
    std::string m_input; // bytes not parsed yet
    std::string m_output; // bytes not handed to the socket yet
    std::string m_writing; // bytes handed to the socket
    HttpRequest m_request;
    State m_state = State::Reading;
    bool m_requestStarted = false; // bytes of the current request have arrived
    bool m_headHandled = false; // the head is complete and 100 Continue was sent if expected
    bool m_responseStarted = false;
    bool m_responseEnded = false; // the whole response was passed to this connection
    bool m_chunked = false;
    bool m_noBody = false; // the response has no body
    bool m_closeAfterResponse = false;
    bool m_reading = false;
    bool m_closed = false;
    std::function<void()> m_disconnectCallback;
    std::function<void()> m_drainedCallback;
};

bool HttpServer::Private::open()
{
    const auto endpoint = parseEndpoint(options.address);
    if (!endpoint) {
        return false;
    }
    asio::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(*endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        fail(proto::ERROR_IO,
             "cannot listen on " + options.address + ": " + error.message() + "; free the address or choose another");
        return false;
    }
    return true;
}

void HttpServer::Private::accept()
{
    if (stopped) {
        return;
    }
    acceptor.async_accept([self = shared_from_this()](const asio::error_code &error, tcp::socket socket) {
        if (self->stopped) {
            return;
        }
        if (error) {
            logWarning("accepting a connection failed; retrying", {{"reason", error.message()}});
            self->acceptRetryTimer.expires_after(acceptRetryDelay);
            self->acceptRetryTimer.async_wait([self](const asio::error_code &) { self->accept(); });
            return;
        }
        setSocketOptions(socket, clientAckTimeout);
        auto connection = std::make_shared<Connection>(self, std::move(socket));
        self->connections.insert(connection);
        connection->start();
        self->accept();
    });
}

std::unique_ptr<HttpServer> HttpServer::start(asio::io_context &loop, Options options)
{
    auto priv = std::make_shared<Private>(loop, std::move(options));
    if (!priv->open()) {
        return nullptr;
    }
    priv->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(priv)));
}

HttpServer::HttpServer(std::shared_ptr<Private> priv)
    : d(std::move(priv))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
    const auto connections = d->connections;
    for (const auto &connection : connections) {
        connection->close();
    }
}

void HttpServer::closeAfterResponses()
{
    d->closing = true;
}

void HttpServer::closeIdleConnections()
{
    const auto connections = d->connections;
    for (const auto &connection : connections) {
        if (connection->idle()) {
            connection->close();
        }
    }
}

void HttpServer::stopAccepting()
{
    d->stopped = true;
    asio::error_code ignored; // nothing is accepted any more in any case
    d->acceptor.close(ignored);
}

std::size_t HttpServer::connections() const
{
    return d->connections.size();
}

} // namespace banyanledge
