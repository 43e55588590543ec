#include "gateway/forward.h"

#include <algorithm>

#include "base/digest.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/hash.h"
#include "gateway/text.h"

namespace banyanledge
{

namespace
{

// A server responds by itself when the timeout it was given has passed; its response gets this long to arrive.
constexpr milliseconds responseGracePeriod{80};

// A request waits for the leader's token for a part of its time left, within these bounds.
constexpr int tokenWaitDivisor = 4;
constexpr milliseconds minTokenWait{250};
constexpr milliseconds maxTokenWait{600};

// Retry-After of a request that was rejected because this host has no declaration or no usable service yet.
constexpr milliseconds retryAfterNotReady{500};

std::string secondsText(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", std::chrono::duration<double>(duration).count());
    return text;
}

} // namespace

ForwardedRequest::ForwardedRequest(GatewayState &state, std::shared_ptr<HttpCall> call)
    : m_state(state)
    , m_call(std::move(call))
    , m_routing(state.routing)
    , m_timer(state.loop.get_executor())
    , m_heldBytes(state.responseBudget)
{
    m_state.requests.insert(this);
}

ForwardedRequest::~ForwardedRequest()
{
    m_state.requests.erase(this);
}

Duration ForwardedRequest::timeLeft(Time now) const
{
    return m_deadline - now;
}

void ForwardedRequest::start()
{
    if (!admit()) {
        return;
    }
    m_call->onDisconnect([self = shared_from_this()](CloseReason reason) { self->onDisconnected(reason); });
    if (m_finished) {
        return;
    }
    if (m_customer == nullptr || m_customer->rate() <= 0) {
        startAttempts();
        return;
    }
    m_tokenTaken = m_state.buckets[m_customer->name()].take(Clock::now());
    if (m_tokenTaken) {
        startAttempts();
        return;
    }
    m_state.tokens.requestToken(m_customer->name(),
                                [self = shared_from_this()](TokenGrant grant) { self->onTokenResult(grant); });
    const Duration tokenWait =
        std::clamp<Duration>(timeLeft(Clock::now()) / tokenWaitDivisor, minTokenWait, maxTokenWait);
    m_timer.start(tokenWait, [self = shared_from_this()] { self->onTokenResult(TokenGrant::Unknown); });
}

void ForwardedRequest::onTokenResult(TokenGrant grant)
{
    if (m_finished || m_tokenTaken) {
        return;
    }
    m_tokenTaken = grant == TokenGrant::Granted;
    if (m_tokenTaken) {
        startAttempts();
        return;
    }
    if (grant == TokenGrant::Unknown) {
        reject(503, "the control leader granted no token in time", retryAfterOverload);
        return;
    }
    const RateBucket &bucket = m_state.buckets[m_customer->name()];
    reject(429, "the customer exceeded its rate limit",
           std::max<Duration>(bucket.timeUntilToken(Clock::now()), retryAfterOverload));
}

void ForwardedRequest::startAttempts()
{
    if (rejectIfLate(Clock::now())) {
        return;
    }
    m_attempting = true;
    startTimeout();
    tryNextServer();
}

void ForwardedRequest::startTimeout()
{
    m_timer.start(m_deadline + responseGracePeriod, [self = shared_from_this()] { self->onTimeout(); });
}

void ForwardedRequest::endBy(Time end)
{
    if (m_finished || m_deadline + responseGracePeriod <= end) {
        return;
    }
    m_deadline = end - responseGracePeriod;
    if (m_attempting) {
        startTimeout();
    }
}

// Makes all decisions that precede the selection of a server; false when the request was rejected.
bool ForwardedRequest::admit()
{
    const HttpRequest &request = m_call->request();
    const Time now = Clock::now();
    m_state.requestRate.add(1, now);
    if (m_state.shouldRebalance(now)) {
        m_call->closeAfterResponse();
        countMetric("banyanledge_gateway_connections_rebalanced_total");
    }
    m_requestId = headerValue(request.head.headers, m_state.options.headerNames.requestId);
    if (m_routing->version() == 0) {
        reject(503, "this host has not received a declaration yet", retryAfterNotReady);
        return false;
    }
    m_route = m_routing->route(headerValue(request.head.headers, "Host"), targetPath(request.head.target));
    if (m_route == nullptr) {
        deny(404, "no route matches the host and path", now);
        return false;
    }
    if (!authenticate(now)) {
        return false;
    }
    const auto clientTimeout = parseUnsigned(headerValue(request.head.headers, m_state.options.headerNames.timeLeftMs));
    const milliseconds routeTimeout(m_route->timeout_ms() > 0 ? m_route->timeout_ms() : maxDeadline.count());
    m_deadline =
        request.receiveStart + std::min(routeTimeout, clientTimeout ? milliseconds(*clientTimeout) : routeTimeout);
    if (rejectIfLate(now)) {
        return false;
    }
    if (m_state.stopTime && m_deadline + responseGracePeriod > *m_state.stopTime) {
        reject(503, "this host ends before the time limit of the request; retry on another host", retryAfterOverload);
        return false;
    }
    const std::string affinityKey = headerValue(request.head.headers, m_state.options.headerNames.affinityKey);
    m_affinityHash = m_route->affinity() && !affinityKey.empty()
        ? mixHashes(hashText(affinityKey), hashText(m_route->path_prefix()))
        : m_state.random();
    m_serviceName = m_state.chooseService(*m_route);
    m_service = m_routing->service(m_serviceName);
    if (m_service == nullptr || m_service->declared == nullptr) {
        reject(503, "no service of the route accepts requests", retryAfterNotReady);
        return false;
    }
    if (isBlocked(now)) {
        rejectBlocked();
        return false;
    }
    m_serviceState = &m_state.services[m_serviceName];
    m_serviceState->retries.recordRequest(m_state.retryBudgetConfig(), now);
    restrictRegions();
    if (m_route->kind() == proto::REQUEST_DOWNLOAD
        && !linkAcceptsDownload(m_state.responseBytes, m_state.options.settings.link_mbps(), now)) {
        reject(503, "this host's link is at capacity; retry later or on another host", retryAfterOverload);
        return false;
    }
    if (m_state.requests.size() > m_state.options.settings.largest_in_flight()) {
        reject(503, "this host is at its limit of requests in flight; retry later or on another host",
               retryAfterOverload);
        return false;
    }
    if (m_state.responseBudget->available() == 0) {
        reject(503, "this host is at its limit of response bytes in memory; retry later or on another host",
               retryAfterOverload);
        return false;
    }
    return true;
}

// Rejects a request whose time ran out while it waited behind others of its connection or for a token. A server would
// be charged with a timeout that is not its own.
bool ForwardedRequest::rejectIfLate(Time now)
{
    if (timeLeft(now) > Duration(0)) {
        return false;
    }
    reject(503, "the time passed before it was sent to a backend server", retryAfterOverload);
    return true;
}

// Refuses what the table does not allow. A copy of the table that is not confirmed may lack a route or key that was
// added since, so this host can't tell, and the client may ask another one.
void ForwardedRequest::deny(int status, const std::string &reason, Time now)
{
    const std::optional<Duration> age = m_state.viewAge(now);
    if (age && *age < freshnessLease) {
        reject(status, reason, Duration(0));
    } else {
        reject(503, reason + ", but this host's copy of the table is not confirmed", retryAfterNotReady);
    }
}

bool ForwardedRequest::authenticate(Time now)
{
    if (m_routing->view().declaration().customers().empty()) {
        return true;
    }
    const std::string value = headerValue(m_call->request().head.headers, "Authorization");
    const std::string &scheme = m_state.options.headerNames.authScheme;
    if (value.size() > scheme.size() + 1 && equalsIgnoreCase(std::string_view(value).substr(0, scheme.size()), scheme)
        && value[scheme.size()] == ' ') {
        m_customer = m_routing->customer(sha256(std::string_view(value).substr(scheme.size() + 1)));
    }
    if (m_customer == nullptr && !m_route->open()) {
        deny(401, "the API key is missing or unknown", now);
        return false;
    }
    return true;
}

// Route and customer may each be restricted to home regions; the request is served in the intersection.
void ForwardedRequest::restrictRegions()
{
    const auto restrict = [this](const auto &homeRegions) {
        if (homeRegions.empty()) {
            return;
        }
        std::set<std::string> allowed(homeRegions.begin(), homeRegions.end());
        if (m_allowedRegions) {
            std::erase_if(allowed, [this](const std::string &region) { return !m_allowedRegions->contains(region); });
        }
        m_allowedRegions = std::move(allowed);
    };
    restrict(m_route->home_regions());
    if (m_customer != nullptr) {
        restrict(m_customer->home_regions());
    }
}

void ForwardedRequest::onTimeout()
{
    if (m_finished) {
        return;
    }
    const bool wasSent = m_attempt && m_attempt->upstreamAttempt->sent();
    if (m_attempt) {
        m_attempt->upstreamAttempt->cancel();
        if (wasSent) {
            recordFailure(m_attempt->target, "no complete response before the timeout", Clock::now());
        }
        releaseServer();
        m_attempt.reset();
    }
    if (m_streaming) {
        m_call->abort();
        finish(0, "the request timed out while the response was being sent");
    } else if (wasSent || m_possibleExecutions > 0) {
        reject(504, "the request timed out at the backend server", Duration(0));
    } else {
        reject(503, "the request timed out before it was sent to a backend server", retryAfterOverload);
    }
}

void ForwardedRequest::onDisconnected(CloseReason reason)
{
    if (m_finished) {
        return;
    }
    if (m_attempt) {
        m_attempt->upstreamAttempt->cancel();
        releaseServer();
        m_attempt.reset();
    }
    finish(0, std::string("connection closed without a whole response: ") + closeReasonText(reason));
}

void ForwardedRequest::reject(int status, const std::string &reason, Duration retryAfter)
{
    HttpHeaders headers{{"Content-Type", "text/plain"}};
    if (!m_requestId.empty()) {
        headers.emplace_back(m_state.options.headerNames.requestId, m_requestId);
    }
    if (retryAfter > Duration(0)) {
        headers.emplace_back("Retry-After", secondsText(retryAfter));
    }
    if (m_tokenTaken && (status == 503 || status == 429 || m_attemptCount == 0)) {
        m_state.buckets[m_customer->name()].refund();
    }
    m_call->respond(status, headers, reason + "\n");
    finish(status, reason);
}

// Age of the copy of the table in milliseconds; empty before it was first confirmed.
std::string ForwardedRequest::viewAgeText() const
{
    const std::optional<Duration> age = m_state.viewAge(Clock::now());
    return age ? millisecondsText(*age) : std::string();
}

// Ends the request and logs it; status 0 when the client got no complete response.
void ForwardedRequest::finish(int status, const std::string &reason)
{
    m_finished = true;
    m_timer.stop();
    const Duration took = Clock::now() - m_call->request().receiveStart;
    const std::string route = m_route == nullptr ? "" : m_route->name();
    countMetric("banyanledge_gateway_requests_total", {{"route", route}, {"status", std::to_string(status)}});
    observeMetric("banyanledge_gateway_request_seconds", {{"route", route}},
                  std::chrono::duration<double>(took).count());
    logInfo("request",
            {{"request", m_requestId},
             {"status", std::to_string(status)},
             {"reason", reason},
             {"route", route},
             {"service", m_serviceName},
             {"customer", m_customer == nullptr ? "" : m_customer->name()},
             {"version", std::to_string(m_routing->version())},
             {"copy_age_ms", viewAgeText()},
             {"attempts", std::to_string(m_attemptCount)},
             {"cold_attempts", std::to_string(m_coldAttempts)},
             {"servers",
              [this] {
                  std::string names;
                  for (const auto &id : m_triedServers) {
                      names += (names.empty() ? "" : ",") + id;
                  }
                  return names;
              }()},
             {"ms", millisecondsText(took)}});
}

} // namespace banyanledge
