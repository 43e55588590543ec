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
constexpr milliseconds comeBackFull{250};

// forward.cpp holds admission and the end of a request, attempt.cpp its attempts at servers.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(GatewayState &state, std::shared_ptr<HttpCall> call);
    ~ForwardedRequest();

    void start();

private:
    // A server's answer that was read whole and is delivered unless a repeated attempt does better.
    struct HeldAnswer
    {
        HttpHead head;
        std::string body;
    };

    struct Attempt
    {
        Target target;
        std::shared_ptr<UpstreamAttempt> sending;
        Time begun{};
        bool refused = false; // the server said that it did not run the request
        bool failed = false; // the answer is a 5xx or not the server's own
        HttpHead head;
        std::string body; // not handed to the caller yet
    };

    bool admit();
    bool authenticate();
    void begin();
    void onToken(TokenGrant grant);
    void chooseRegions();
    void attempt();
    void send(const Target &target);
    std::string upstreamBytes(const RoutedServer &server, Time now) const;
    void onHead(const HttpHead &head);
    void onBody(const std::string &bytes);
    void onEnd(AttemptEnd end, const std::string &reason);
    void commit();
    void drain();
    void serverFailed(const Target &target, const std::string &reason, Time now);
    void serverAnswered(const Target &target, Time now);
    bool mayRepeat(bool ran) const;
    void repeatOrGiveUp(bool ran, const std::string &reason);
    void deliver(const HeldAnswer &answer);
    void refuse(int status, const std::string &reason, Duration comeBack);
    void giveUp(const std::string &reason);
    void onTimeout();
    void onLeft();
    void endAttempt();
    void finish(int status, const std::string &reason);
    Duration remaining(Time now) const;

    GatewayState &m_state;
    std::shared_ptr<HttpCall> m_call;
    std::shared_ptr<const Routing> m_routing; // at the request's arrival
    std::shared_ptr<const Routing> m_latestRouting; // of the last attempt; holds its target
    const proto::DeclaredRoute *m_route = nullptr;
    const proto::DeclaredCustomer *m_customer = nullptr;
    const RoutedService *m_service = nullptr;
    ServiceState *m_serviceState = nullptr;
    std::string m_serviceName;
    std::string m_id;
    std::optional<std::set<std::string>> m_regions; // that may serve it; nullopt: all
    std::uint64_t m_object = 0;
    Time m_limit{}; // when the caller or the route stops waiting
    asio::steady_timer m_timer;
    std::set<std::string> m_tried;
    unsigned m_sends = 0; // attempts that reached a connection or tried to
    unsigned m_ran = 0; // attempts that may have run
    bool m_tokenTaken = false;
    bool m_committed = false; // the answer to the caller was begun
    bool m_done = false;
    std::optional<Attempt> m_attempt;
    std::optional<HeldAnswer> m_held;
};

} // namespace banyanledge
