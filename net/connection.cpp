#include "net/connection.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"

namespace banyanledge
{

namespace
{

// Received bytes that are kept until they can be parsed; more stay in the socket.
constexpr std::size_t maxInputBytes = 65536;

// Requests of one connection that are handled at once.
constexpr std::size_t maxConcurrentCalls = 16;

// Time for a client to receive the last response before the connection is closed.
constexpr milliseconds lingerTimeout{1000};

// Longest path in a log line.
constexpr std::size_t maxLoggedPathBytes = 128;

} // namespace

const char *closeReasonText(CloseReason reason)
{
    switch (reason) {
    case CloseReason::ClientClosed:
        return "closed by the client";
    case CloseReason::WriteFailed:
        return "the client acknowledges no bytes";
    case CloseReason::IdleTimeout:
        return "idle timeout";
    case CloseReason::EarlierResponseLast:
        return "an earlier response closed the connection";
    case CloseReason::EarlierResponseCut:
        return "an earlier response was cut";
    case CloseReason::ServerStopped:
        return "the server stopped";
    }
    return "unknown";
}

PendingCall::PendingCall(std::shared_ptr<Connection> connection, HttpRequest request)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
{
}

const HttpRequest &PendingCall::request() const
{
    return m_request;
}

bool PendingCall::open() const
{
    return !m_ended && !m_aborted && !m_disconnected;
}

void PendingCall::respond(int status, const HttpHeaders &headers, const std::string &body)
{
    begin(status, headers, body.size());
    write(body);
    end();
}

void PendingCall::begin(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
{
    if (!open() || m_started) {
        return;
    }
    m_started = true;
    const bool lastOfClosingServer = m_connection->m_owner->closing() && m_connection->isNewest(*this);
    m_closeAfterResponse = m_closeAfterResponse || !m_request.head.keepAlive || lastOfClosingServer;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const auto &[name, value] : headers) {
        appendHeader(head, name, value);
    }
    const bool bodyless = isBodylessStatus(status);
    m_noBody = bodyless || m_request.head.method == "HEAD";
    if (length && !bodyless) {
        appendHeader(head, "Content-Length", std::to_string(*length));
    } else if (!length && !bodyless) {
        appendHeader(head, "Transfer-Encoding", "chunked");
        m_chunked = true;
    }
    if (m_closeAfterResponse) {
        appendHeader(head, "Connection", "close");
    }
    m_output.append(head + "\r\n");
    m_connection->flush();
}

void PendingCall::write(std::string bytes)
{
    if (!open() || !m_started || bytes.empty() || m_noBody) {
        return;
    }
    if (m_chunked) {
        char size[32];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        m_output.append(std::string(size));
    }
    m_output.append(std::move(bytes));
    if (m_chunked) {
        m_output.append(std::string("\r\n"));
    }
    m_connection->flush();
}

void PendingCall::end()
{
    if (!open() || !m_started) {
        return;
    }
    if (m_chunked && !m_noBody) {
        m_output.append(std::string("0\r\n\r\n"));
    }
    m_ended = true;
    m_disconnectCallback = {};
    m_drainedCallback = {};
    m_connection->flush();
}

void PendingCall::closeAfterResponse()
{
    m_closeAfterResponse = true;
}

std::size_t PendingCall::bufferedBytes() const
{
    return m_output.size() + m_connection->writingBytes(*this);
}

void PendingCall::onDrained(std::function<void()> callback)
{
    m_drainedCallback = std::move(callback);
}

void PendingCall::abort()
{
    if (!open()) {
        return;
    }
    m_aborted = true;
    m_disconnectCallback = {};
    m_drainedCallback = {};
    m_connection->abortCall(*this);
}

void PendingCall::onDisconnect(std::function<void(CloseReason)> callback)
{
    m_disconnectCallback = std::move(callback);
    if (m_disconnected && m_disconnectCallback) {
        std::exchange(m_disconnectCallback, {})(*m_disconnected);
    }
}

Connection::Connection(std::shared_ptr<ConnectionOwner> owner, asio::ip::tcp::socket socket)
    : m_owner(std::move(owner))
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_heldBytes(m_owner->options().responseBudget)
    , m_limits(m_owner->options().limits())
{
}

void Connection::start()
{
    asio::error_code ignored; // the first read fails too
    m_socket.non_blocking(true, ignored);
    startIdleTimer();
    read();
}

bool Connection::idle() const
{
    asio::error_code error; // counts as no bytes; the pending read reports it
    return m_calls.empty() && m_input.empty() && !m_requestStarted && !m_lingering && m_socket.available(error) == 0;
}

void Connection::close(CloseReason reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    const auto self = shared_from_this();
    asio::error_code ignored; // the connection is closed whether or not this fails
    m_socket.close(ignored);
    m_timer.stop();
    m_owner->removeConnection(self);
    disconnectCalls(reason);
}

// Tells the requests in progress that their responses can't be sent any more.
void Connection::disconnectCalls(CloseReason reason)
{
    const auto calls = std::exchange(m_calls, {});
    for (const auto &call : calls) {
        if (call->m_aborted) {
            continue;
        }
        if (call->m_ended) {
            // Its handler has finished with it, so nobody else tells that the client did not get the response.
            const bool writing = call == calls.front() && !m_writing.empty();
            logInfo("response not sent whole, because the connection ended first",
                    {{"path", std::string(targetPath(call->m_request.head.target).substr(0, maxLoggedPathBytes))},
                     {"reason", closeReasonText(reason)},
                     {"sent", writing ? "maybe" : "no"}});
        }
        countMetric("banyanledge_http_requests_cut_total", {{"reason", closeReasonText(reason)}});
        call->m_disconnected = reason;
        call->m_drainedCallback = {};
        if (const auto callback = std::exchange(call->m_disconnectCallback, {})) {
            callback(reason);
        }
    }
}

void Connection::read()
{
    if (m_closed || m_reading || m_input.size() >= maxInputBytes) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_readBuffer),
                             [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                                 self->m_reading = false;
                                 self->onRead(error, size);
                             });
}

void Connection::onRead(const asio::error_code &error, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (error) {
        close(CloseReason::ClientClosed);
        return;
    }
    if (!m_lingering) {
        m_input.append(m_readBuffer.data(), size);
        if (!readAvailable()) {
            close(CloseReason::ClientClosed);
            return;
        }
        parse();
    }
    read();
}

// Reads what has arrived besides; false if the client has closed the connection. After a pause of the process, the end
// of the connection may wait behind the request of a client that has given it up.
bool Connection::readAvailable()
{
    asio::error_code error;
    while (!error && m_input.size() < maxInputBytes) {
        const std::size_t size = m_socket.read_some(asio::buffer(m_readBuffer), error);
        m_input.append(m_readBuffer.data(), size);
    }
    return !error || error == asio::error::would_block;
}

// Whether no further request of this connection is handled, because the newest response closes it.
bool Connection::closesAfterNewest() const
{
    return !m_calls.empty()
        && (m_calls.back()->m_closeAfterResponse || !m_calls.back()->m_request.head.keepAlive || m_owner->closing());
}

void Connection::parse()
{
    while (!m_closed && !m_lingering && !m_received && !m_input.empty() && !closesAfterNewest()
           && m_calls.size() < maxConcurrentCalls) {
        if (!m_requestStarted) {
            m_requestStarted = true;
            m_limits = m_owner->options().limits();
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
        if (used == 0) {
            return;
        }
    }
}

void Connection::receiveBody()
{
    const HttpHead &head = m_parser.head();
    if (!m_headHandled) {
        m_headHandled = true;
        const std::string *expect = findHeader(head.headers, "Expect");
        m_continueExpected = expect != nullptr && equalsIgnoreCase(*expect, "100-continue");
        sendContinue();
    }
    m_request.body += m_parser.takeBody();
    if (m_request.body.size() > m_limits.maxBodyBytes || head.contentLength.value_or(0) > m_limits.maxBodyBytes) {
        reject(413, "the request body is larger than the limit; send a smaller body");
        return;
    }
    if (m_parser.complete()) {
        m_request.head = head;
        m_request.receiveEnd = Clock::now();
        m_timer.stop();
        m_received = true;
        handleReceived();
    }
}

// Interim responses are sent in order too, so this one waits for the responses to earlier requests.
void Connection::sendContinue()
{
    if (m_continueExpected && m_calls.empty()) {
        m_continueExpected = false;
        m_interim += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
}

// Requests are handled at once only if all of them allow it: when an earlier response closes the connection, the client
// sends those behind it again. An aborted response is sure to end it.
bool Connection::mayHandle(const HttpHead &head) const
{
    const auto &mayPipeline = m_owner->options().mayPipeline;
    if (m_calls.empty()) {
        return true;
    }
    return mayPipeline && mayPipeline(head)
        && std::all_of(m_calls.begin(), m_calls.end(), [&mayPipeline](const auto &call) {
               return !call->m_aborted && mayPipeline(call->request().head);
           });
}

void Connection::handleReceived()
{
    if (!m_received || !mayHandle(m_request.head)) {
        return;
    }
    const auto call = addCall(std::exchange(m_request, {}));
    resetParser();
    m_owner->options().handle(call);
}

std::shared_ptr<PendingCall> Connection::addCall(HttpRequest request)
{
    m_calls.push_back(std::make_shared<PendingCall>(shared_from_this(), std::move(request)));
    return m_calls.back();
}

void Connection::resetParser()
{
    m_parser.reset();
    m_received = false;
    m_requestStarted = false;
    m_headHandled = false;
    m_continueExpected = false;
}

// Responds to a request that can't be read and closes the connection, because the start of the next one is unknown.
void Connection::reject(int status, const std::string &reason)
{
    if (m_owner->options().onRejected) {
        m_owner->options().onRejected(status);
    }
    m_timer.stop();
    m_request.head.keepAlive = false;
    const auto call = addCall(std::exchange(m_request, {}));
    resetParser();
    m_input.clear();
    call->respond(status, {{"Content-Type", "text/plain"}}, reason + "\n");
}

bool Connection::isNewest(const PendingCall &call) const
{
    return !m_received && !m_calls.empty() && m_calls.back().get() == &call;
}

std::size_t Connection::writingBytes(const PendingCall &call) const
{
    return !m_calls.empty() && m_calls.front().get() == &call ? m_writing.size() : 0;
}

// Sends what the oldest call has written, if no write is pending.
void Connection::flush()
{
    sendFront();
    updateHeldBytes();
}

void Connection::updateHeldBytes()
{
    std::size_t bytes = m_writing.memoryBytes();
    for (const auto &call : m_calls) {
        bytes += call->m_output.memoryBytes();
    }
    m_heldBytes.set(bytes);
}

void Connection::sendFront()
{
    if (m_closed || m_lingering || !m_writing.empty()) {
        return;
    }
    m_writing.append(std::exchange(m_interim, {}));
    if (!m_calls.empty()) {
        PendingCall &front = *m_calls.front();
        if (front.m_aborted) {
            cutFront();
            return;
        }
        front.m_sending = front.m_sending || !front.m_output.empty();
        m_writing.append(std::exchange(front.m_output, {}));
        if (m_writing.empty() && front.m_ended) {
            finishFront();
            return;
        }
    }
    if (m_writing.empty()) {
        return;
    }
    std::vector<asio::const_buffer> buffers;
    for (const std::string &piece : m_writing.pieces()) {
        buffers.push_back(asio::buffer(piece));
    }
    asio::async_write(m_socket, buffers, [self = shared_from_this()](const asio::error_code &error, std::size_t) {
        self->m_writing = {};
        self->onWritten(error);
    });
}

void Connection::onWritten(const asio::error_code &error)
{
    if (m_closed) {
        return;
    }
    if (error) {
        close(CloseReason::WriteFailed);
        return;
    }
    const auto front = m_calls.empty() ? nullptr : m_calls.front();
    flush();
    if (front && front->open()) {
        if (const auto callback = std::exchange(front->m_drainedCallback, {})) {
            callback();
        }
    }
}

// Continues with the next response once one was sent whole.
void Connection::finishFront()
{
    const auto finished = m_calls.front();
    m_calls.pop_front();
    if (finished->m_closeAfterResponse) {
        linger(CloseReason::EarlierResponseLast);
        return;
    }
    if (m_calls.empty() && !m_requestStarted) {
        startIdleTimer();
    }
    // Posted, so that a request is not handled inside the completion of another one's response.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_closed) {
            self->sendContinue();
            self->handleReceived();
            self->parse();
            self->flush();
            self->read();
        }
    });
}

// An aborted response that is not the oldest one lets those before it end.
void Connection::abortCall(const PendingCall &call)
{
    if (!m_calls.empty() && m_calls.front().get() == &call) {
        cutFront();
    }
}

// Ends the connection instead of sending the rest of the oldest response. A reset would destroy bytes of the responses
// before it that the kernel still has to send.
void Connection::cutFront()
{
    if (m_calls.front()->m_sending) {
        reset();
    } else {
        linger(CloseReason::EarlierResponseCut);
    }
}

// Resets the connection, so that a started response does not look complete.
void Connection::reset()
{
    asio::error_code ignored; // the connection is closed whether or not this fails
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close(CloseReason::EarlierResponseCut);
}

// Shuts down sending and closes the connection after lingerTimeout. Closing at once with unread bytes would reset the
// connection and could lose a response in transit. Requests behind the last response count as not read.
void Connection::linger(CloseReason reason)
{
    m_lingering = true;
    m_input.clear();
    disconnectCalls(reason);
    asio::error_code ignored; // the client may have closed already
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    startTimer(lingerTimeout, [this, reason] { close(reason); });
    read();
}

void Connection::startIdleTimer()
{
    startTimer(m_limits.idleTimeout, [this] {
        if (idle()) {
            close(CloseReason::IdleTimeout);
        }
    });
}

void Connection::startHeaderTimer()
{
    startTimer(m_limits.headerTimeout, [this] {
        if (m_requestStarted && !m_headHandled) {
            reject(408, "the request head did not arrive in time; send it at once");
        }
    });
}

void Connection::startTimer(Duration time, std::function<void()> expired)
{
    m_timer.start(time, [self = shared_from_this(), expired = std::move(expired)] {
        if (!self->m_closed) {
            expired();
        }
    });
}

} // namespace banyanledge
