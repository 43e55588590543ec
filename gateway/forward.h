// One request of a caller on its way through the gateway.
#pragma once

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/state.h"

namespace banyanledge
{

// When a caller that was refused for want of room should come back.
constexpr milliseconds retryAfterOverload{250};

// forward.cpp holds admission and the end of a request, attempt.cpp its attempts at servers.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(GatewayState &state, std::shared_ptr<HttpCall> call);
    ~ForwardedRequest();

    void start();

private:
    // A server's answer that was read whole and is delivered unless a repeated attempt does better.
    struct BufferedResponse
    {
        HttpHead head;
        std::string body;
    };

    struct Attempt
    {
        Target target;
        std::shared_ptr<UpstreamAttempt> upstreamAttempt;
        Time startTime{};
        bool refused = false; // the server said that it did not run the request
        bool failed = false; // the answer is a 5xx or not the server's own
        HttpHead head;
        std::string body; // not handed to the caller yet
    };

    bool admit();
    bool authenticate();
    void startAttempts();
    void onTokenResult(TokenGrant grant);
    void restrictRegions();
    void tryNextServer();
    void sendTo(const Target &target);
    std::string serializeRequest(const RoutedServer &server, Time now) const;
    void onResponseHead(const HttpHead &head);
    void onResponseBody(const std::string &bytes);
    void onAttemptEnd(AttemptResult result, const std::string &reason);
    void startStreaming();
    void forwardBody();
    void recordFailure(const Target &target, const std::string &reason, Time now);
    void recordSuccess(const Target &target, Time now);
    bool mayRetry(bool ran) const;
    void retryOrGiveUp(bool ran, const std::string &reason);
    void sendBuffered(const BufferedResponse &answer);
    void reject(int status, const std::string &reason, Duration retryAfter);
    void giveUp(const std::string &reason);
    void onTimeout();
    void onClientDisconnected();
    void releaseServer();
    void finish(int status, const std::string &reason);
    Duration timeLeft(Time now) const;

    GatewayState &m_state;
    std::shared_ptr<HttpCall> m_call;
    std::shared_ptr<const Routing> m_routing; // at the request's arrival
    std::shared_ptr<const Routing> m_attemptRouting; // of the last attempt; holds its target
    const proto::DeclaredRoute *m_route = nullptr;
    const proto::DeclaredCustomer *m_customer = nullptr;
    const RoutedService *m_service = nullptr;
    ServiceState *m_serviceState = nullptr;
    std::string m_serviceName;
    std::string m_requestId;
    std::optional<std::set<std::string>> m_allowedRegions; // that may serve it; nullopt: all
    std::uint64_t m_affinityHash = 0;
    Time m_deadline{}; // when the caller or the route stops waiting
    asio::steady_timer m_timer;
    std::set<std::string> m_triedServers;
    unsigned m_attemptCount = 0; // attempts that reached a connection or tried to
    unsigned m_executionCount = 0; // attempts that may have run
    bool m_tokenTaken = false;
    bool m_streaming = false; // the answer to the caller was begun
    bool m_finished = false;
    std::optional<Attempt> m_attempt;
    std::optional<BufferedResponse> m_errorResponse;
};

} // namespace banyanledge
