// Attempts of a request at backend servers: placement, sending, answers, repeats. Admission is in forward.cpp.
#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/forward.h"
#include "gateway/text.h"

namespace banyanledge
{

namespace
{

// An answer up to this size reaches the caller only when it is whole, so that a broken one can be repeated. On a slow
// link it is smaller, because such an answer passes the link twice, one time after the other.
constexpr std::size_t wholeAnswerBytes = 128UL * 1024;
constexpr double wholeAnswerSeconds = 0.02;

std::size_t wholeAnswerLimit(double linkMbps)
{
    constexpr double bytesPerMegabit = 125000;
    const double bytes = linkMbps > 0 ? linkMbps * bytesPerMegabit * wholeAnswerSeconds : wholeAnswerBytes;
    return static_cast<std::size_t>(std::min<double>(bytes, wholeAnswerBytes));
}

// Reading from the server pauses while the caller has this much to take, and resumes at a quarter of it.
constexpr std::size_t unsentBytes = 512UL * 1024;

// Shortest time left with which another attempt is useful.
constexpr milliseconds shortestAttempt{25};

// Attempts that servers refused or that found no connection, beyond the route's own limit of attempts that run.
constexpr unsigned extraSends = 2;

// Idle time of a kept connection that a request which may not run twice still uses. A longer idle one is more likely to
// be closed under the request, and after one was, only the shortest idle time counts for a while.
constexpr milliseconds unsafeIdle{6000};
constexpr milliseconds distrustedIdle{100};
constexpr milliseconds distrustTime{5000};

// Longest queue at a server, in requests for each slot, for the most urgent requests; less urgent ones leave room.
constexpr double longestQueue = 2.0;
constexpr double queueStep = 0.25;
constexpr double shortestQueue = 0.75;

// Running and waiting requests of a report "running,waiting,slots".
std::optional<double> reportedLoad(const std::string &text)
{
    const auto first = text.find(',');
    const auto second = first == std::string::npos ? first : text.find(',', first + 1);
    if (second == std::string::npos) {
        return std::nullopt;
    }
    const std::string_view view(text);
    const auto running = wholeNumber(view.substr(0, first));
    const auto waiting = wholeNumber(view.substr(first + 1, second - first - 1));
    return running && waiting ? std::optional<double>(*running + *waiting) : std::nullopt;
}

} // namespace

void ForwardedRequest::attempt()
{
    const Time now = Clock::now();
    // The newest servers, not those at the request's arrival: it may have waited for a token or an earlier attempt, and
    // a server that leaves must get no new work.
    m_latestRouting = m_state.routing;
    GatewayState::Search search;
    search.service = m_latestRouting->service(m_serviceName);
    if (search.service == nullptr || search.service->declared == nullptr) {
        giveUp("the service is no longer declared");
        return;
    }
    search.state = m_serviceState;
    search.regions = m_regions ? &*m_regions : nullptr;
    search.request.object = m_object;
    search.request.affinity = m_route->affinity();
    const unsigned priority = m_customer != nullptr ? m_customer->priority() : m_route->priority();
    search.request.longestQueue = std::max(shortestQueue, longestQueue - queueStep * priority);
    search.request.tried = &m_tried;
    Target target;
    const PlacementEnd end = m_state.find(search, now, target);
    if (end == PlacementEnd::Chosen) {
        send(target);
    } else {
        giveUp(end == PlacementEnd::Full ? "all servers are full" : "no server takes requests");
    }
}

std::string ForwardedRequest::upstreamBytes(const RoutedServer &server, Time now) const
{
    const HttpRequest &request = m_call->request();
    const HeaderNames &names = m_state.options.headerNames;
    std::string bytes = request.head.method + " " + request.head.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : endToEndHeaders(request.head.headers)) {
        const bool ours = sameHeader(name, "Authorization") || sameHeader(name, names.customer)
            || sameHeader(name, names.expectedServer) || sameHeader(name, names.timeLeftMs);
        if (!ours) {
            appendHeader(bytes, name, value);
        }
    }
    appendHeader(bytes, names.timeLeftMs, millisecondsText(std::max<Duration>(remaining(now), milliseconds(1))));
    appendHeader(bytes, names.expectedServer, server.id);
    if (m_customer != nullptr) {
        appendHeader(bytes, names.customer, m_customer->name());
    }
    if (!request.body.empty() || request.head.length || request.head.chunked) {
        appendHeader(bytes, "Content-Length", std::to_string(request.body.size()));
    }
    return bytes + "\r\n" + request.body;
}

void ForwardedRequest::send(const Target &target)
{
    const Time now = Clock::now();
    Attempt attempt;
    attempt.target = target;
    attempt.begun = now;
    ++m_sends;
    m_tried.insert(target.server->id);
    ++target.state->inFlight;
    target.state->probing += target.state->failures > 0 ? 1 : 0;
    m_attempt = std::move(attempt);
    UpstreamRequest request;
    request.server = target.server->id;
    request.address = target.server->address;
    request.bytes = upstreamBytes(*target.server, now);
    request.requestId = m_id;
    request.headMethod = m_call->request().head.method == "HEAD";
    if (m_route->kind() == proto::REQUEST_UNSAFE) {
        request.longestIdle = now < m_state.keptDistrustedUntil ? distrustedIdle : unsafeIdle;
    } else {
        request.longestIdle = Duration::max();
    }
    AttemptHandlers handlers;
    handlers.head = [self = shared_from_this()](const HttpHead &head) { self->onHead(head); };
    handlers.body = [self = shared_from_this()](const std::string &bytes) { self->onBody(bytes); };
    handlers.end = [self = shared_from_this()](AttemptEnd end, const std::string &reason) { self->onEnd(end, reason); };
    m_attempt->sending = m_state.upstream.send(std::move(request), std::move(handlers));
}

void ForwardedRequest::onHead(const HttpHead &head)
{
    Attempt &attempt = *m_attempt;
    const HeaderNames &names = m_state.options.headerNames;
    attempt.head = head;
    if (const auto load = reportedLoad(headerValue(head.headers, names.load))) {
        // The report still counts this request.
        noteReport(*attempt.target.state, std::max(0.0, *load), Clock::now());
    }
    attempt.refused = findHeader(head.headers, names.notRun) != nullptr || head.status == 421;
    const bool own =
        findHeader(head.headers, names.signature) != nullptr && findHeader(head.headers, "Content-Encoding") == nullptr;
    attempt.failed = !attempt.refused && (head.status >= 500 || !own);
}

void ForwardedRequest::onBody(const std::string &bytes)
{
    Attempt &attempt = *m_attempt;
    attempt.body += bytes;
    const bool deliverable = !attempt.refused && !attempt.failed;
    if (deliverable && !m_committed && attempt.body.size() > wholeAnswerLimit(m_state.options.settings.link_mbps())) {
        commit();
    }
    if (m_committed) {
        drain();
    }
}

// Begins the answer to the caller before the server's answer is whole.
void ForwardedRequest::commit()
{
    m_committed = true;
    m_call->begin(m_attempt->head.status, endToEndHeaders(m_attempt->head.headers), m_attempt->head.length);
}

void ForwardedRequest::drain()
{
    m_state.answerBytes.add(static_cast<double>(m_attempt->body.size()), Clock::now());
    m_call->write(std::exchange(m_attempt->body, {}));
    if (m_call->unsent() > unsentBytes) {
        m_attempt->sending->pause(true);
        m_call->onDrained([self = shared_from_this()] {
            if (self->m_attempt && self->m_attempt->sending) {
                self->m_attempt->sending->pause(false);
            }
        });
    }
}

void ForwardedRequest::endAttempt()
{
    if (!m_attempt) {
        return;
    }
    ServerState &state = *m_attempt->target.state;
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    state.probing -= state.probing > 0 ? 1 : 0;
}

void ForwardedRequest::onEnd(AttemptEnd end, const std::string &reason)
{
    if (m_done) {
        return;
    }
    const Time now = Clock::now();
    endAttempt();
    Attempt attempt = std::move(*m_attempt);
    m_attempt.reset();
    observeMetric("banyanledge_gateway_attempt_seconds", {{"service", m_serviceName}},
                  std::chrono::duration<double>(now - attempt.begun).count());
    if (end == AttemptEnd::Answered && attempt.refused) {
        noteRefusal(*attempt.target.state, now);
        repeatOrGiveUp(false, "server " + attempt.target.server->id + " refused");
        return;
    }
    if (end == AttemptEnd::NotSent) {
        serverFailed(attempt.target, reason, now);
        m_state.upstream.forget(attempt.target.server->id);
        repeatOrGiveUp(false, "server " + attempt.target.server->id + ": " + reason);
        return;
    }
    ++m_ran;
    if (end == AttemptEnd::NoAnswer) {
        if (attempt.sending->reused() && attempt.head.status == 0) {
            m_state.keptDistrustedUntil = now + distrustTime;
        }
        serverFailed(attempt.target, reason, now);
        if (m_committed) {
            m_call->abort();
            finish(0, "server " + attempt.target.server->id + ": " + reason);
            return;
        }
        m_state.upstream.forget(attempt.target.server->id);
        repeatOrGiveUp(true, "server " + attempt.target.server->id + ": " + reason);
        return;
    }
    if (attempt.failed) {
        serverFailed(attempt.target, "status " + std::to_string(attempt.head.status), now);
        const bool own = findHeader(attempt.head.headers, m_state.options.headerNames.signature) != nullptr;
        if (own && attempt.head.status >= 500) {
            m_held = HeldAnswer{attempt.head, std::move(attempt.body)};
        }
        repeatOrGiveUp(true,
                       "server " + attempt.target.server->id + ": "
                           + (own ? "status " + std::to_string(attempt.head.status) : "answer without signature"));
        return;
    }
    serverAnswered(attempt.target, now);
    if (m_committed) {
        m_call->write(std::move(attempt.body));
        m_call->end();
        finish(attempt.head.status, {});
        return;
    }
    deliver({attempt.head, std::move(attempt.body)});
}

void ForwardedRequest::deliver(const HeldAnswer &answer)
{
    m_state.answerBytes.add(static_cast<double>(answer.body.size()), Clock::now());
    m_call->respond(answer.head.status, endToEndHeaders(answer.head.headers), answer.body);
    finish(answer.head.status, {});
}

void ForwardedRequest::serverFailed(const Target &target, const std::string &reason, Time now)
{
    if (noteFailure(*target.state, now)) {
        logWarning("server ejected",
                   {{"server", target.server->id},
                    {"service", m_serviceName},
                    {"failures", std::to_string(target.state->failures)},
                    {"reason", reason}});
    }
}

void ForwardedRequest::serverAnswered(const Target &target, Time now)
{
    const milliseconds warmup(m_service->declared->warmup_ms());
    if (noteSuccess(*target.state, warmup, now)) {
        logInfo("server back", {{"server", target.server->id}, {"service", m_serviceName}});
    }
}

// `ran`: the last attempt may have run the request.
bool ForwardedRequest::mayRepeat(bool ran) const
{
    const bool repeatable = m_route->kind() != proto::REQUEST_UNSAFE;
    return (repeatable || !ran) && m_ran < m_route->max_attempts() && m_sends < m_route->max_attempts() + extraSends
        && remaining(Clock::now()) > shortestAttempt;
}

void ForwardedRequest::repeatOrGiveUp(bool ran, const std::string &reason)
{
    const Time now = Clock::now();
    logInfo("attempt failed",
            {{"request", m_id},
             {"service", m_serviceName},
             {"reason", reason},
             {"ran", ran ? "maybe" : "no"},
             {"attempt", std::to_string(m_sends)},
             {"left_ms", millisecondsText(remaining(now))}});
    if (mayRepeat(ran) && m_serviceState->retries.take(m_state.retryBound(), m_routing->hosts().size(), now)) {
        countMetric("banyanledge_gateway_repeats_total", {{"service", m_serviceName}});
        attempt();
        return;
    }
    giveUp(reason);
}

// The final answer when no further attempt is made: the server's own failure if there is one, a promise that nothing
// ran if that is certain, else a failure that promises nothing.
void ForwardedRequest::giveUp(const std::string &reason)
{
    if (m_held) {
        deliver(*m_held);
    } else if (m_ran == 0) {
        refuse(503, reason, comeBackFull);
    } else {
        refuse(502, reason, Duration(0));
    }
}

} // namespace banyanledge
