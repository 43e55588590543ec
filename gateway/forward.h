// Forwards one client request to a backend server: admission, attempts, retries and the response.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/timer.h"
#include "gateway/state.h"
#include "net/bytequeue.h"

namespace banyanledge
{

// State machine of one request, used on the event loop's thread only. forward.cpp implements admission, timeouts and
// the end of a request, attempt.cpp its attempts at backend servers.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(GatewayState &state, std::shared_ptr<HttpCall> call);
    ~ForwardedRequest();

    // Admits the request and begins its first attempt, or responds with an error.
    void start();

    // Brings the timeout forward to `end` if it is later.
    void endBy(Time end);

private:
    // A complete response that was read from a server. An error response is kept and sent to the client unless a retry
    // succeeds.
    struct BufferedResponse
    {
        HttpHead head;
        ByteQueue body;
    };

    struct Attempt
    {
        Target target;
        std::shared_ptr<UpstreamAttempt> upstreamAttempt;
        Time startTime{};
        bool refused = false; // the server stated that it did not execute the request
        bool failed = false; // the response is a 5xx or lacks the server's signature
        HttpHead head;
        ByteQueue body; // received and not forwarded to the client yet
    };

    bool admit();
    bool rejectIfLate(Time now);
    void startTimeout();
    bool authenticate(Time now);
    void deny(int status, const std::string &reason, Time now);
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
    void writeBody(const ByteQueue &body);
    void updateHeldBytes();
    const std::string &fingerprint();
    bool isBlocked(Time now);
    void recordSending();
    void recordSurvival(const Attempt &attempt, Time now);
    void rejectBlocked();
    void checkForCrash(const Attempt &attempt, Time now);
    void recordFailure(const Target &target, const std::string &reason, Time now);
    void recordSuccess(const Target &target, Time now);
    bool mayRetry(bool mayHaveRun) const;
    void retryOrGiveUp(bool mayHaveRun, const std::string &reason);
    void sendBuffered(const BufferedResponse &response);
    void reject(int status, const std::string &reason, Duration retryAfter);
    void giveUp(const std::string &reason, Duration retryAfter = retryAfterOverload);
    void onTimeout();
    void onDisconnected(CloseReason reason);
    void releaseServer();
    void finish(int status, const std::string &reason);
    Duration timeLeft(Time now) const;
    std::string viewAgeText() const;

    GatewayState &m_state;
    std::shared_ptr<HttpCall> m_call;
    std::shared_ptr<const Routing> m_routing; // in force when the request arrived; owns m_route, m_customer, m_service
    std::shared_ptr<const Routing> m_attemptRouting; // in force at the last attempt; owns its target server
    const proto::DeclaredRoute *m_route = nullptr;
    const proto::DeclaredCustomer *m_customer = nullptr;
    const RoutedService *m_service = nullptr;
    ServiceState *m_serviceState = nullptr;
    std::string m_serviceName;
    std::string m_requestId;
    std::string m_fingerprint; // empty until it is needed
    std::optional<std::set<std::string>> m_allowedRegions; // regions that may serve the request; nullopt: all
    std::uint64_t m_affinityHash = 0; // random for a request without affinity
    Time m_deadline{}; // earlier of the client's timeout and the route's
    Timer m_timer;
    std::set<std::string> m_triedServers;
    unsigned m_attemptCount = 0; // attempts, including refused ones and failed connections
    unsigned m_coldAttempts = 0; // those at servers that this host took for cold
    unsigned m_possibleExecutions = 0; // attempts that a server executed or may have executed
    bool m_tokenTaken = false; // a token of the customer's rate limit was taken for the request
    bool m_attempting = false; // attempts have begun, and m_timer runs until the timeout
    bool m_streaming = false; // the response to the client was begun before the server's was complete
    bool m_finished = false;
    std::optional<Attempt> m_attempt;
    std::optional<BufferedResponse> m_errorResponse;
    ByteBudget::Share m_heldBytes; // responses in m_attempt and m_errorResponse
};

} // namespace banyanledge
