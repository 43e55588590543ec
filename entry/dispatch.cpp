// Second half of a request exchange: acquires a slot, sends the request to a backend server and streams the response.
#include "entry/exchange.h"

#include <algorithm>
#include <random>

#include "base/error.h"
#include "base/invariant.h"
#include "base/log.h"
#include "base/metrics.h"
#include "decide/pacing.h"
#include "decide/route.h"
#include "net/messagelines.h"

namespace banyanledge
{

namespace
{

// Timeout for connecting to a backend server; connecting takes about 1 ms within a region and 50 ms between regions.
constexpr milliseconds connectTimeout{1000};

// Interval of the checks of key and lease while a request waits or a backend server processes it.
constexpr milliseconds recheckInterval{500};

// How long an admitted request waits for the renewal of the lease. Together with the lease term and the recheck
// interval, a withdrawn key ends a response on a partitioned host within 2.5 s (guaranteed: 3 s).
constexpr milliseconds renewalTimeout{500};

double randomFraction()
{
    thread_local std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(randomId()));
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

bool isRetryable(int status)
{
    return status == 502 || status == 503 || status == 504;
}

bool isShed(const BackendHead &head)
{
    const auto *shed = findHeader(head.headers, shedHeader);
    return head.status == 503 && shed != nullptr && shed->value == "1";
}

// A shedding server may report that it is leaving; its pool then stops using it before the platform's list names it.
proto::Outcome shedOutcome(const BackendHead &head)
{
    const auto *state = findHeader(head.headers, stateHeader);
    return state != nullptr && equalsIgnoreCase(state->value, "leaving") ? proto::OUTCOME_LEAVING : proto::OUTCOME_SHED;
}

const Refusal shedRefusal{503, "overloaded", "the backend servers of this service refuse further work", "try again"};

Refusal connectionFailureRefusal(const std::string &error)
{
    return {502, "unavailable", "the connection to the backend server failed: " + error, "try again"};
}

Refusal slotRefusal(const SlotLease &lease)
{
    return {lease.kind == proto::ERROR_TIMEOUT ? 504 : 503,
            kindName(lease.kind),
            lease.message,
            "try again",
            ExecutionOutcome::NotRun,
            lease.retryAfter};
}

} // namespace

void Exchange::takeSlot()
{
    const auto &choice = m_regionChoices[m_regionIndex];
    const bool last = m_regionIndex + 1 == m_regionChoices.size();
    SlotRequest slotRequest;
    slotRequest.service = m_service;
    slotRequest.region = choice.region;
    slotRequest.customer = m_customer;
    slotRequest.deadline = m_deadline;
    slotRequest.waitUntil = last ? m_deadline : std::min(m_deadline, Clock::now() + regionQueueTimeout);
    slotRequest.exclude = m_failedServers;
    m_shared->deps.acquireSlot(slotRequest, bindStep(&Exchange::onSlot));
}

void Exchange::onSlot(SlotLease lease)
{
    const bool granted = lease.kind == proto::ERROR_NONE;
    if (m_ended) {
        if (granted) {
            m_shared->deps.releaseSlot(lease, proto::OUTCOME_CANCELLED, Duration(0));
        }
        return;
    }
    if (granted) {
        ++m_slotsTaken;
        m_slot = std::move(lease);
        dispatch();
        return;
    }
    if (m_regionIndex + 1 < m_regionChoices.size()) {
        ++m_regionIndex;
        m_requestBodyLinkBytes = 0; // the next region is behind another link, which grants its own tokens
        takeRequestBodyTokens();
        return;
    }
    refuseOrAbort(slotRefusal(lease));
}

BackendRequest Exchange::backendRequest() const
{
    BackendRequest request;
    request.address = m_slot->address;
    request.method = m_request.method;
    request.target = m_target;
    request.headers = headersForServer(m_request.headers);
    if (!m_customer.empty()) {
        request.headers.push_back({customerHeader, m_customer});
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(m_deadline - Clock::now()).count();
    request.headers.push_back({deadlineHeader, std::to_string(std::max<std::int64_t>(remaining, 1))});
    request.body = m_body;
    request.newConnection = !m_idempotent;
    request.connectTimeout = connectTimeout;
    return request;
}

// Sends the request to the leased server. Lease and key are checked again once connected, before the first byte.
void Exchange::dispatch()
{
    const unsigned attempt = ++m_attemptNumber;
    m_dispatchTime = Clock::now();
    m_firstByteLatency = {};
    m_dispatchState = std::make_shared<std::atomic<DispatchState>>(DispatchState::Waiting);
    BackendCallbacks callbacks;
    callbacks.beforeSend = [self = shared_from_this(), dispatchState = m_dispatchState, lease = *m_slot] {
        const auto next = self->checkBeforeSending(lease);
        auto expected = DispatchState::Waiting;
        const bool first = dispatchState->compare_exchange_strong(expected, next);
        // libcurl calls this again when it resends a request because a reused connection was closed. A request that
        // isn't idempotent must not be sent twice, so it stops here if it ever used such a connection.
        const bool again = !first && expected == DispatchState::Sent && self->m_idempotent;
        return (first || again) && next == DispatchState::Sent;
    };
    callbacks.received = [self = shared_from_this(), attempt](BackendUpdate update) {
        asio::post(self->m_strand, [self, attempt, update = std::move(update)]() mutable {
            self->onUpdate(attempt, std::move(update));
        });
    };
    m_transfer = m_shared->backend->start(backendRequest(), std::move(callbacks));
}

// Whether the request may still be sent: `Sent` or the reason against it. Runs on the HTTP client's thread.
DispatchState Exchange::checkBeforeSending(const SlotLease &lease) const
{
    if (!m_shared->deps.fresh(Clock::now())) {
        return DispatchState::LeaseExpired;
    }
    if (!isKeyValid()) {
        return DispatchState::KeyInvalid;
    }
    // The pool counts a lease of a former process only until every host can know the present one. An owner may also
    // know a later process than this host.
    const auto view = m_shared->deps.view();
    const auto server = view->servers().find(lease.server);
    const bool isFormer =
        server != view->servers().end() && lease.incarnation && *lease.incarnation < server->second.incarnation();
    return isFormer ? DispatchState::ProcessChanged : DispatchState::Sent;
}

// Ignores updates of an abandoned attempt, so that a late response never reaches the client.
void Exchange::onUpdate(unsigned attempt, BackendUpdate update)
{
    if (m_ended || attempt != m_attemptNumber) {
        return;
    }
    if (update.head && !onHead(*update.head)) {
        return;
    }
    m_pendingBody += update.data;
    if (update.end) {
        onBackendEnd(update);
    }
    if (!m_ended && m_status) {
        writeResponse();
    }
}

// Starts the response to the client; false when the attempt was abandoned instead.
bool Exchange::onHead(const BackendHead &head)
{
    m_firstByteLatency = Clock::now() - m_dispatchTime;
    if (isShed(head)) {
        m_dispatchState.reset(); // the server did not run the request
        m_failedServers.push_back(m_slot->server);
        stopAttempt(shedOutcome(head));
        retry(false, shedRefusal);
        return false;
    }
    if (m_idempotent && isRetryable(head.status) && canRetry(true)) {
        m_failedServers.push_back(m_slot->server);
        stopAttempt(proto::OUTCOME_ERROR);
        runAt(m_retryTimer, Clock::now() + retryDelay(m_slotsTaken, randomFraction()), &Exchange::takeSlot);
        return false;
    }
    m_status = head.status;
    auto headers = headersForClient(head.headers);
    headers.push_back({serverHeader, m_slot->server});
    const bool bodyless = isBodylessStatus(head.status) || m_request.method == "HEAD";
    m_response.start(head.status, headers, head.length, bodyless);
    m_responseLength = head.length;
    return true;
}

void Exchange::onBackendEnd(const BackendUpdate &update)
{
    if (update.end == TransferResult::NotSent) {
        onNotSent(update.error);
        return;
    }
    if (update.end == TransferResult::Complete) {
        m_responseComplete = true;
        m_mayHaveRun = true;
        m_dispatchState.reset();
        releaseSlot(*m_status >= 500 ? proto::OUTCOME_ERROR : proto::OUTCOME_OK);
        return;
    }
    const auto refusal = connectionFailureRefusal(update.error);
    logInfo("attempt failed",
            {{"request", m_requestId}, {"service", m_service}, {"server", m_slot->server}, {"reason", update.error}});
    m_failedServers.push_back(m_slot->server);
    stopAttempt(proto::OUTCOME_ERROR);
    if (m_status) {
        refuseOrAbort(refusal);
        return;
    }
    retry(true, refusal);
}

void Exchange::onNotSent(const std::string &error)
{
    const auto dispatchState = m_dispatchState->load();
    if (dispatchState == DispatchState::KeyInvalid) {
        refuseOrAbort({401, "unauthorized", "the key was withdrawn", "present a valid key"});
    } else if (dispatchState == DispatchState::LeaseExpired) {
        refuseOrAbort({503, "unavailable", "this host cannot confirm that its table is current",
                       "request another entry host with GET /v1/lookup"});
    } else if (dispatchState == DispatchState::ProcessChanged) {
        logInfo("request not sent: its slot belongs to a former process of the backend server",
                {{"server", m_slot->server},
                 {"incarnation", std::to_string(m_slot->incarnation.value_or(0))},
                 {"revision", std::to_string(m_shared->deps.view()->revision())}});
        stopAttempt(proto::OUTCOME_CANCELLED); // says nothing about the present process
        retry(false, connectionFailureRefusal("the server started again"));
    } else {
        m_failedServers.push_back(m_slot->server);
        stopAttempt(proto::OUTCOME_NOT_SENT);
        retry(false, connectionFailureRefusal(error));
    }
}

bool Exchange::canRetry(bool sent)
{
    const Time now = Clock::now();
    const Attempt attempt{m_idempotent, sent, m_status.has_value(), m_slotsTaken, m_deadline - now};
    const std::lock_guard lock(m_shared->retryBudgetsMutex);
    return mayRetry(m_shared->retryBudgets[m_service], attempt, now);
}

// Retries on another server after a delay, or refuses the request.
void Exchange::retry(bool sent, const Refusal &refusal)
{
    if (!canRetry(sent)) {
        refuseOrAbort(refusal);
        return;
    }
    countMetric("banyanledge_retries_total", {{"service", m_service}});
    runAt(m_retryTimer, Clock::now() + retryDelay(m_slotsTaken, randomFraction()), &Exchange::takeSlot);
}

// Writes the received body to the client, one write at a time. Bytes of a body from another region are written only
// once the link has granted tokens for them.
void Exchange::writeResponse()
{
    if (m_writePending || (m_pendingBody.empty() && !m_responseComplete)) {
        return;
    }
    const auto &choice = m_regionChoices[m_regionIndex];
    if (choice.crossRegion && m_pendingBody.size() > m_linkCredit) {
        const auto link = linkResource(choice.region, m_shared->self.region());
        const auto missing = m_pendingBody.size() - m_linkCredit;
        const auto length = m_responseLength.value_or(0);
        const auto portion =
            nextPortionBytes(link, m_responseBodyLinkBytes, length - std::min(length, m_responseBodyLinkBytes));
        if (portion > 0 || m_responseBodyLinkBytes + missing > shortBodyBytes || !takeShortBodyBytes(link, missing)) {
            m_writePending = true;
            m_pendingLinkBytes = portion > 0 ? portion : std::min<std::uint64_t>(missing, shortBodyBytes);
            m_shared->deps.takeTokens(link, static_cast<double>(m_pendingLinkBytes), m_deadline,
                                      bindStep(&Exchange::onResponseTokens));
            return;
        }
        m_responseBodyLinkBytes += missing;
        m_linkCredit += missing;
    }
    m_linkCredit -= std::min<std::uint64_t>(m_linkCredit, m_pendingBody.size());
    std::string part = std::exchange(m_pendingBody, {});
    if (m_responseComplete) {
        m_response.finish(std::move(part));
        end("answered");
        return;
    }
    m_writePending = true;
    m_writingBytes = part.size();
    m_response.write(std::move(part), bindStep(&Exchange::onWritten));
}

void Exchange::onResponseTokens(const AdmissionResult &admission)
{
    if (m_ended) {
        return;
    }
    if (admission.kind != proto::ERROR_NONE) {
        refuseOrAbort({503, kindName(admission.kind),
                       "the link from the region of the backend server granted no tokens for the response body in time",
                       "try again"});
        return;
    }
    m_linkCredit += m_pendingLinkBytes;
    m_responseBodyLinkBytes += m_pendingLinkBytes;
    m_writePending = false;
    writeResponse();
}

void Exchange::onWritten(bool written)
{
    if (m_ended) {
        return;
    }
    if (!written) {
        onClientDisconnect();
        return;
    }
    m_writePending = false;
    if (m_transfer) {
        m_transfer->consumed(m_writingBytes);
    }
    writeResponse();
}

bool Exchange::isKeyValid() const
{
    if (m_keyDigest.empty()) {
        return true;
    }
    const auto view = m_shared->deps.view();
    const auto *customer = view->customerOfKey(m_keyDigest);
    return customer != nullptr && customer->name() == m_customer;
}

void Exchange::scheduleRecheck()
{
    runAt(m_recheckTimer, Clock::now() + recheckInterval, &Exchange::recheck);
}

// Ends a request when its key was withdrawn or this host can no longer tell whether it was. This includes requests that
// wait for tokens, a claim or a slot, because without a lease their owner may be out of reach until their deadline.
void Exchange::recheck()
{
    if (!isKeyValid()) {
        refuseOrAbort({401, "unauthorized", "the key was withdrawn", "present a valid key"});
        return;
    }
    const Time now = Clock::now();
    if (m_shared->deps.fresh(now)) {
        scheduleRecheck();
        return;
    }
    m_shared->deps.whenFresh(now + renewalTimeout, bindStep(&Exchange::onLeaseRenewed));
}

void Exchange::onLeaseRenewed(bool fresh)
{
    if (m_ended) {
        return;
    }
    if (fresh) {
        recheck();
        return;
    }
    refuseOrAbort({503, "unavailable", "this host can no longer confirm that its table is current",
                   "request another entry host with GET /v1/lookup"});
}

} // namespace banyanledge
