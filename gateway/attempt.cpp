// Attempts of a request at backend servers: server selection, sending, responses and retries. forward.cpp implements
// admission.
#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/forward.h"
#include "gateway/text.h"

namespace banyanledge
{

namespace
{

// A response up to this size is sent to the client only once it is complete, so that an incomplete one can be retried.
// A slow link lowers the limit, because a buffered response is received whole before it is sent over the same link.
constexpr std::size_t maxBufferedBytes = 128UL * 1024;
constexpr double maxBufferedTransferSeconds = 0.02;

std::size_t bufferedBytesLimit(double linkMbps)
{
    constexpr double bytesPerMegabit = 125000;
    const double bytes = linkMbps > 0 ? linkMbps * bytesPerMegabit * maxBufferedTransferSeconds : maxBufferedBytes;
    return static_cast<std::size_t>(std::min<double>(bytes, maxBufferedBytes));
}

// Reading from the server pauses when more bytes than this wait to be sent to the client, until they have been sent.
constexpr std::size_t maxUnsentBytes = 512UL * 1024;

// Longest body of a response that is not passed on at once, because the server refused or failed. A longer one may be
// without end, and ends the attempt. Each request may keep minErrorBodyBytes, also when the budget of the host is
// spent.
constexpr std::size_t maxErrorBodyBytes = 256UL * 1024;
constexpr std::size_t minErrorBodyBytes = 8UL * 1024;

// Least time left for which another attempt is made.
constexpr milliseconds minAttemptTime{25};

// Attempts that a server refused or that found no connection don't count towards the route's max_attempts. The number
// of all attempts may exceed max_attempts by this many.
constexpr unsigned extraAttempts = 2;

// Longest idle time of a connection that an unsafe request reuses. The longer a connection was idle, the likelier the
// server closes it while the request is on its way, and an unsafe request can't be retried then. After a request failed
// on a reused connection, the restricted limit applies for reuseRestrictionTime.
constexpr milliseconds maxIdleTimeForUnsafe{6000};
constexpr milliseconds restrictedIdleTimeForUnsafe{100};
constexpr milliseconds reuseRestrictionTime{5000};

// Limit on the queue at a server, in requests per slot, for the most urgent requests (priority 0); each priority step
// lowers it, down to the minimum.
constexpr double maxQueuePerSlot = 2.0;
constexpr double queueStepPerPriority = 0.25;
constexpr double minQueuePerSlot = 0.75;

// Running plus waiting requests of a load report "running,waiting,slots"; nullopt when it can't be parsed.
std::optional<double> parseBackendLoad(const std::string &text)
{
    const auto first = text.find(',');
    const auto second = first == std::string::npos ? first : text.find(',', first + 1);
    if (second == std::string::npos) {
        return std::nullopt;
    }
    const std::string_view view(text);
    const auto running = parseUnsigned(view.substr(0, first));
    const auto waiting = parseUnsigned(view.substr(first + 1, second - first - 1));
    return running && waiting ? std::optional<double>(*running + *waiting) : std::nullopt;
}

} // namespace

void ForwardedRequest::tryNextServer()
{
    const Time now = Clock::now();
    if (isBlocked(now)) {
        rejectBlocked();
        return;
    }
    // Uses the latest list of servers, not the one at the request's arrival: the request may have waited for a token or
    // an earlier attempt, and a server that is leaving must get no new requests.
    m_attemptRouting = m_state.routing;
    GatewayState::ServerQuery query;
    query.service = m_attemptRouting->service(m_serviceName);
    if (query.service == nullptr || query.service->declared == nullptr) {
        giveUp("the service of the route is no longer declared");
        return;
    }
    query.state = m_serviceState;
    query.regions = m_allowedRegions ? &*m_allowedRegions : nullptr;
    query.request.object = m_affinityHash;
    query.request.affinity = m_route->affinity();
    const unsigned priority = m_customer != nullptr ? m_customer->priority() : m_route->priority();
    query.request.maxQueuePerSlot = std::max(minQueuePerSlot, maxQueuePerSlot - queueStepPerPriority * priority);
    query.request.tried = &m_triedServers;
    Target target;
    const PlacementStatus status = m_state.chooseServer(query, now, target);
    if (status == PlacementStatus::Chosen) {
        recordSending();
        sendTo(target);
    } else {
        giveUp(status == PlacementStatus::Full ? "all backend servers are at capacity"
                                               : "no backend server is available",
               target.pauseEnd ? std::max<Duration>(*target.pauseEnd - now, retryAfterOverload) : retryAfterOverload);
    }
}

std::string ForwardedRequest::serializeRequest(const RoutedServer &server, Time now) const
{
    const HttpRequest &request = m_call->request();
    const HeaderNames &names = m_state.options.headerNames;
    std::string bytes = request.head.method + " " + request.head.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : endToEndHeaders(request.head.headers)) {
        const bool setByGateway = equalsIgnoreCase(name, "Authorization") || equalsIgnoreCase(name, names.customer)
            || equalsIgnoreCase(name, names.expectedServer) || equalsIgnoreCase(name, names.timeLeftMs);
        if (!setByGateway) {
            appendHeader(bytes, name, value);
        }
    }
    appendHeader(bytes, names.timeLeftMs, millisecondsText(std::max<Duration>(timeLeft(now), milliseconds(1))));
    appendHeader(bytes, names.expectedServer, server.id);
    if (m_customer != nullptr) {
        appendHeader(bytes, names.customer, m_customer->name());
    }
    if (!request.body.empty() || request.head.contentLength || request.head.chunked) {
        appendHeader(bytes, "Content-Length", std::to_string(request.body.size()));
    }
    return bytes + "\r\n" + request.body;
}

void ForwardedRequest::sendTo(const Target &target)
{
    const Time now = Clock::now();
    Attempt attempt;
    attempt.target = target;
    attempt.startTime = now;
    ++m_attemptCount;
    m_coldAttempts += isCold(*target.state, now) ? 1 : 0;
    m_triedServers.insert(target.server->id);
    ++target.state->inFlight;
    target.state->trialRequests += target.state->consecutiveFailures > 0 ? 1 : 0;
    m_attempt = std::move(attempt);
    UpstreamRequest request;
    request.serverId = target.server->id;
    request.address = target.server->address;
    request.bytes = serializeRequest(*target.server, now);
    request.requestId = m_requestId;
    request.isHeadRequest = m_call->request().head.method == "HEAD";
    if (m_route->kind() == proto::REQUEST_UNSAFE) {
        request.maxIdleTime = now < m_state.reuseRestrictedUntil ? restrictedIdleTimeForUnsafe : maxIdleTimeForUnsafe;
    } else {
        request.maxIdleTime = Duration::max();
    }
    AttemptHandlers handlers;
    handlers.head = [self = shared_from_this()](const HttpHead &head) { self->onResponseHead(head); };
    handlers.body = [self = shared_from_this()](const std::string &bytes) { self->onResponseBody(bytes); };
    handlers.end = [self = shared_from_this()](AttemptResult result, const std::string &reason) {
        self->onAttemptEnd(result, reason);
    };
    m_attempt->upstreamAttempt = m_state.upstream.send(std::move(request), std::move(handlers));
}

void ForwardedRequest::onResponseHead(const HttpHead &head)
{
    Attempt &attempt = *m_attempt;
    const HeaderNames &names = m_state.options.headerNames;
    attempt.head = head;
    const bool isPresentProcess = reachedPresentProcess(*attempt.target.state, attempt.startTime);
    const auto load = parseBackendLoad(headerValue(head.headers, names.backendLoad));
    if (load && isPresentProcess) {
        // Includes this request: the server counted it as running when it wrote the report.
        recordReport(*attempt.target.state, std::max(0.0, *load), Clock::now());
    }
    // A refusal without the request's id may be one of an earlier request that the server wrote once more.
    const bool namesRequest = headerValue(head.headers, names.requestId) == m_requestId;
    const bool isRefusal = findHeader(head.headers, names.notExecuted) != nullptr || head.status == 421;
    attempt.refused = isRefusal && namesRequest;
    const bool isSigned = findHeader(head.headers, names.responseSignature) != nullptr
        && findHeader(head.headers, "Content-Encoding") == nullptr;
    attempt.failed = !attempt.refused && (head.status >= 500 || !isSigned);
    const bool isOtherServer = head.status == 421;
    if ((isSigned || attempt.refused) && !isOtherServer && isPresentProcess) {
        m_state.recordServerResponse(*attempt.target.server, Clock::now());
        m_state.recordNotice(attempt.target, parseNotice(head, names), isSigned && !attempt.refused, m_requestId,
                             Clock::now());
    }
}

void ForwardedRequest::onResponseBody(const std::string &bytes)
{
    const auto self = shared_from_this(); // the end of the attempt may release the last other reference
    Attempt &attempt = *m_attempt;
    attempt.body.append(bytes);
    updateHeldBytes();
    const ByteBudget &budget = *m_state.responseBudget;
    const bool deliverable = !attempt.refused && !attempt.failed;
    const std::size_t bufferedLimit = budget.allowance(bufferedBytesLimit(m_state.options.settings.link_mbps()));
    if (deliverable && !m_streaming && attempt.body.size() > bufferedLimit) {
        startStreaming();
    }
    if (m_streaming) {
        forwardBody();
    } else if (!deliverable && attempt.body.size() > std::max(minErrorBodyBytes, budget.allowance(maxErrorBodyBytes))) {
        attempt.upstreamAttempt->cancel();
        onAttemptEnd(AttemptResult::NoResponse, "error response longer than the limit");
    }
}

// Begins the response to the client before the server's response is complete.
void ForwardedRequest::startStreaming()
{
    m_streaming = true;
    m_errorResponse.reset();
    m_call->begin(m_attempt->head.status, endToEndHeaders(m_attempt->head.headers), m_attempt->head.contentLength);
}

void ForwardedRequest::forwardBody()
{
    m_state.responseBytes.add(static_cast<double>(m_attempt->body.size()), Clock::now());
    const ByteQueue body = std::exchange(m_attempt->body, {});
    updateHeldBytes();
    writeBody(body);
    // The callback comes after the next write, which is pending or will be, as bytes are buffered.
    if (m_call->bufferedBytes() > m_state.responseBudget->allowance(maxUnsentBytes)) {
        m_attempt->upstreamAttempt->setPaused(true);
        m_call->onDrained([self = shared_from_this()] {
            if (self->m_attempt && self->m_attempt->upstreamAttempt) {
                self->m_attempt->upstreamAttempt->setPaused(false);
            }
        });
    }
}

void ForwardedRequest::writeBody(const ByteQueue &body)
{
    for (const std::string &piece : body.pieces()) {
        m_call->write(piece);
    }
}

void ForwardedRequest::updateHeldBytes()
{
    std::size_t bytes = 0;
    if (m_attempt) {
        bytes += m_attempt->body.memoryBytes() + memoryBytes(m_attempt->head.headers);
    }
    if (m_errorResponse) {
        bytes += m_errorResponse->body.memoryBytes() + memoryBytes(m_errorResponse->head.headers);
    }
    m_heldBytes.set(bytes);
}

void ForwardedRequest::releaseServer()
{
    if (!m_attempt) {
        return;
    }
    ServerState &state = *m_attempt->target.state;
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    state.trialRequests -= state.trialRequests > 0 ? 1 : 0;
}

void ForwardedRequest::onAttemptEnd(AttemptResult result, const std::string &reason)
{
    if (m_finished) {
        return;
    }
    const Time now = Clock::now();
    releaseServer();
    Attempt attempt = std::move(*m_attempt);
    m_attempt.reset();
    updateHeldBytes();
    observeMetric("banyanledge_gateway_attempt_seconds", {{"service", m_serviceName}},
                  std::chrono::duration<double>(now - attempt.startTime).count());
    if (result == AttemptResult::Completed && attempt.refused) {
        recordRefusal(*attempt.target.state, now);
        retryOrGiveUp(false, "server " + attempt.target.server->id + " refused");
        return;
    }
    if (result == AttemptResult::NotSent || result == AttemptResult::Refused) {
        if (result == AttemptResult::Refused) {
            m_state.recordServerEnd(attempt.target.server->id, now);
        } else {
            attempt.target.state->needsCheck = true;
        }
        recordFailure(attempt.target, reason, now);
        m_state.upstream.closeIdleConnections(attempt.target.server->id);
        retryOrGiveUp(false, "server " + attempt.target.server->id + ": " + reason);
        return;
    }
    ++m_possibleExecutions;
    if (result == AttemptResult::ConnectionEnded) {
        checkForCrash(attempt, now);
    }
    if (result != AttemptResult::Completed) {
        attempt.target.state->needsCheck = attempt.target.state->needsCheck || result == AttemptResult::NoResponse;
        if (attempt.upstreamAttempt->reused() && attempt.head.status == 0) {
            m_state.reuseRestrictedUntil = now + reuseRestrictionTime;
        }
        recordFailure(attempt.target, reason, now);
        if (m_streaming) {
            m_call->abort();
            finish(0, "server " + attempt.target.server->id + ": " + reason);
            return;
        }
        m_state.upstream.closeIdleConnections(attempt.target.server->id);
        retryOrGiveUp(true, "server " + attempt.target.server->id + ": " + reason);
        return;
    }
    recordSurvival(attempt, now);
    if (attempt.failed) {
        recordFailure(attempt.target, "status " + std::to_string(attempt.head.status), now);
        const bool isSigned =
            findHeader(attempt.head.headers, m_state.options.headerNames.responseSignature) != nullptr;
        if (isSigned && attempt.head.status >= 500) {
            m_errorResponse = BufferedResponse{attempt.head, std::move(attempt.body)};
            updateHeldBytes();
        }
        retryOrGiveUp(
            true,
            "server " + attempt.target.server->id + ": "
                + (isSigned ? "status " + std::to_string(attempt.head.status) : "response without a signature header"));
        return;
    }
    recordSuccess(attempt.target, now);
    if (m_streaming) {
        writeBody(attempt.body);
        m_call->end();
        finish(attempt.head.status, {});
        return;
    }
    sendBuffered({attempt.head, std::move(attempt.body)});
}

void ForwardedRequest::sendBuffered(const BufferedResponse &response)
{
    m_state.responseBytes.add(static_cast<double>(response.body.size()), Clock::now());
    m_call->begin(response.head.status, endToEndHeaders(response.head.headers), response.body.size());
    writeBody(response.body);
    m_call->end();
    finish(response.head.status, {});
}

void ForwardedRequest::recordFailure(const Target &target, const std::string &reason, Time now)
{
    if (recordServerFailure(*target.state, now)) {
        logWarning("backend server ejected after consecutive failures",
                   {{"server", target.server->id},
                    {"service", m_serviceName},
                    {"failures", std::to_string(target.state->consecutiveFailures)},
                    {"reason", reason}});
    }
}

void ForwardedRequest::recordSuccess(const Target &target, Time now)
{
    const milliseconds warmup(m_service->declared->warmup_ms());
    if (recordServerSuccess(*target.state, warmup, now)) {
        const Duration coldTime = std::max(target.state->coldUntil - now, Duration(0));
        logInfo("backend server readmitted after a successful request",
                {{"server", target.server->id}, {"service", m_serviceName}, {"cold_ms", millisecondsText(coldTime)}});
    }
}

// Whether the kind of the request, max_attempts and the time left allow another attempt. `mayHaveRun`: a server may
// have executed the request in the last attempt.
bool ForwardedRequest::mayRetry(bool mayHaveRun) const
{
    const bool retryable = m_route->kind() != proto::REQUEST_UNSAFE;
    return (retryable || !mayHaveRun) && m_possibleExecutions < m_route->max_attempts()
        && m_attemptCount < m_route->max_attempts() + extraAttempts && timeLeft(Clock::now()) > minAttemptTime;
}

void ForwardedRequest::retryOrGiveUp(bool mayHaveRun, const std::string &reason)
{
    const Time now = Clock::now();
    logInfo("attempt failed",
            {{"request", m_requestId},
             {"service", m_serviceName},
             {"reason", reason},
             {"ran", mayHaveRun ? "maybe" : "no"},
             {"attempt", std::to_string(m_attemptCount)},
             {"left_ms", millisecondsText(timeLeft(now))}});
    if (mayRetry(mayHaveRun)
        && m_serviceState->retries.take(m_state.retryBudgetConfig(), m_routing->hosts().size(), now)) {
        countMetric("banyanledge_gateway_repeats_total", {{"service", m_serviceName}});
        tryNextServer();
        return;
    }
    giveUp(reason);
}

// Responds when no further attempt is made: with the server's own error response if there is one, with 503 if certainly
// no server executed the request, so that the client may retry it, else with 502.
void ForwardedRequest::giveUp(const std::string &reason, Duration retryAfter)
{
    if (m_errorResponse) {
        sendBuffered(*m_errorResponse);
    } else if (m_possibleExecutions == 0) {
        reject(503, reason, retryAfter);
    } else {
        reject(502, reason, Duration(0));
    }
}

} // namespace banyanledge
