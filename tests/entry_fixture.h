// Test fixture of the request path: a scripted backend server, a raw client connection and fakes of the dependencies.
#pragma once

#include <asio.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "entry/path.h"

namespace banyanledge::testing
{

// Waits for a condition, at most 10 s.
bool eventually(const std::function<bool()> &condition);

// Backend server that responds to each request by a script.
class ScriptedServer
{
public:
    // Gets the raw request and the socket to respond on; returns whether to keep the connection.
    using Script = std::function<bool(const std::string &request, asio::ip::tcp::socket &socket)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();

    std::string address() const;
    std::vector<std::string> requests() const; // raw, in order of arrival
    unsigned connections() const;
    unsigned openConnections() const; // connections that the client has not closed
    void setScript(Script script);

private:
    void serve(const std::shared_ptr<asio::ip::tcp::socket> &socket);

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex; // guards the members below
    Script m_script;
    std::vector<std::string> m_requests;
    std::vector<std::thread> m_threads;
    std::vector<std::weak_ptr<asio::ip::tcp::socket>> m_sockets;
    std::atomic<unsigned> m_connections = 0;
    std::atomic<unsigned> m_openConnections = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_acceptThread;
};

void sendAll(asio::ip::tcp::socket &socket, const std::string &bytes);
std::string okResponse(const std::string &body);

// Raw connection of a client.
class TestClient
{
public:
    explicit TestClient(std::uint16_t port);
    void send(const std::string &bytes);

    // Reads one response: head and as much of the body as its framing says; `complete` is false when the connection
    // ended before. With `bodyless` reads the head only, as for HEAD and 204. Throws after 10 s without data.
    std::string receive(bool *complete = nullptr, bool bodyless = false);

    // Reads until the text has arrived; false when the connection ends before.
    bool receiveUntil(const std::string &text);
    void close();

private:
    bool readMore();

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    std::string m_buffer;
};

// Entry server and request path on a free port, with fakes of the table, the owners of tokens and slots, and the
// replicated log.
class EntryFixture
{
public:
    struct Options
    {
        std::string region = "north"; // of the host; all servers are in north unless `shift` is set
        bool shift = false; // the last server is in south, and a shift moves every request there
        unsigned maxInFlight = 1000;
        std::uint64_t linkBytesPerSecond = 500000000;
    };

    explicit EntryFixture(std::vector<std::string> servers, const Options &options = {"north", false, 1000, 500000000});
    ~EntryFixture();

    std::uint16_t port() const;
    std::string sendAndReceive(const std::string &request); // on a connection of its own
    void withdrawKey();
    void startServersAnew(Revision incarnation); // publishes that all servers have a new process
    unsigned heldSlots() const; // acquired and not released
    double tokens(const std::string &resource = "customer:escola") const; // taken less returned
    EntryServer &server();
    std::vector<proto::Outcome> outcomes() const;
    std::vector<Duration> slotWaits() const; // maximum wait of each request for a slot
    std::map<std::string, proto::Claim> claims() const;
    RequestPath &path();

    // Steps of a request whose calls the fixture can leave unanswered.
    enum class Step {
        None,
        CustomerToken,
        Claim,
        Slot,
        SlotOfRetry, // each slot after the first
    };
    std::size_t heldCalls() const; // left unanswered
    void answerHeldCalls(); // grants the calls that were left unanswered because of `heldStep`

    static constexpr const char *key = "0123456789abcdef0123456789abcdef";
    std::atomic<bool> fresh = true; // the freshness lease is valid
    std::atomic<bool> refuseCustomerTokens = false;
    std::atomic<bool> refuseShiftTokens = false;
    std::atomic<bool> refuseLinkTokens = false;
    std::atomic<bool> refuseSlots = false;
    std::atomic<Step> heldStep = Step::None; // calls of this step stay unanswered until answerHeldCalls()
    std::atomic<Revision> slotIncarnation = 0; // of the server processes that the next slots belong to
    std::function<void()> beforeSlot; // runs before each slot is granted

private:
    RequestPathDependencies deps();
    proto::CommandResult apply(const proto::Command &command);
    void acquireSlot(const SlotRequest &request, const std::function<void(SlotLease)> &done);

    void takeTokens(const std::string &resource, double amount, const std::function<void(AdmissionResult)> &done);
    void grantSlot(const SlotRequest &request, const std::function<void(SlotLease)> &done);
    void callOrHold(bool hold, std::function<void()> call);

    std::vector<std::string> m_servers;
    const Options m_options;
    std::atomic<std::shared_ptr<const View>> m_view;
    mutable std::mutex m_mutex; // guards the members below
    std::uint64_t m_nextLease = 1;
    std::map<std::uint64_t, SlotLease> m_heldSlots;
    std::vector<proto::Outcome> m_outcomes;
    std::vector<Duration> m_slotWaits;
    std::map<std::string, double> m_tokens;
    std::map<std::string, proto::Claim> m_claims;
    std::vector<std::function<void()>> m_heldCalls;
    BackendClient m_backend;
    std::unique_ptr<RequestPath> m_path;
    EntryServer m_server;
};

// Request text with the fixture's key.
std::string requestText(const std::string &method, const std::string &target, const std::string &headers = {},
                        const std::string &body = {});

} // namespace banyanledge::testing
