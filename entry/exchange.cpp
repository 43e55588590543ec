#include "entry/exchange.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "base/digest.h"
#include "base/error.h"
#include "base/invariant.h"
#include "base/metrics.h"
#include "decide/pacing.h"

namespace banyanledge
{

namespace
{

// How long a new request waits for the renewal of an expired freshness lease before it is refused.
constexpr milliseconds freshnessTimeout{500};

// How long a request waits for the token of a shift before it stays in its region.
constexpr milliseconds shiftTokenTimeout{100};

// How long to retry the completion or release of a claim.
constexpr std::chrono::seconds settlementTimeout{10};

constexpr std::size_t maxRequestIdLength = 128;

// Shorter keys are not searched for in the rest of the request, where they could occur by chance. Issued keys have 64
// characters.
constexpr std::size_t minSearchedKeyLength = 16;

constexpr std::array<const char *, 5> idempotentMethods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};

bool isIdempotent(const std::string &method)
{
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

std::shared_ptr<void> countInFlight(const std::shared_ptr<RequestPathState> &shared)
{
    // Holds the counter only: writes may outlast the server, and the shared state holds their io_context.
    const auto inFlight = shared->inFlight;
    ++*inFlight;
    return {inFlight.get(), [inFlight](void *) { --*inFlight; }};
}

std::optional<std::uint32_t> parseMilliseconds(const std::string &text)
{
    std::uint32_t value = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    return error == std::errc() && end == last ? std::optional(value) : std::nullopt;
}

// Whether the key also occurs in another part of the request, which would disclose it to a backend server.
bool keyRepeatedElsewhere(const Request &request, const std::string &key)
{
    if (key.size() < minSearchedKeyLength) {
        return false;
    }
    return request.target.find(key) != std::string::npos
        || std::any_of(request.headers.begin(), request.headers.end(), [&](const Header &header) {
               return !equalsIgnoreCase(header.name, keyHeader) && header.value.find(key) != std::string::npos;
           });
}

Refusal invalid(const std::string &message, const std::string &remedy)
{
    return {400, "invalid", message, remedy, ExecutionOutcome::NotRun};
}

const Refusal unauthorized{401, "unauthorized", "the key is missing, unknown or withdrawn",
                           "present a valid key in the header Banyanledge-Key", ExecutionOutcome::NotRun};

const Refusal notFresh{503, "unavailable", "this host cannot confirm that its table is current",
                       "request another entry host with GET /v1/lookup", ExecutionOutcome::NotRun};

} // namespace

Exchange::Exchange(std::shared_ptr<RequestPathState> shared, Request request, ResponseWriter response)
    : m_shared(std::move(shared))
    , m_inFlight(countInFlight(m_shared))
    , m_request(std::move(request))
    , m_response(std::move(response))
    , m_strand(asio::make_strand(*m_shared->context))
    , m_deadlineTimer(m_strand)
    , m_recheckTimer(m_strand)
    , m_retryTimer(m_strand)
    , m_arrivalTime(Clock::now())
{
    m_response.holdUntilWritten(m_inFlight);
}

Exchange::~Exchange()
{
    if (!m_ended) {
        releaseSlot(proto::OUTCOME_CANCELLED); // the host stops without waiting for this request
    }
    BL_INVARIANT(m_slotsTaken == m_slotsReleased, "in_flight_released_once");
}

void Exchange::start()
{
    asio::dispatch(m_strand, [self = shared_from_this()] { self->begin(); });
}

void Exchange::runAt(Timer &timer, Time when, void (Exchange::*next)())
{
    timer.start(when, [self = shared_from_this(), next] {
        if (!self->m_ended) {
            (self.get()->*next)();
        }
    });
}

void Exchange::begin()
{
    m_response.onDisconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            asio::dispatch(self->m_strand, [self] { self->onClientDisconnect(); });
        }
    });
    if (const auto refusal = parseRequest()) {
        refuseOrAbort(*refusal);
        return;
    }
    startDeadlineTimer();
    const Time now = Clock::now();
    if (m_shared->deps.fresh(now)) {
        authorize();
        return;
    }
    m_shared->deps.whenFresh(std::min(m_deadline, now + freshnessTimeout), bindStep(&Exchange::onFreshnessWaitEnded));
}

// Reads service, method, deadline and request id. RequestPath has checked that the target starts with "/s/".
std::optional<Refusal> Exchange::parseRequest()
{
    const auto path = m_request.target.find_first_of("/?", 3);
    m_service = m_request.target.substr(3, path == std::string::npos ? path : path - 3);
    m_target = path == std::string::npos ? "/" : m_request.target.substr(path);
    if (m_target.front() != '/') {
        m_target.insert(0, "/");
    }
    m_idempotent = isIdempotent(m_request.method);
    for (const char *single : {keyHeader, deadlineHeader, requestIdHeader}) {
        if (countHeaders(m_request.headers, single) > 1) {
            return invalid(std::string("the header ") + single + " is repeated", "send it once");
        }
    }
    m_deadline = m_arrivalTime + milliseconds(m_shared->settings.default_deadline_ms());
    if (const auto *header = findHeader(m_request.headers, deadlineHeader)) {
        const auto value = parseMilliseconds(header->value);
        if (!value || *value == 0 || milliseconds(*value) > maxDeadline) {
            return invalid("the deadline is not a number of milliseconds from 1 to 600000",
                           "correct the header Banyanledge-Deadline-Ms");
        }
        m_deadline = m_arrivalTime + milliseconds(*value);
    }
    if (const auto *header = findHeader(m_request.headers, requestIdHeader)) {
        if (header->value.empty() || header->value.size() > maxRequestIdLength) {
            return invalid("the request id is empty or longer than 128 characters",
                           "send 1 to 128 characters in the header Banyanledge-Request-Id");
        }
        m_requestId = header->value;
    }
    return {};
}

void Exchange::onFreshnessWaitEnded(bool fresh)
{
    if (m_ended) {
        return;
    }
    if (!fresh) {
        refuseOrAbort(notFresh);
        return;
    }
    authorize();
}

void Exchange::authorize()
{
    const auto view = m_shared->deps.view();
    if (!view->hasService(m_service)) {
        m_service.clear(); // unknown names from clients must not become metric labels
        refuseOrAbort({404, "not_found", "no backend server offers this service", "name a service of the platform"});
        return;
    }
    if (const auto refusal = findCustomer(*view)) {
        refuseOrAbort(*refusal);
        return;
    }
    scheduleRecheck();
    chooseRegions(*view);
}

std::optional<Refusal> Exchange::findCustomer(const View &view)
{
    const auto *key = findHeader(m_request.headers, keyHeader);
    if (key == nullptr) {
        return view.servesWithoutKey(m_service) ? std::nullopt : std::optional(unauthorized);
    }
    if (keyRepeatedElsewhere(m_request, key->value)) {
        return invalid("the key occurs outside of the header Banyanledge-Key", "send it in this header only");
    }
    m_keyDigest = sha256(key->value);
    const auto *customer = view.customerOfKey(m_keyDigest);
    if (customer == nullptr) {
        return unauthorized;
    }
    m_customer = customer->name();
    return {};
}

void Exchange::chooseRegions(const View &view)
{
    const RouteRequest route{m_service, m_customer, m_shared->self.region()};
    const auto loads = m_shared->deps.poolLoads();
    const Time now = Clock::now();
    {
        const std::lock_guard lock(m_shared->routingStateMutex);
        m_regionChoices = routeRegions(route, view, loads, m_shared->routingState, now);
    }
    {
        const std::lock_guard lock(m_shared->retryBudgetsMutex);
        addRetryCredit(m_shared->retryBudgets[m_service], now);
    }
    if (m_regionChoices.empty()) {
        refuseOrAbort({503, "unavailable", "no region accepts requests for this service", "try again later"});
    } else if (m_regionChoices.front().shift.empty()) {
        takeCustomerToken();
    } else {
        m_shared->deps.takeTokens(shiftResource(m_regionChoices.front().shift), 1,
                                  std::min(m_deadline, now + shiftTokenTimeout), bindStep(&Exchange::onShiftToken));
    }
}

// Without a token of the shift the request goes to the next region; it is refused if there is none.
void Exchange::onShiftToken(const AdmissionResult &admission)
{
    const bool granted = admission.kind == proto::ERROR_NONE;
    if (m_ended) {
        if (granted) {
            m_shared->deps.returnTokens(shiftResource(m_regionChoices.front().shift), 1);
        }
        return;
    }
    if (granted) {
        m_shiftOfToken = m_regionChoices.front().shift;
    } else if (m_regionChoices.size() > 1) {
        m_regionChoices.erase(m_regionChoices.begin());
    } else {
        refuseOrAbort({503, "overloaded", "the shift of this service granted no token to this request", "try again"});
        return;
    }
    takeCustomerToken();
}

void Exchange::takeCustomerToken()
{
    if (m_customer.empty()) {
        claim();
        return;
    }
    m_shared->deps.takeTokens(customerResource(m_customer), 1, m_deadline, bindStep(&Exchange::onCustomerToken));
}

void Exchange::onCustomerToken(const AdmissionResult &admission)
{
    const bool granted = admission.kind == proto::ERROR_NONE;
    if (m_ended) {
        if (granted) {
            m_shared->deps.returnTokens(customerResource(m_customer), 1);
        }
        return;
    }
    if (!granted) {
        const bool limited = admission.kind == proto::ERROR_RATE_LIMITED;
        refuseOrAbort({limited ? 429 : 503, kindName(admission.kind), admission.message,
                       limited ? "send fewer requests or ask for a higher rate" : "try again", ExecutionOutcome::NotRun,
                       admission.retryAfter});
        return;
    }
    m_customerTokenTaken = true;
    claim();
}

proto::Command Exchange::newCommand() const
{
    proto::Command command;
    command.set_change_id("request/" + m_shared->self.id() + "/" + toHex(std::to_string(randomId())));
    command.set_actor(m_shared->self.id());
    return command;
}

void Exchange::claim()
{
    if (m_idempotent) {
        takeRequestBodyTokens();
        return;
    }
    if (m_requestId.empty()) {
        m_requestId = m_shared->self.id() + "/" + std::to_string(randomId());
    }
    auto command = newCommand();
    m_claimChangeId = command.change_id();
    auto &claim = *command.mutable_claim();
    claim.set_customer(m_customer);
    claim.set_request_id(m_requestId);
    claim.set_host(m_shared->self.id());
    claim.set_incarnation(m_shared->self.incarnation());
    m_claim = ClaimStep::Requested;
    m_shared->deps.propose(command, m_deadline,
                           [next = bindStep(&Exchange::onClaim)](const proto::CommandResult &result) { next(result); });
}

void Exchange::onClaim(const proto::CommandResult &result)
{
    const bool granted = result.kind() == proto::ERROR_NONE;
    m_claim = granted || result.kind() == proto::ERROR_TIMEOUT ? ClaimStep::Held : ClaimStep::None;
    if (m_ended) {
        settleClaim();
        return;
    }
    if (granted) {
        takeRequestBodyTokens();
        return;
    }
    const auto &found = result.claim();
    if (result.has_claim() && found.state() == proto::CLAIM_COMPLETED) {
        refuseOrAbort({409, "exists",
                       "a request with this id ran and was answered with status " + std::to_string(found.status()),
                       "use a new request id for a new request", ExecutionOutcome::Ran});
    } else if (result.has_claim()) {
        refuseOrAbort({409, "conflict", "a request with this id was accepted and has no known result yet",
                       "ask again later with the same id", ExecutionOutcome::Unknown});
    } else {
        refuseOrAbort({503, kindName(result.kind()), result.message(), "try again with the same request id"});
    }
}

// Takes the bytes of a short body from this host's share of the link capacity reserved for short bodies; false when the
// share is used up, so that the link's token bucket has to grant them.
bool Exchange::takeShortBodyBytes(const std::string &link, std::uint64_t bytes)
{
    const auto view = m_shared->deps.view();
    const auto rate = static_cast<double>(m_shared->settings.link_bytes_per_second());
    const std::lock_guard lock(m_shared->linksMutex);
    if (view->revision() > m_shared->entryHostsRevision) {
        const auto &members = view->members();
        m_shared->entryHosts =
            static_cast<unsigned>(std::count_if(members.begin(), members.end(), [](const auto &member) {
                return member.second.entry() && member.second.state() == proto::MEMBER_LIVE;
            }));
        m_shared->entryHostsRevision = view->revision();
    }
    return takeShortBody(m_shared->links[link].shortBytes, bytes, m_shared->entryHosts, rate, Clock::now());
}

// Bytes that a body requests from the link's token bucket next; 0 while it counts as short.
std::uint64_t Exchange::nextPortionBytes(const std::string &link, std::uint64_t sent, std::uint64_t remaining)
{
    const auto rate = static_cast<double>(m_shared->settings.link_bytes_per_second());
    const std::lock_guard lock(m_shared->linksMutex);
    const unsigned others = m_shared->links[link].activeLongBodies - (m_longBody ? 1 : 0);
    const auto portion = nextChunkBytes(sent, remaining, others + 1, rate);
    if (portion > 0 && !m_longBody) {
        ++m_shared->links[link].activeLongBodies;
        m_longBody = {m_shared.get(), [shared = m_shared, link](void *) {
                          const std::lock_guard ending(shared->linksMutex);
                          --shared->links[link].activeLongBodies;
                      }};
    }
    return portion;
}

// Takes link tokens for a request body that goes to another region, for a long body in portions.
void Exchange::takeRequestBodyTokens()
{
    m_body = m_body ? m_body : std::make_shared<const std::string>(std::move(m_request.body));
    const auto remaining = m_body->size() - m_requestBodyLinkBytes;
    if (!m_regionChoices[m_regionIndex].crossRegion || remaining == 0) {
        m_longBody.reset();
        takeSlot();
        return;
    }
    const auto link = linkResource(m_shared->self.region(), m_regionChoices[m_regionIndex].region);
    auto portion = nextPortionBytes(link, m_requestBodyLinkBytes, remaining);
    if (portion == 0 && takeShortBodyBytes(link, remaining)) {
        takeSlot();
        return;
    }
    portion = portion == 0 ? remaining : portion;
    m_requestBodyLinkBytes += portion;
    m_shared->deps.takeTokens(link, static_cast<double>(portion), m_deadline, bindStep(&Exchange::onRequestBodyTokens));
}

void Exchange::onRequestBodyTokens(const AdmissionResult &admission)
{
    if (m_ended) {
        return;
    }
    if (admission.kind != proto::ERROR_NONE) {
        refuseOrAbort({503, kindName(admission.kind),
                       "the link to the region of the backend server granted no tokens for the request body in time",
                       "try again", ExecutionOutcome::NotRun, admission.retryAfter});
        return;
    }
    takeRequestBodyTokens();
}

void Exchange::startDeadlineTimer()
{
    runAt(m_deadlineTimer, m_deadline, &Exchange::onDeadline);
}

void Exchange::onDeadline()
{
    refuseOrAbort({504, "timeout", "the deadline of the request has passed",
                   "allow more time in the header Banyanledge-Deadline-Ms"});
}

void Exchange::onClientDisconnect()
{
    if (m_ended) {
        return;
    }
    stopAttempt(proto::OUTCOME_CANCELLED);
    end("cancelled");
}

void Exchange::refuseOrAbort(const Refusal &refusal)
{
    if (m_ended) {
        return;
    }
    stopAttempt(proto::OUTCOME_CANCELLED);
    if (m_status) {
        countMetric("banyanledge_cut_answers_total", {{"service", m_service}, {"reason", refusal.kind}});
        m_response.abort();
        end("cut");
        return;
    }
    Refusal sent = refusal;
    if (m_mayHaveRun && sent.outcome == ExecutionOutcome::NotRun) {
        sent.outcome = ExecutionOutcome::Unknown;
    }
    refuse(m_response, sent, m_service, m_customer);
    end("refused");
}

// Ends the current attempt, if any, and records whether anything was sent.
void Exchange::stopAttempt(proto::Outcome outcome)
{
    if (m_dispatchState) {
        auto expected = DispatchState::Waiting;
        if (!m_dispatchState->compare_exchange_strong(expected, DispatchState::Stopped)
            && expected == DispatchState::Sent) {
            m_mayHaveRun = true;
        }
        m_dispatchState.reset();
    }
    ++m_attemptNumber; // later updates of this attempt are ignored
    m_transfer.reset();
    releaseSlot(outcome);
}

void Exchange::releaseSlot(proto::Outcome outcome)
{
    if (!m_slot) {
        return;
    }
    const SlotLease lease = std::move(*m_slot);
    m_slot.reset();
    ++m_slotsReleased;
    m_shared->deps.releaseSlot(lease, outcome,
                               m_firstByteLatency > Duration(0) ? m_firstByteLatency : Clock::now() - m_dispatchTime);
}

void Exchange::end(const char *result)
{
    BL_INVARIANT(!m_ended && m_slotsTaken == m_slotsReleased, "in_flight_released_once");
    m_ended = true;
    m_deadlineTimer.stop();
    m_recheckTimer.stop();
    m_retryTimer.stop();
    m_longBody.reset();
    settleClaim();
    returnUnusedTokens();
    countMetric("banyanledge_requests_total", {{"service", m_service}, {"outcome", result}});
    observeMetric("banyanledge_request_seconds", {{"service", m_service}},
                  std::chrono::duration<double>(Clock::now() - m_arrivalTime).count());
}

// Completes the claim of a request that ran and releases the claim of one that certainly did not run. Otherwise the
// claim stays, so that a resent request is told that the outcome is unknown.
void Exchange::settleClaim()
{
    if (m_claim != ClaimStep::Held) {
        return;
    }
    m_claim = ClaimStep::None;
    auto command = newCommand();
    if (m_status) {
        auto &completed = *command.mutable_complete_claim();
        completed.set_customer(m_customer);
        completed.set_request_id(m_requestId);
        completed.set_host(m_shared->self.id());
        completed.set_incarnation(m_shared->self.incarnation());
        completed.set_status(static_cast<std::uint32_t>(*m_status));
        completed.set_claim_change_id(m_claimChangeId);
        proposeSettlement(command);
    } else if (!m_mayHaveRun) {
        auto &released = *command.mutable_release_claim();
        released.set_customer(m_customer);
        released.set_request_id(m_requestId);
        released.set_host(m_shared->self.id());
        released.set_incarnation(m_shared->self.incarnation());
        released.set_claim_change_id(m_claimChangeId);
        proposeSettlement(command);
    }
}

void Exchange::proposeSettlement(const proto::Command &command)
{
    m_shared->deps.propose(command, Clock::now() + settlementTimeout,
                           [inFlight = m_inFlight](const proto::CommandResult &result) {
                               if (result.kind() != proto::ERROR_NONE) {
                                   countMetric("banyanledge_unsettled_claims_total");
                               }
                           });
}

void Exchange::returnUnusedTokens()
{
    if (m_mayHaveRun || m_status) {
        return;
    }
    if (m_customerTokenTaken) {
        m_shared->deps.returnTokens(customerResource(m_customer), 1);
    }
    if (!m_shiftOfToken.empty()) {
        m_shared->deps.returnTokens(shiftResource(m_shiftOfToken), 1);
    }
}

} // namespace banyanledge
