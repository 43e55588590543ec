#include "tests/relay.h"

namespace banyanledge::standin
{

namespace
{

asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

Relay::Direction::Direction(asio::io_context &context, asio::ip::tcp::socket &from, asio::ip::tcp::socket &to)
    : from(from)
    , to(to)
    , timer(context)
{
}

Relay::Session::Session(asio::io_context &context)
    : client(context)
    , target(context)
    , connectTimer(context)
    , toTarget(context, client, target)
    , toClient(context, target, client)
{
}

void Relay::Session::close()
{
    asio::error_code ignored;
    client.close(ignored);
    target.close(ignored);
    connectTimer.cancel();
    toTarget.timer.cancel();
    toClient.timer.cancel();
}

Relay::Relay(asio::io_context &context, const std::string &listenAddress, const std::string &targetAddress,
             std::chrono::milliseconds oneWayDelay)
    : m_context(context)
    , m_acceptor(context, parseEndpoint(listenAddress))
    , m_target(parseEndpoint(targetAddress))
    , m_oneWayDelay(oneWayDelay)
{
    accept();
}

std::string Relay::address() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void Relay::partition()
{
    m_partitioned = true;
}

void Relay::limitBytesToClients(double bytesPerSecond)
{
    m_bytesPerSecondToClients = bytesPerSecond;
}

void Relay::silenceConnectionsSince(std::chrono::steady_clock::time_point time)
{
    for (const SessionPtr &session : m_sessions) {
        session->silent = session->silent || session->accepted >= time;
    }
}

void Relay::heal()
{
    m_partitioned = false;
    for (const SessionPtr &session : m_sessions) {
        session->close();
    }
    m_sessions.clear();
}

void Relay::close(const SessionPtr &session)
{
    session->close();
    m_sessions.erase(session);
}

void Relay::accept()
{
    const auto session = std::make_shared<Session>(m_context);
    m_acceptor.async_accept(session->client, [this, session](const asio::error_code &error) {
        if (error) {
            return;
        }
        session->accepted = std::chrono::steady_clock::now();
        m_sessions.insert(session);
        session->connectTimer.expires_after(2 * m_oneWayDelay);
        session->connectTimer.async_wait([this, session](const asio::error_code &cancelled) {
            if (!cancelled) {
                connect(session);
            }
        });
        accept();
    });
}

void Relay::connect(const SessionPtr &session)
{
    session->target.async_connect(m_target, [this, session](const asio::error_code &error) {
        if (error) {
            close(session);
            return;
        }
        session->client.set_option(asio::ip::tcp::no_delay(true));
        session->target.set_option(asio::ip::tcp::no_delay(true));
        read(session, session->toTarget);
        read(session, session->toClient);
    });
}

void Relay::read(const SessionPtr &session, Direction &direction)
{
    direction.from.async_read_some(asio::buffer(direction.buffer),
                                   [this, session, &direction](const asio::error_code &error, std::size_t size) {
                                       if (error) {
                                           close(session);
                                           return;
                                       }
                                       if (!m_partitioned && !session->silent) {
                                           direction.chunks.push_back({arrival(direction, *session, size),
                                                                       std::string(direction.buffer.data(), size)});
                                           write(session, direction);
                                       }
                                       read(session, direction);
                                   });
}

std::chrono::steady_clock::time_point Relay::arrival(const Direction &direction, const Session &session,
                                                     std::size_t size)
{
    const auto now = std::chrono::steady_clock::now();
    if (m_bytesPerSecondToClients <= 0 || &direction != &session.toClient) {
        return now + m_oneWayDelay;
    }
    const std::chrono::duration<double> transferTime(static_cast<double>(size) / m_bytesPerSecondToClients);
    m_linkFreeAt =
        std::max(m_linkFreeAt, now) + std::chrono::duration_cast<std::chrono::steady_clock::duration>(transferTime);
    return m_linkFreeAt + m_oneWayDelay;
}

void Relay::write(const SessionPtr &session, Direction &direction)
{
    if (direction.writing || direction.chunks.empty()) {
        return;
    }
    direction.writing = true;
    direction.timer.expires_at(direction.chunks.front().due);
    direction.timer.async_wait([this, session, &direction](const asio::error_code &cancelled) {
        if (cancelled) {
            return;
        }
        asio::async_write(direction.to, asio::buffer(direction.chunks.front().bytes),
                          [this, session, &direction](const asio::error_code &error, std::size_t) {
                              if (error) {
                                  close(session);
                                  return;
                              }
                              direction.writing = false;
                              direction.chunks.pop_front();
                              write(session, direction);
                          });
    });
}

} // namespace banyanledge::standin
