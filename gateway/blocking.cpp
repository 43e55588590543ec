// The part of a request's forwarding that keeps requests that crash backend servers away from them.
#include "base/log.h"
#include "base/metrics.h"
#include "decide/fingerprint.h"
#include "gateway/forward.h"
#include "gateway/text.h"

namespace banyanledge
{

namespace
{

// Longest path in a description of a request.
constexpr std::size_t maxPathLength = 128;

} // namespace

const std::string &ForwardedRequest::fingerprint()
{
    if (m_fingerprint.empty()) {
        const HttpRequest &request = m_call->request();
        const std::string host = normalizedHostName(headerValue(request.head.headers, "Host"));
        const std::string customer = m_customer == nullptr ? "" : m_customer->name();
        m_fingerprint = fingerprintOf({request.head.method, host, request.head.target, customer, request.body});
    }
    return m_fingerprint;
}

bool ForwardedRequest::isBlocked(Time now)
{
    return m_state.blocker.knowsTarget(m_call->request().head.target) && m_state.blocker.isBlocked(fingerprint(), now);
}

// Uses up the trial of a blocked request.
void ForwardedRequest::recordSending()
{
    if (m_state.blocker.knowsTarget(m_call->request().head.target)) {
        m_state.blocker.recordSending(fingerprint());
    }
}

// Any whole response of the server shows that the request did not crash it. One that ends with its connection may have
// ended with a crash.
void ForwardedRequest::recordSurvival(const Attempt &attempt, Time now)
{
    if (!attempt.head.bodyUntilClose && m_state.blocker.knowsTarget(m_call->request().head.target)) {
        m_state.blocker.recordSuccess(fingerprint(), now);
    }
}

// 502 and not 503: the content of the request has run before, and sending it again helps nobody.
void ForwardedRequest::rejectBlocked()
{
    countMetric("banyanledge_gateway_blocked_total", {{"route", m_route->name()}});
    m_state.blocker.recordRejection(fingerprint(), Clock::now());
    reject(502, "blocked as " + fingerprint() + ", because backend servers crashed while they ran such a request",
           Duration(0));
}

// A server that leaves closes connections on purpose, so only servers that may receive requests are checked.
void ForwardedRequest::checkForCrash(const Attempt &attempt, Time now)
{
    const RoutedServer &server = *attempt.target.server;
    if (!m_state.mayReceiveRequests(server.id)) {
        return;
    }
    const HttpRequest &request = m_call->request();
    const std::string path(targetPath(request.head.target).substr(0, maxPathLength));
    const RequestDescription description{m_route->name(), m_customer == nullptr ? "" : m_customer->name(),
                                         request.head.method, path};
    const RequestCrash crash{
        shortServerHash(server.id), attempt.startTime, now, now, {static_cast<std::uint32_t>(randomId())}};
    m_state.checkProcess(server,
                         [&state = m_state, id = server.id, requestId = m_requestId, hash = fingerprint(), description,
                          crash](const ProcessCheckResult &result) {
                             if (!result.refused) {
                                 return;
                             }
                             countMetric("banyanledge_gateway_crashes_total", {{"route", description.route}});
                             logInfo("backend server crashed while it ran a request",
                                     {{"server", id}, {"request", requestId}, {"fingerprint", hash}});
                             state.blocker.recordCrash(hash, description, crash, Clock::now());
                         });
}

} // namespace banyanledge
