#include "entry_fixture.h"

#include <stdexcept>

#include "base/digest.h"
#include "base/error.h"
#include "base/invariant.h"

namespace banyanledge::testing
{

using Socket = asio::ip::tcp::socket;

bool eventually(const std::function<bool()> &condition)
{
    const Time until = Clock::now() + std::chrono::seconds(10);
    while (!condition()) {
        if (Clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return true;
}

ScriptedServer::ScriptedServer(Script script)
    : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    , m_script(std::move(script))
{
    m_acceptThread = std::thread([this] {
        while (true) {
            auto socket = std::make_shared<Socket>(m_context);
            asio::error_code error;
            m_acceptor.accept(*socket, error);
            if (error || m_stopping) {
                return;
            }
            ++m_connections;
            ++m_openConnections;
            const std::lock_guard lock(m_mutex);
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] { serve(socket); });
        }
    });
}

ScriptedServer::~ScriptedServer()
{
    m_stopping = true;
    asio::error_code ignored;
    Socket wakeUpSocket(m_context);
    wakeUpSocket.connect(m_acceptor.local_endpoint(), ignored);
    m_acceptThread.join();
    for (const auto &weak : m_sockets) {
        if (const auto socket = weak.lock()) {
            socket->shutdown(Socket::shutdown_both, ignored);
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
}

std::string ScriptedServer::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

std::vector<std::string> ScriptedServer::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

unsigned ScriptedServer::connections() const
{
    return m_connections;
}

unsigned ScriptedServer::openConnections() const
{
    return m_openConnections;
}

void ScriptedServer::setScript(Script script)
{
    const std::lock_guard lock(m_mutex);
    m_script = std::move(script);
}

void ScriptedServer::serve(const std::shared_ptr<Socket> &socket)
{
    asio::error_code error;
    std::string buffer;
    bool keepConnection = true;
    while (keepConnection) {
        const std::size_t head = asio::read_until(*socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
        if (error) {
            break;
        }
        std::size_t length = 0;
        if (const auto at = buffer.find("Content-Length: "); at < head) {
            length = std::stoul(buffer.substr(at + 16, 20));
        }
        if (buffer.size() < head + length) {
            asio::read(*socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(head + length - buffer.size()),
                       error);
        }
        const std::string request = buffer.substr(0, head + length);
        buffer.erase(0, head + length);
        Script script;
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
            script = m_script;
        }
        keepConnection = script(request, *socket);
    }
    socket->close(error);
    --m_openConnections;
}

void sendAll(Socket &socket, const std::string &bytes)
{
    asio::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
}

std::string okResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TestClient::TestClient(std::uint16_t port)
    : m_socket(m_context)
{
    m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
}

void TestClient::send(const std::string &bytes)
{
    sendAll(m_socket, bytes);
}

bool TestClient::readMore()
{
    std::array<char, 65536> part{};
    asio::error_code error = asio::error::timed_out;
    std::size_t size = 0;
    m_socket.async_read_some(asio::buffer(part), [&](const asio::error_code &result, std::size_t read) {
        error = result;
        size = read;
    });
    m_context.restart();
    m_context.run_for(std::chrono::seconds(10));
    if (error == asio::error::timed_out) {
        m_socket.cancel();
        m_context.restart();
        m_context.run();
        throw std::runtime_error("no bytes from the entry host within 10 s");
    }
    m_buffer.append(part.data(), size);
    return !error;
}

std::string TestClient::receive(bool *complete, bool bodyless)
{
    const auto finish = [&](std::size_t size, bool whole) {
        if (complete != nullptr) {
            *complete = whole;
        }
        std::string response = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return response;
    };
    std::size_t head = std::string::npos;
    while ((head = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return finish(m_buffer.size(), false);
        }
    }
    head += 4;
    if (bodyless) {
        return finish(head, true);
    }
    const auto length = m_buffer.find("Content-Length: ");
    while (true) {
        if (length < head) {
            const std::size_t size = head + std::stoul(m_buffer.substr(length + 16, 20));
            if (m_buffer.size() >= size) {
                return finish(size, true);
            }
        } else if (const auto end = m_buffer.find("\r\n0\r\n\r\n", head - 2); end != std::string::npos) {
            return finish(end + 7, true);
        }
        if (!readMore()) {
            return finish(m_buffer.size(), false);
        }
    }
}

bool TestClient::receiveUntil(const std::string &text)
{
    while (m_buffer.find(text) == std::string::npos) {
        if (!readMore()) {
            return false;
        }
    }
    return true;
}

void TestClient::close()
{
    m_socket.close();
}

namespace
{

// With a shift, the last server is in the region that the shift moves requests to.
std::string regionOfServer(std::size_t index, std::size_t serverCount, const EntryFixture::Options &options)
{
    return options.shift && index + 1 == serverCount ? "south" : "north";
}

proto::TableContent table(const std::vector<std::string> &servers, const EntryFixture::Options &options)
{
    proto::TableContent content;
    content.set_revision(5);
    auto &customer = *content.add_customers();
    customer.set_name("escola");
    customer.set_active(true);
    auto &key = *content.add_keys();
    key.set_id("k1");
    key.set_digest(sha256(EntryFixture::key));
    key.set_customer("escola");
    for (std::size_t i = 0; i < servers.size(); ++i) {
        for (const char *service : {"lessons", "open"}) {
            auto &server = *content.add_servers();
            server.set_id(service + std::string("-") + std::to_string(i));
            server.set_service(service);
            server.set_region(regionOfServer(i, servers.size(), options));
            server.set_address(servers[i]);
            server.set_slots(4);
        }
    }
    auto &row = *content.add_rows();
    row.set_service("open");
    row.set_region("*");
    row.set_customer("*");
    row.set_open(true);
    auto &member = *content.add_members();
    member.set_id("e1");
    member.set_entry(true);
    member.set_region("north");
    member.set_http_address("127.0.0.1:1");
    member.set_state(proto::MEMBER_LIVE);
    if (options.shift) {
        auto &shift = *content.add_shifts();
        shift.set_id("move");
        shift.set_service("lessons");
        shift.set_from_region("north");
        shift.set_to_region("south");
        shift.set_cap(1);
        shift.set_step(1);
    }
    return content;
}

proto::EntrySettings entrySettings(const EntryFixture::Options &options)
{
    proto::EntrySettings settings;
    settings.set_max_in_flight(options.maxInFlight);
    settings.set_default_deadline_ms(60000);
    settings.set_lookup_lifetime_ms(5000);
    settings.set_link_bytes_per_second(options.linkBytesPerSecond);
    return settings;
}

proto::Member selfMember(const EntryFixture::Options &options)
{
    proto::Member self;
    self.set_id("e1");
    self.set_incarnation(7);
    self.set_region(options.region);
    return self;
}

} // namespace

EntryFixture::EntryFixture(std::vector<std::string> servers, const Options &options)
    : m_servers(std::move(servers))
    , m_options(options)
    , m_view(View::next({}, table(m_servers, options), true))
    , m_backend(1)
    , m_server({"127.0.0.1:0", 2, 1048576, [this](Request request, ResponseWriter reply) {
                    m_path->handle(std::move(request), std::move(reply));
                }})
{
    m_path = std::make_unique<RequestPath>(deps(), entrySettings(options), selfMember(options), m_backend,
                                           m_server.context());
    if (!m_server.start()) {
        throw std::runtime_error(lastError().message);
    }
}

EntryFixture::~EntryFixture()
{
    answerHeldCalls();
    eventually([this] { return m_path->inFlight() == 0; });
    m_server.stop();
}

std::uint16_t EntryFixture::port() const
{
    return m_server.port();
}

std::string EntryFixture::sendAndReceive(const std::string &request)
{
    TestClient client(port());
    client.send(request);
    return client.receive();
}

void EntryFixture::withdrawKey()
{
    proto::TableContent content;
    content.set_revision(6);
    auto &key = *content.add_keys();
    key.set_id("k1");
    key.set_digest(sha256(EntryFixture::key));
    key.set_customer("escola");
    key.set_withdrawn(true);
    m_view = View::next(*m_view.load(), content, false);
}

void EntryFixture::startServersAnew(Revision incarnation)
{
    proto::TableContent content;
    content.set_revision(incarnation);
    for (const auto &[id, server] : m_view.load()->servers()) {
        auto &started = *content.add_servers();
        started = server;
        started.set_incarnation(incarnation);
    }
    m_view = View::next(*m_view.load(), content, false);
}

unsigned EntryFixture::heldSlots() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<unsigned>(m_heldSlots.size());
}

double EntryFixture::tokens(const std::string &resource) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_tokens.find(resource);
    return found == m_tokens.end() ? 0 : found->second;
}

EntryServer &EntryFixture::server()
{
    return m_server;
}

std::vector<proto::Outcome> EntryFixture::outcomes() const
{
    const std::lock_guard lock(m_mutex);
    return m_outcomes;
}

std::vector<Duration> EntryFixture::slotWaits() const
{
    const std::lock_guard lock(m_mutex);
    return m_slotWaits;
}

std::map<std::string, proto::Claim> EntryFixture::claims() const
{
    const std::lock_guard lock(m_mutex);
    return m_claims;
}

RequestPath &EntryFixture::path()
{
    return *m_path;
}

RequestPathDependencies EntryFixture::deps()
{
    RequestPathDependencies deps;
    deps.view = [this] { return m_view.load(); };
    deps.fresh = [this](Time) { return fresh.load(); };
    deps.whenFresh = [this](Time, const std::function<void(bool)> &done) { done(fresh); };
    deps.poolLoads = [] { return std::vector<proto::PoolLoad>(); };
    deps.propose = [this](const proto::Command &command, Time, const auto &done) {
        callOrHold(command.has_claim() && heldStep == Step::Claim, [this, command, done] { done(apply(command)); });
    };
    deps.takeTokens = [this](const std::string &resource, double amount, Time, const auto &done) {
        callOrHold(resource.starts_with("customer:") && heldStep == Step::CustomerToken,
                   [this, resource, amount, done] { takeTokens(resource, amount, done); });
    };
    deps.returnTokens = [this](const std::string &resource, double amount) {
        const std::lock_guard lock(m_mutex);
        m_tokens[resource] -= amount;
    };
    deps.acquireSlot = [this](const SlotRequest &request, const auto &done) { acquireSlot(request, done); };
    deps.releaseSlot = [this](const SlotLease &lease, proto::Outcome outcome, Duration) {
        const std::lock_guard lock(m_mutex);
        BL_INVARIANT(m_heldSlots.erase(lease.id) == 1, "in_flight_released_once");
        m_outcomes.push_back(outcome);
    };
    return deps;
}

// Applies a claim command as the replicated log does: the first claim of a request id holds it until it is released;
// later ones get a conflict.
proto::CommandResult EntryFixture::apply(const proto::Command &command)
{
    const std::lock_guard lock(m_mutex);
    proto::CommandResult result;
    if (command.has_claim()) {
        const auto &claimRequest = command.claim();
        const auto [found, added] = m_claims.try_emplace(claimRequest.request_id());
        if (added) {
            found->second.set_request_id(claimRequest.request_id());
            found->second.set_state(proto::CLAIM_HELD);
        } else {
            result.set_kind(proto::ERROR_CONFLICT);
        }
        *result.mutable_claim() = found->second;
    } else if (command.has_complete_claim()) {
        auto &claim = m_claims.at(command.complete_claim().request_id());
        claim.set_state(proto::CLAIM_COMPLETED);
        claim.set_status(command.complete_claim().status());
    } else {
        m_claims.erase(command.release_claim().request_id());
    }
    return result;
}

void EntryFixture::takeTokens(const std::string &resource, double amount,
                              const std::function<void(AdmissionResult)> &done)
{
    const bool refused = (refuseCustomerTokens && resource.starts_with("customer:"))
        || (refuseShiftTokens && resource.starts_with("shift:")) || (refuseLinkTokens && resource.starts_with("link:"));
    if (refused) {
        done(AdmissionResult{proto::ERROR_RATE_LIMITED, "over the rate", milliseconds(2500)});
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_tokens[resource] += amount;
    }
    done(AdmissionResult{});
}

void EntryFixture::callOrHold(bool hold, std::function<void()> call)
{
    if (!hold) {
        call();
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_heldCalls.push_back(std::move(call));
}

std::size_t EntryFixture::heldCalls() const
{
    const std::lock_guard lock(m_mutex);
    return m_heldCalls.size();
}

void EntryFixture::answerHeldCalls()
{
    std::vector<std::function<void()>> calls;
    {
        const std::lock_guard lock(m_mutex);
        calls.swap(m_heldCalls);
    }
    for (const auto &call : calls) {
        call();
    }
}

void EntryFixture::acquireSlot(const SlotRequest &request, const std::function<void(SlotLease)> &done)
{
    if (beforeSlot) {
        beforeSlot();
    }
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        isFirst = m_slotWaits.empty();
        m_slotWaits.push_back(request.waitUntil - Clock::now());
    }
    callOrHold(heldStep == Step::Slot || (heldStep == Step::SlotOfRetry && !isFirst),
               [this, request, done] { grantSlot(request, done); });
}

void EntryFixture::grantSlot(const SlotRequest &request, const std::function<void(SlotLease)> &done)
{
    SlotLease lease;
    lease.service = request.service;
    lease.region = request.region;
    lease.kind = proto::ERROR_OVERLOADED;
    lease.message = "all slots are taken";
    for (std::size_t i = 0; i < m_servers.size() && !refuseSlots; ++i) {
        const std::string id = request.service + "-" + std::to_string(i);
        const bool excluded = std::find(request.exclude.begin(), request.exclude.end(), id) != request.exclude.end();
        if (!excluded && regionOfServer(i, m_servers.size(), m_options) == request.region) {
            const std::lock_guard lock(m_mutex);
            lease.kind = proto::ERROR_NONE;
            lease.id = m_nextLease++;
            lease.server = id;
            lease.address = m_servers[i];
            lease.incarnation = slotIncarnation.load();
            m_heldSlots[lease.id] = lease;
            break;
        }
    }
    done(lease);
}

std::string requestText(const std::string &method, const std::string &target, const std::string &headers,
                        const std::string &body)
{
    const std::string length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + target + " HTTP/1.1\r\nHost: e1\r\nBanyanledge-Key: " + EntryFixture::key + "\r\n" + headers
        + length + "\r\n" + body;
}

} // namespace banyanledge::testing
