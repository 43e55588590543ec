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

Relay::Session::Session(asio::io_context &context)
    : client(context)
    , target(context)
{
}

void Relay::Session::close()
{
    asio::error_code ignored;
    client.close(ignored);
    target.close(ignored);
}

Relay::Relay(asio::io_context &context, const std::string &listenAddress, const std::string &targetAddress)
    : m_context(context)
    , m_acceptor(context, parseEndpoint(listenAddress))
    , m_target(parseEndpoint(targetAddress))
{
    accept();
}

void Relay::partition()
{
    m_partitioned = true;
}

void Relay::heal()
{
    m_partitioned = false;
    for (const SessionPtr &session : m_sessions) {
        session->close();
    }
    m_sessions.clear();
}

void Relay::accept()
{
    const auto session = std::make_shared<Session>(m_context);
    m_acceptor.async_accept(session->client, [this, session](const asio::error_code &error) {
        if (error) {
            return;
        }
        m_sessions.insert(session);
        session->target.async_connect(m_target, [this, session](const asio::error_code &connectError) {
            if (connectError) {
                session->close();
                m_sessions.erase(session);
                return;
            }
            session->client.set_option(asio::ip::tcp::no_delay(true));
            session->target.set_option(asio::ip::tcp::no_delay(true));
            forward(session, session->client, session->target, session->toTarget);
            forward(session, session->target, session->client, session->toClient);
        });
        accept();
    });
}

void Relay::forward(const SessionPtr &session, asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, Buffer &buffer)
{
    from.async_read_some(
        asio::buffer(buffer), [=, this, &from, &to, &buffer](const asio::error_code &error, std::size_t size) {
            if (error) {
                session->close();
                m_sessions.erase(session);
                return;
            }
            if (m_partitioned) {
                forward(session, from, to, buffer);
                return;
            }
            asio::async_write(to, asio::buffer(buffer.data(), size),
                              [=, this, &from, &to, &buffer](const asio::error_code &writeError, std::size_t) {
                                  if (writeError) {
                                      session->close();
                                      m_sessions.erase(session);
                                  } else {
                                      forward(session, from, to, buffer);
                                  }
                              });
        });
}

} // namespace banyanledge::standin
