// TCP relay that simulates a distant host or a network partition, in which connections stay open but no bytes are
// forwarded.
#pragma once

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <asio.hpp>

namespace banyanledge::standin
{

// Not thread-safe: the context must run on one thread only.
class Relay
{
public:
    // Accepts connections on one address and forwards them to the other; both are IP:PORT. Every byte arrives
    // `oneWayDelay` later, and a new connection is forwarded after a round trip.
    Relay(asio::io_context &context, const std::string &listenAddress, const std::string &targetAddress,
          std::chrono::milliseconds oneWayDelay = {});

    // Address that the relay listens on; for a listenAddress with port 0.
    std::string address() const;

    // Drops all received bytes in both directions from now on. New connections are still accepted.
    void partition();

    // Limits the bytes to the clients, over all connections together, which wait for each other as on a full link.
    void limitBytesToClients(double bytesPerSecond);

    // Drops all bytes on the connections that were accepted after a time, and forwards later connections.
    void silenceConnectionsSince(std::chrono::steady_clock::time_point time);

    // Forwards again. Closes all connections, because bytes may be missing on them; both ends have to reconnect.
    void heal();

    // Keeps all received bytes and new connections from now on, as the hosts do whose link is cut, until release()
    // delivers them as TCP does: the oldest bytes first, the others a round trip later. The end of a connection waits
    // behind its bytes.
    void hold();
    void release();

private:
    // Bytes on their way, and the time at which they arrive.
    struct Chunk
    {
        std::chrono::steady_clock::time_point due;
        std::string bytes;
    };

    // One direction of a relayed connection.
    struct Direction
    {
        Direction(asio::io_context &context, asio::ip::tcp::socket &from, asio::ip::tcp::socket &to);

        asio::ip::tcp::socket &from;
        asio::ip::tcp::socket &to;
        asio::steady_timer timer;
        std::array<char, 16384> buffer{};
        std::deque<Chunk> chunks;
        bool writing = false;
        bool ended = false; // the sender has closed its side
    };

    // One relayed connection.
    struct Session
    {
        explicit Session(asio::io_context &context);
        void close();

        std::chrono::steady_clock::time_point accepted;
        bool silent = false;
        asio::ip::tcp::socket client;
        asio::ip::tcp::socket target;
        asio::steady_timer connectTimer;
        Direction toTarget;
        Direction toClient;
    };
    using SessionPtr = std::shared_ptr<Session>;

    void accept();
    void connect(const SessionPtr &session);
    void close(const SessionPtr &session);
    static void delayAllButOldest(Direction &direction);
    void onEnd(const SessionPtr &session, Direction &direction, const asio::error_code &error);

    // Reads from one socket until either fails, then closes the session.
    void read(const SessionPtr &session, Direction &direction);

    // When bytes that were read now arrive at the other socket.
    std::chrono::steady_clock::time_point arrival(const Direction &direction, const Session &session, std::size_t size);

    // Writes the chunks to the other socket when they are due.
    void write(const SessionPtr &session, Direction &direction);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    std::chrono::milliseconds m_oneWayDelay;
    std::set<SessionPtr> m_sessions;
    double m_bytesPerSecondToClients = 0; // 0: no limit
    std::chrono::steady_clock::time_point
        m_linkFreeAt; // when the link to the clients has carried all bytes read so far
    bool m_partitioned = false;
    bool m_held = false;
    std::set<SessionPtr> m_heldConnects; // accepted while bytes are held
};

// Relay on a thread of its own.
class RelayThread
{
public:
    explicit RelayThread(const std::string &target);
    ~RelayThread();
    RelayThread(const RelayThread &) = delete;
    RelayThread &operator=(const RelayThread &) = delete;

    std::string address() const;

    // Calls a function on the relay's thread and waits for its end.
    void change(const std::function<void(Relay &)> &function);

private:
    asio::io_context m_loop;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_loop.get_executor()};
    Relay m_relay;
    std::thread m_thread;
};

} // namespace banyanledge::standin
