#include "net/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <asio/ip/tcp.hpp>

#include <set>

#include "base/error.h"
#include "base/log.h"
#include "base/timer.h"
#include "net/address.h"
#include "net/connection.h"

namespace banyanledge
{

namespace
{

using asio::ip::tcp;

// Time after which the connection of a client that acknowledges no bytes fails.
constexpr milliseconds clientAckTimeout{10000};

// Delay before accepting again after an error such as a lack of file descriptors.
constexpr milliseconds acceptRetryDelay{50};

} // namespace

class HttpServer::Private : public ConnectionOwner, public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &context, Options serverOptions)
        : loop(context)
        , acceptor(context)
        , acceptRetryTimer(context.get_executor())
        , m_options(std::move(serverOptions))
    {
    }

    const Options &options() const override
    {
        return m_options;
    }

    bool closing() const override
    {
        return closeAfterResponses;
    }

    void removeConnection(const std::shared_ptr<Connection> &connection) override
    {
        connections.erase(connection);
    }

    bool open();
    void accept();

    asio::io_context &loop;
    tcp::acceptor acceptor;
    Timer acceptRetryTimer;
    std::set<std::shared_ptr<Connection>> connections;
    bool closeAfterResponses = false;
    bool stopped = false;

private:
    const Options m_options;
};

bool HttpServer::Private::open()
{
    const auto endpoint = parseEndpoint(m_options.address);
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
             "cannot listen on " + m_options.address + ": " + error.message() + "; free the address or choose another");
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
            self->acceptRetryTimer.start(acceptRetryDelay, [self] { self->accept(); });
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
        connection->close(CloseReason::ServerStopped);
    }
}

void HttpServer::closeAfterResponses()
{
    d->closeAfterResponses = true;
}

void HttpServer::closeIdleConnections()
{
    const auto connections = d->connections;
    for (const auto &connection : connections) {
        if (connection->idle()) {
            connection->close(CloseReason::ServerStopped);
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
