// Connection of a client to an HttpServer: reads requests, hands them to the server's handler and sends the responses.
#pragma once

#include <asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/timer.h"
#include "net/bytequeue.h"
#include "net/server.h"

namespace banyanledge
{

class Connection;

// One request of a connection and its response. The response is kept until all earlier responses have been sent.
class PendingCall : public HttpCall
{
public:
    PendingCall(std::shared_ptr<Connection> connection, HttpRequest request);

    const HttpRequest &request() const override;
    void respond(int status, const HttpHeaders &headers, const std::string &body) override;
    void begin(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length) override;
    void write(std::string bytes) override;
    void end() override;
    void closeAfterResponse() override;
    std::size_t bufferedBytes() const override;
    void onDrained(std::function<void()> callback) override;
    void abort() override;
    void onDisconnect(std::function<void(CloseReason)> callback) override;

    // Whether the response may still be continued.
    bool open() const;

private:
    friend class Connection;

    std::shared_ptr<Connection> m_connection;
    HttpRequest m_request;
    ByteQueue m_output; // bytes not handed to the socket yet
    bool m_started = false;
    bool m_sending = false; // bytes of the response were handed to the socket
    bool m_ended = false; // the whole response was passed to this call
    bool m_aborted = false; // the connection ends instead of continuing this response
    std::optional<CloseReason> m_disconnected; // the connection was closed before the response had ended
    bool m_chunked = false;
    bool m_noBody = false; // the response has no body
    bool m_closeAfterResponse = false;
    std::function<void(CloseReason)> m_disconnectCallback;
    std::function<void()> m_drainedCallback;
};

// What all connections of a server share.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;

    virtual const HttpServer::Options &options() const = 0;

    // Whether the newest response of each connection shall close it.
    virtual bool closing() const = 0;

    virtual void removeConnection(const std::shared_ptr<Connection> &connection) = 0;
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<ConnectionOwner> owner, asio::ip::tcp::socket socket);

    void start();

    // Whether no request is in progress, partly received or waiting in the socket.
    bool idle() const;

    void close(CloseReason reason);

private:
    friend class PendingCall;

    void read();
    void onRead(const asio::error_code &error, std::size_t size);
    bool readAvailable();
    void parse();
    void receiveBody();
    void sendContinue();
    bool mayHandle(const HttpHead &head) const;
    bool closesAfterNewest() const;
    void handleReceived();
    std::shared_ptr<PendingCall> addCall(HttpRequest request);
    void resetParser();
    void reject(int status, const std::string &reason);
    bool isNewest(const PendingCall &call) const;
    std::size_t writingBytes(const PendingCall &call) const;
    void flush();
    void sendFront();
    void updateHeldBytes();
    void onWritten(const asio::error_code &error);
    void finishFront();
    void abortCall(const PendingCall &call);
    void cutFront();
    void reset();
    void linger(CloseReason reason);
    void disconnectCalls(CloseReason reason);
    void startIdleTimer();
    void startHeaderTimer();
    void startTimer(Duration time, std::function<void()> expired);

    std::shared_ptr<ConnectionOwner> m_owner;
    asio::ip::tcp::socket m_socket;
    Timer m_timer;
    ByteBudget::Share m_heldBytes; // of the responses
    HttpLimits m_limits;
    HttpParser m_parser{HttpParser::Kind::Request};
    std::array<char, 16384> m_readBuffer{};
    std::string m_input; // bytes not parsed yet
    std::string m_interim; // interim response to the request that is being received
    ByteQueue m_writing; // bytes handed to the socket
    std::deque<std::shared_ptr<PendingCall>> m_calls; // requests in progress, oldest first
    HttpRequest m_request; // being received
    bool m_requestStarted = false; // bytes of m_request have arrived
    bool m_headHandled = false; // the head of m_request is complete
    bool m_received = false; // m_request is complete and waits for earlier requests
    bool m_continueExpected = false; // the client waits for 100 Continue
    bool m_reading = false;
    bool m_lingering = false; // everything was sent; the client's bytes are ignored
    bool m_closed = false;
};

} // namespace banyanledge
