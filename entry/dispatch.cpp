// Second half of an exchange: slot, backend server and the streamed answer.
#include "entry/exchange.h"

#include <algorithm>
#include <random>

#include "base/error.h"
#include "base/invariant.h"
#include "base/metrics.h"
#include "decide/pacing.h"
#include "decide/route.h"

namespace banyanledge
{

namespace
{

// Longest wait for a connection to a backend server, which takes about 1 ms within a region and 50 ms between regions.
constexpr milliseconds connectPatience{1000};

// Time between checks of key and lease while a request is with a backend server.
constexpr milliseconds checkInterval{500};

// How long a running request waits for the renewal of the lease. With the term and the interval, a withdrawn key ends
// an answer on a host that is partitioned off within 2.5 s (promise: 3 s).
constexpr milliseconds renewalPatience{500};

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

// A shedding server may add that it is leaving, so that its pool stops using it before the platform's list says so.
proto::Outcome shedOutcome(const BackendHead &head)
{
    const auto *state = findHeader(head.headers, stateHeader);
    return state != nullptr && sameName(state->value, "leaving") ? proto::OUTCOME_LEAVING : proto::OUTCOME_SHED;
}

const Refusal shedRefusal{503, "overloaded", "the backend servers of this service refuse further work", "try again"};

Refusal brokenRefusal(const std::string &error)
{
    return {502, "unavailable", "the backend server broke the connection: " + error, "try again"};
}

Refusal slotRefusal(const SlotLease &lease)
{
    return {lease.kind == proto::ERROR_TIMEOUT ? 504 : 503,
            kindName(lease.kind),
            lease.message,
            "try again",
            RunOutcome::NotRun,
            lease.retryAfter};
}

} // namespace

void Exchange::takeSlot()
{
    const auto &choice = m_choices[m_choice];
    const bool last = m_choice + 1 == m_choices.size();
    SlotRequest wish;
    wish.service = m_service;
    wish.region = choice.region;
    wish.customer = m_customer;
    wish.deadline = m_deadline;
    wish.waitUntil = last ? m_deadline : std::min(m_deadline, Clock::now() + regionQueueTimeout);
    wish.exclude = m_failedServers;
    m_shared->deps.acquireSlot(wish, step(&Exchange::onSlot));
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
    if (m_choice + 1 < m_choices.size()) {
        ++m_choice;
        m_bodyPaid = 0; // the next region is behind another link
        payRequestBody();
        return;
    }
    giveUp(slotRefusal(lease));
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
    request.fresh = !m_idempotent;
    request.connectTimeout = connectPatience;
    return request;
}

// Sends the request to the leased server. Lease and key are checked again once connected, right before the first byte.
void Exchange::dispatch()
{
    const unsigned attempt = ++m_attempt;
    m_dispatched = Clock::now();
    m_firstByte = {};
    m_gate = std::make_shared<std::atomic<SendGate>>(SendGate::Waiting);
    BackendEvents events;
    events.beforeSend = [self = shared_from_this(), gate = m_gate] {
        auto next = self->m_shared->deps.fresh(Clock::now()) ? SendGate::Sent : SendGate::LeaseExpired;
        if (next == SendGate::Sent && !self->keyValid()) {
            next = SendGate::KeyInvalid;
        }
        auto expected = SendGate::Waiting;
        const bool first = gate->compare_exchange_strong(expected, next);
        // libcurl asks a second time when it sends again because a reused connection had died; a request that may not
        // run twice stops here, should a reused connection ever be taken for it.
        const bool again = !first && expected == SendGate::Sent && self->m_idempotent;
        return (first || again) && next == SendGate::Sent;
    };
    events.received = [self = shared_from_this(), attempt](BackendBatch batch) {
        asio::post(self->m_strand,
                   [self, attempt, batch = std::move(batch)]() mutable { self->onBatch(attempt, std::move(batch)); });
    };
    m_transfer = m_shared->backend->start(backendRequest(), std::move(events));
    armCheck();
}

// Batches of an attempt that was given up are dropped, so that a late answer never reaches the caller.
void Exchange::onBatch(unsigned attempt, BackendBatch batch)
{
    if (m_ended || attempt != m_attempt) {
        return;
    }
    if (batch.head && !onHead(*batch.head)) {
        return;
    }
    m_queue += batch.data;
    if (batch.end) {
        onBackendEnd(batch);
    }
    if (!m_ended && m_status) {
        pump();
    }
}

// Starts the answer to the caller; false when the attempt was given up instead.
bool Exchange::onHead(const BackendHead &head)
{
    m_firstByte = Clock::now() - m_dispatched;
    if (isShed(head)) {
        m_gate.reset(); // the server says that it ran nothing
        m_failedServers.push_back(m_slot->server);
        stopAttempt(shedOutcome(head));
        tryAgain(false, shedRefusal);
        return false;
    }
    if (m_idempotent && isRetryable(head.status) && mayTryAgain(true)) {
        m_failedServers.push_back(m_slot->server);
        stopAttempt(proto::OUTCOME_ERROR);
        after(m_retryTimer, Clock::now() + retryDelay(m_slotsTaken, randomFraction()), &Exchange::takeSlot);
        return false;
    }
    m_status = head.status;
    auto headers = headersForCaller(head.headers);
    headers.push_back({serverHeader, m_slot->server});
    const bool bodyless = head.status == 204 || head.status == 304 || m_request.method == "HEAD";
    m_reply.start(head.status, headers, head.length, bodyless);
    m_answerLength = head.length;
    return true;
}

void Exchange::onBackendEnd(const BackendBatch &batch)
{
    if (batch.end == BackendEnd::NotSent) {
        onNotSent(batch.error);
        return;
    }
    if (batch.end == BackendEnd::Complete) {
        m_answerComplete = true;
        m_mayHaveRun = true;
        m_gate.reset();
        releaseSlot(*m_status >= 500 ? proto::OUTCOME_ERROR : proto::OUTCOME_OK);
        return;
    }
    const auto refusal = brokenRefusal(batch.error);
    m_failedServers.push_back(m_slot->server);
    stopAttempt(proto::OUTCOME_ERROR);
    if (m_status) {
        giveUp(refusal);
        return;
    }
    tryAgain(true, refusal);
}

void Exchange::onNotSent(const std::string &error)
{
    const auto gate = m_gate->load();
    if (gate == SendGate::KeyInvalid) {
        giveUp({401, "unauthorized", "the key was withdrawn", "present a valid key"});
    } else if (gate == SendGate::LeaseExpired) {
        giveUp({503, "unavailable", "this host has no proof that its table is current",
                "ask the look-up page for another entry host"});
    } else {
        m_failedServers.push_back(m_slot->server);
        stopAttempt(proto::OUTCOME_NOT_SENT);
        tryAgain(false, brokenRefusal(error));
    }
}

bool Exchange::mayTryAgain(bool sent)
{
    const Time now = Clock::now();
    const Attempt attempt{m_idempotent, sent, m_status.has_value(), m_slotsTaken, m_deadline - now};
    const std::lock_guard lock(m_shared->budgetsMutex);
    return mayRetry(m_shared->budgets[m_service], attempt, now);
}

// Tries another server after a pause, or refuses.
void Exchange::tryAgain(bool sent, const Refusal &refusal)
{
    if (!mayTryAgain(sent)) {
        giveUp(refusal);
        return;
    }
    countMetric("banyanledge_retries_total", {{"service", m_service}});
    after(m_retryTimer, Clock::now() + retryDelay(m_slotsTaken, randomFraction()), &Exchange::takeSlot);
}

// Writes what has arrived to the caller, one write at a time; bodies from other regions as far as the link's budget
// goes.
void Exchange::pump()
{
    if (m_busy || (m_queue.empty() && !m_answerComplete)) {
        return;
    }
    const auto &choice = m_choices[m_choice];
    if (choice.crossRegion && m_queue.size() > m_linkCredit) {
        const auto link = linkResource(choice.region, m_shared->self.region());
        const auto missing = m_queue.size() - m_linkCredit;
        const auto length = m_answerLength.value_or(0);
        const auto portion = portionOf(link, m_answerPaid, length - std::min(length, m_answerPaid));
        if (portion > 0 || m_answerPaid + missing > shortBodyBytes || !takeShortBytes(link, missing)) {
            m_busy = true;
            m_asked = portion > 0 ? portion : std::min<std::uint64_t>(missing, shortBodyBytes);
            m_shared->deps.takeTokens(link, static_cast<double>(m_asked), m_deadline, step(&Exchange::onAnswerTokens));
            return;
        }
        m_answerPaid += missing;
        m_linkCredit += missing;
    }
    m_linkCredit -= std::min<std::uint64_t>(m_linkCredit, m_queue.size());
    std::string part = std::exchange(m_queue, {});
    if (m_answerComplete) {
        m_reply.finish(std::move(part));
        end("answered");
        return;
    }
    m_busy = true;
    m_writing = part.size();
    m_reply.write(std::move(part), step(&Exchange::onWritten));
}

void Exchange::onAnswerTokens(const AdmissionResult &admission)
{
    if (m_ended) {
        return;
    }
    if (admission.kind != proto::ERROR_NONE) {
        giveUp({503, kindName(admission.kind), "the link between the regions is busy", "try again"});
        return;
    }
    m_linkCredit += m_asked;
    m_answerPaid += m_asked;
    m_busy = false;
    pump();
}

void Exchange::onWritten(bool written)
{
    if (m_ended) {
        return;
    }
    if (!written) {
        onCallerGone();
        return;
    }
    m_busy = false;
    if (m_transfer) {
        m_transfer->consumed(m_writing);
    }
    pump();
}

bool Exchange::keyValid() const
{
    if (m_keyDigest.empty()) {
        return true;
    }
    const auto view = m_shared->deps.view();
    const auto *customer = view->customerOfKey(m_keyDigest);
    return customer != nullptr && customer->name() == m_customer;
}

void Exchange::armCheck()
{
    after(m_checkTimer, Clock::now() + checkInterval, &Exchange::onCheck);
}

// Ends an answer whose key was withdrawn or whose host can't know that any more.
void Exchange::onCheck()
{
    if (!keyValid()) {
        giveUp({401, "unauthorized", "the key was withdrawn", "present a valid key"});
        return;
    }
    const Time now = Clock::now();
    if (m_shared->deps.fresh(now)) {
        armCheck();
        return;
    }
    m_shared->deps.whenFresh(now + renewalPatience, step(&Exchange::onRenewed));
}

void Exchange::onRenewed(bool fresh)
{
    if (m_ended) {
        return;
    }
    if (fresh) {
        onCheck();
        return;
    }
    giveUp({503, "unavailable", "this host lost the proof that its table is current", "ask another entry host"});
}

} // namespace banyanledge
