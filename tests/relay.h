// TCP relay that simulates a network partition: connections stay open, but no bytes are forwarded.
#pragma once

#include <array>
#include <memory>
#include <set>
#include <string>

#include <asio.hpp>

namespace banyanledge::standin
{

// Not thread-safe: the context must run on one thread only.
class Relay
{
public:
    // Accepts connections on one address and forwards them to the other; both are IP:PORT.
    Relay(asio::io_context &context, const std::string &listenAddress, const std::string &targetAddress);

    // Drops all received bytes in both directions from now on. New connections are still accepted.
    void partition();

    // Forwards again. Closes all connections, because bytes may be missing on them; both ends have to reconnect.
    void heal();

private:
    // One relayed connection.
    struct Session
    {
        explicit Session(asio::io_context &context);
        void close();

        asio::ip::tcp::socket client;
        asio::ip::tcp::socket target;
        std::array<char, 16384> toTarget{};
        std::array<char, 16384> toClient{};
    };
    using SessionPtr = std::shared_ptr<Session>;
    using Buffer = std::array<char, 16384>;

    void accept();

    // Copies bytes from one socket to the other until either fails, then closes the session.
    void forward(const SessionPtr &session, asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, Buffer &buffer);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    std::set<SessionPtr> m_sessions;
    bool m_partitioned = false;
};

} // namespace banyanledge::standin
