#include "tests/relay.h"

namespace banyanledge::standin
{

namespace
{

// Time until the oldest bytes that a link has held back are acknowledged.
constexpr std::chrono::milliseconds resendRoundTrip{25};

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

void Relay::hold()
{
    m_held = true;
}

void Relay::release()
{
    m_held = false;
    for (const SessionPtr &session : std::exchange(m_heldConnects, {})) {
        connect(session);
    }
    const auto sessions = m_sessions; // a session that has ended is removed when its bytes are written
    for (const SessionPtr &session : sessions) {
        for (Direction *direction : {&session->toTarget, &session->toClient}) {
            delayAllButOldest(*direction);
            write(session, *direction);
        }
    }
}

// TCP sends the oldest segment again alone, and the others when that one is acknowledged.
void Relay::delayAllButOldest(Direction &direction)
{
    const auto acknowledged = std::chrono::steady_clock::now() + resendRoundTrip;
    for (std::size_t i = 1; i < direction.chunks.size(); ++i) {
        direction.chunks[i].due = std::max(direction.chunks[i].due, acknowledged);
    }
}

void Relay::close(const SessionPtr &session)
{
    session->close();
    m_sessions.erase(session);
    m_heldConnects.erase(session);
}

// While bytes are held, a sender that resets its connection takes them back; one that closes it does not.
void Relay::onEnd(const SessionPtr &session, Direction &direction, const asio::error_code &error)
{
    if (error != asio::error::eof || !m_held) {
        close(session);
        return;
    }
    direction.ended = true;
    write(session, direction);
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
            if (!cancelled && m_held) {
                m_heldConnects.insert(session);
            } else if (!cancelled) {
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
                                           onEnd(session, direction, error);
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
    if (direction.writing || m_held) {
        return;
    }
    if (direction.chunks.empty()) {
        if (direction.ended) {
            close(session);
        }
        return;
    }
    direction.writing = true;
    direction.timer.expires_at(direction.chunks.front().due);
    direction.timer.async_wait([this, session, &direction](const asio::error_code &cancelled) {
        if (cancelled) {
            return;
        }
        if (m_held) {
            direction.writing = false;
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

RelayThread::RelayThread(const std::string &target)
    : m_relay(m_loop, "127.0.0.1:0", target)
    , m_thread([this] { m_loop.run(); })
{
}

RelayThread::~RelayThread()
{
    m_loop.stop();
    m_thread.join();
}

std::string RelayThread::address() const
{
    return m_relay.address();
}

void RelayThread::change(const std::function<void(Relay &)> &function)
{
    std::promise<void> done;
    asio::post(m_loop, [&] {
        function(m_relay);
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace banyanledge::standin
