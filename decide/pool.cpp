// Requests, leases and customers of a pool; its servers are in poolservers.cpp.
#include "decide/pool.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace banyanledge
{

namespace
{

// Interval at which health, warm-up ramps and ejections are evaluated.
constexpr milliseconds refreshInterval{50};

// Limit of waiting requests per usable slot, and the minimum of the total limit; requests in a longer queue would be
// refused soon anyway.
constexpr std::size_t waitingPerSlot = 32;
constexpr std::size_t minQueueLimit = 64;

// Time for which a server that shed load gets half of its slots.
constexpr milliseconds shedReductionTime{500};

// A wait counts as excessive only if this fraction of the estimate exceeds the time left. The estimate is based on
// recent means, and refusing too early would refuse requests that could be served.
constexpr double estimateConfidence = 0.5;

// Weight of the newest value in moving averages.
constexpr double averageWeight = 0.1;

// Slot time assumed for a customer before one of its leases has ended, in seconds.
constexpr double assumedHoldSeconds = 0.02;

// Minimum slot time charged for a request, in seconds, so that virtual time always advances.
constexpr double minHoldSeconds = 0.0005;

// Largest credit of a customer that used less than its share, in requests that get slots before those of others.
// Without it, a customer well within its share waits behind a flood as soon as two of its requests come close together.
constexpr double creditRequests = 8;

// Number of waiting requests of one customer that are examined if the first one cannot use any free server.
constexpr std::size_t maxLookAhead = 8;

// Retry delay of requests that no server of the pool can run at present.
constexpr milliseconds unavailableRetryDelay{1000};

// Deadline of requests that specify none. After this time most requests of a host that died have ended.
constexpr milliseconds defaultDeadline{30000};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void updateAverage(double &mean, double value)
{
    mean = mean <= 0 ? value : mean + (value - mean) * averageWeight;
}

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

} // namespace

Pool::Pool(std::uint64_t firstId, Time now)
    : m_nextId(firstId)
    , m_refreshedAt(now)
{
}

std::uint64_t Pool::acquire(PoolRequest request, Time now)
{
    const std::uint64_t ticket = m_nextTicket++;
    Flow &flow = m_flows[request.customer];
    dequeueFlow(request.customer, flow);
    flow.weight = std::max(request.weight, 1e-3);
    flow.maxInFlight = request.maxInFlight;
    if (flow.waiting.empty()) {
        flow.start = std::max(earliestStart(flow), flow.finish);
    }
    m_waitDeadlines.emplace(std::min(request.waitUntil, request.deadline), ticket);
    const std::string customer = request.customer;
    const std::optional<Duration> excessive = excessiveWait(flow, request, now);
    flow.waiting.push_back({ticket, std::move(request)});
    m_waiterPositions[ticket] = {customer, std::prev(flow.waiting.end())};
    enqueueFlow(customer, flow);
    if (excessive) {
        refuse(ticket, proto::ERROR_OVERLOADED,
               "the estimated wait for a slot exceeds the time that the request may wait; retry later", *excessive);
    }
    shedExcessWaiter();
    return ticket;
}

void Pool::release(std::uint64_t id, proto::Outcome outcome, Duration latency, Time now)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        return;
    }
    const Lease &lease = found->second;
    Server &server = m_servers[lease.server];
    if (!lease.former) {
        server.health.recordOutcome(outcome, latency, now);
        server.reducedUntil = outcome == proto::OUTCOME_SHED ? now + shedReductionTime : server.reducedUntil;
    }
    m_usableSlotsOutdated =
        m_usableSlotsOutdated || outcome == proto::OUTCOME_SHED || outcome == proto::OUTCOME_LEAVING;
    if (!lease.adopted) {
        const double held = std::max(minHoldSeconds, seconds(now - lease.granted));
        updateAverage(m_holdSeconds, held);
        updateAverage(m_flows[lease.customer].holdSeconds, held);
    }
    endLease(id);
}

void Pool::cancel(const HostIncarnation &host, std::uint64_t request, Time now)
{
    for (const auto &[ticket, position] : m_waiterPositions) {
        const PoolRequest &queued = position.waiter->request;
        if (queued.host == host && queued.request == request) {
            removeWaiter(ticket);
            return;
        }
    }
    for (const auto &[id, lease] : m_leases) {
        if (lease.host == host && lease.request == request) {
            release(id, proto::OUTCOME_CANCELLED, {}, now);
            return;
        }
    }
}

void Pool::cancelTicket(std::uint64_t ticket)
{
    if (m_waiterPositions.contains(ticket)) {
        removeWaiter(ticket);
    }
}

void Pool::hostStarted(const HostIncarnation &current)
{
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : m_leases) {
        if (lease.host.id == current.id && lease.host.incarnation != current.incarnation) {
            ended.push_back(id);
        }
    }
    for (const std::uint64_t id : ended) {
        endLease(id);
    }
}

std::vector<PoolDecision> Pool::poll(Time now)
{
    expire(now);
    if (m_usableSlotsOutdated || now - m_refreshedAt >= refreshInterval) {
        refresh(now);
    }
    if (!m_recovering) {
        dispatch(now);
    }
    return std::exchange(m_decisions, {});
}

std::optional<Time> Pool::nextWakeTime() const
{
    std::optional<Time> wake;
    const auto consider = [&](Time time) { wake = wake ? std::min(*wake, time) : time; };
    if (!m_decisions.empty()) {
        consider(Time::min());
    }
    if (!m_leaseExpiries.empty()) {
        consider(m_leaseExpiries.begin()->first);
    }
    if (!m_waitDeadlines.empty()) {
        consider(m_waitDeadlines.begin()->first);
        consider(m_refreshedAt + refreshInterval);
    }
    return wake;
}

void Pool::startRecovery()
{
    m_recovering = true;
}

void Pool::adopt(const PoolLease &lease, Time now)
{
    const auto found = m_serverIndex.find(lease.server);
    if (found == m_serverIndex.end() || m_leases.contains(lease.id)) {
        return;
    }
    const Revision present = m_servers[found->second].info.incarnation;
    const Revision incarnation = lease.incarnation.value_or(present);
    const bool former = incarnation < present;
    const Time deadline = now + withDrift(lease.remaining);
    const Time expiry = former ? std::min(deadline, m_listedAt + withDrift(freshnessLease)) : deadline;
    m_leases[lease.id] = {found->second, lease.customer, lease.host, 0, now, expiry, true, incarnation, former};
    m_leaseExpiries.emplace(expiry, lease.id);
    ++m_servers[found->second].leases;
    ++m_flows[lease.customer].inFlight;
}

void Pool::finishRecovery(bool unknownHolders, Time now)
{
    m_recovering = false;
    m_usableSlotsOutdated = true;
    for (Server &server : m_servers) {
        server.unknownSlots = unknownHolders ? server.info.slots - std::min(server.info.slots, server.leases) : 0;
        server.unknownUntil = now + withDrift(maxDeadline);
    }
}

void Pool::limitUnknownSlots(const std::string &id, Time now)
{
    const auto found = m_serverIndex.find(id);
    if (found != m_serverIndex.end()) {
        Server &server = m_servers[found->second];
        server.unknownUntil = std::min(server.unknownUntil, now + withDrift(defaultDeadline));
    }
}

bool Pool::recovering() const
{
    return m_recovering;
}

std::vector<PoolLease> Pool::leases(Time now) const
{
    std::vector<PoolLease> result;
    for (const auto &[id, lease] : m_leases) {
        const Duration remaining = std::max(Duration{}, lease.expiry - now);
        result.push_back(
            {id, m_servers[lease.server].info.id, lease.customer, lease.host, remaining, lease.incarnation});
    }
    return result;
}

std::uint32_t Pool::leaseCount(const std::string &server) const
{
    const auto found = m_serverIndex.find(server);
    return found == m_serverIndex.end() ? 0 : m_servers[found->second].leases;
}

std::size_t Pool::waiting() const
{
    return m_waiterPositions.size();
}

proto::PoolLoad Pool::load(Time now) const
{
    proto::PoolLoad load;
    double warm = 0;
    double errors = 0;
    double latency = 0;
    std::uint32_t serving = 0;
    for (const Server &server : m_servers) {
        load.set_in_use(load.in_use() + server.leases + server.unknownSlots);
        if (acceptsRequests(server) && !server.health.ejected()) {
            load.set_slots(load.slots() + server.usableSlots);
            warm += server.health.warmFraction(now);
            errors += server.health.errorRate(now);
            latency += seconds(server.health.latency());
            ++serving;
        }
    }
    const double count = std::max(1U, serving);
    load.set_waiting(static_cast<std::uint32_t>(waiting()));
    load.set_warm(warm / count);
    load.set_error_rate(errors / count);
    load.set_latency_ms(latency * 1000 / count);
    return load;
}

void Pool::expire(Time now)
{
    while (!m_leaseExpiries.empty() && m_leaseExpiries.begin()->first <= now) {
        endLease(m_leaseExpiries.begin()->second);
    }
    while (!m_waitDeadlines.empty() && m_waitDeadlines.begin()->first <= now) {
        refuse(m_waitDeadlines.begin()->second, proto::ERROR_OVERLOADED,
               "no slot became free within the request's deadline; retry later",
               fromSeconds(std::max(m_holdSeconds, 0.01)));
    }
}

void Pool::dispatch(Time now)
{
    auto next = m_ready.begin();
    while (next != m_ready.end() && hasFreeSlot()) {
        const std::string customer = next->second;
        const double virtualStart = next->first;
        if (grantNext(customer, m_flows.at(customer), now)) {
            next = m_ready.begin();
        } else {
            next = m_ready.upper_bound({virtualStart, customer}); // its requests exclude every free server
        }
    }
    if (m_usableSlots == 0) {
        // Without a usable server, waiting is of no use; the caller can go to another region.
        while (!m_waiterPositions.empty()) {
            refuse(m_waiterPositions.begin()->first, proto::ERROR_OVERLOADED,
                   "no backend server of the pool accepts requests; retry later or in another region",
                   unavailableRetryDelay);
        }
    }
}

bool Pool::grantNext(const std::string &customer, Flow &flow, Time now)
{
    std::size_t examined = 0;
    for (auto waiter = flow.waiting.begin(); waiter != flow.waiting.end() && examined < maxLookAhead; ++examined) {
        if (!hasUsableServer(waiter->request)) {
            const std::uint64_t ticket = (waiter++)->ticket;
            refuse(ticket, proto::ERROR_OVERLOADED,
                   "this request already failed on every usable backend server of the pool; retry later",
                   unavailableRetryDelay);
            return true;
        }
        if (const std::optional<std::size_t> server = chooseServer(waiter->request.exclude)) {
            dequeueFlow(customer, flow);
            grant(flow, waiter, *server, now);
            enqueueFlow(customer, flow);
            return true;
        }
        ++waiter;
    }
    return false;
}

void Pool::grant(Flow &flow, std::list<Waiter>::iterator waiter, std::size_t index, Time now)
{
    Server &server = m_servers[index];
    const PoolRequest &request = waiter->request;
    const std::uint64_t id = m_nextId++;
    const Time expiry = now + withDrift(request.deadline - now);
    ++server.leases;
    BL_INVARIANT(server.leases + server.unknownSlots <= server.info.slots, "slots_never_exceeded");
    ++flow.inFlight;
    m_virtualTime = std::max(m_virtualTime, flow.start);
    flow.finish = flow.start + cost(flow);
    flow.start = flow.finish;
    m_leaseExpiries.emplace(expiry, id);
    m_decisions.push_back(
        {waiter->ticket,
         {proto::ERROR_NONE, {}, {}, id, server.info.id, server.info.address, server.info.incarnation}});
    m_waitDeadlines.erase({std::min(request.waitUntil, request.deadline), waiter->ticket});
    m_leases[id] = {index, request.customer,        request.host, request.request, now, expiry,
                    false, server.info.incarnation, false};
    m_waiterPositions.erase(waiter->ticket);
    flow.waiting.erase(waiter);
}

void Pool::refuse(std::uint64_t ticket, proto::ErrorKind kind, const std::string &message, Duration retryAfter)
{
    m_decisions.push_back({ticket, {kind, message, retryAfter, 0, {}, {}}});
    removeWaiter(ticket);
}

// Server with the lowest utilization of its slots; equally loaded ones alternate.
std::optional<std::size_t> Pool::chooseServer(const std::vector<std::string> &exclude)
{
    std::optional<std::size_t> best;
    std::uint64_t bestUsed = 0;
    std::uint64_t bestUsable = 1;
    const std::size_t count = m_servers.size();
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = m_rotation + step < count ? m_rotation + step : m_rotation + step - count;
        const Server &server = m_servers[index];
        const std::uint64_t used = server.leases + server.unknownSlots;
        if (used >= server.usableSlots || (best && used * bestUsable >= bestUsed * server.usableSlots)
            || contains(exclude, server.info.id)) {
            continue;
        }
        best = index;
        bestUsed = used;
        bestUsable = server.usableSlots;
        if (used == 0) {
            break;
        }
    }
    if (best) {
        m_rotation = (*best + 1) % count;
    }
    return best;
}

// Whether the request can use any server that accepts requests.
bool Pool::hasUsableServer(const PoolRequest &request) const
{
    if (request.exclude.empty()) {
        return true;
    }
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const Server &server) {
        return server.usableSlots > 0 && !contains(request.exclude, server.info.id);
    });
}

// Returns the estimated wait, based on the customer's share of the slots and on recent lease durations, if it is too
// long for the request; nullopt if the request should wait.
std::optional<Duration> Pool::excessiveWait(const Flow &flow, const PoolRequest &request, Time now) const
{
    if (m_recovering || m_usableSlots == 0 || m_holdSeconds <= 0 || (flow.waiting.empty() && hasFreeSlot())) {
        return std::nullopt;
    }
    const double hold = flow.holdSeconds > 0 ? flow.holdSeconds : m_holdSeconds;
    double slots = m_usableSlots * flow.weight / (m_readyWeight + flow.weight);
    if (flow.maxInFlight) {
        slots = std::min(slots, static_cast<double>(*flow.maxInFlight));
    }
    const Duration wait = fromSeconds(static_cast<double>(flow.waiting.size()) * hold / std::max(slots, 1e-3));
    const Duration left = std::min(request.waitUntil, request.deadline) - now;
    if (fromSeconds(seconds(wait) * estimateConfidence) <= left) {
        return std::nullopt;
    }
    return wait;
}

// If too many requests wait, refuses the newest one of the customer with the longest queue relative to its weight.
void Pool::shedExcessWaiter()
{
    if (m_waiterPositions.size() <= std::max(minQueueLimit, waitingPerSlot * m_usableSlots)) {
        return;
    }
    const Flow *longest = nullptr;
    for (const auto &[customer, flow] : m_flows) {
        const auto length = static_cast<double>(flow.waiting.size());
        if (length > 0
            && (longest == nullptr
                || length * longest->weight > static_cast<double>(longest->waiting.size()) * flow.weight)) {
            longest = &flow;
        }
    }
    refuse(longest->waiting.back().ticket, proto::ERROR_OVERLOADED, "the pool's queue is full; retry later",
           fromSeconds(std::max(m_holdSeconds, 0.01)));
}

void Pool::removeWaiter(std::uint64_t ticket)
{
    const WaiterPosition position = m_waiterPositions.at(ticket);
    Flow &flow = m_flows.at(position.customer);
    const PoolRequest &request = position.waiter->request;
    dequeueFlow(position.customer, flow);
    m_waitDeadlines.erase({std::min(request.waitUntil, request.deadline), ticket});
    m_waiterPositions.erase(ticket);
    flow.waiting.erase(position.waiter);
    enqueueFlow(position.customer, flow);
}

void Pool::endLease(std::uint64_t id)
{
    const auto found = m_leases.find(id);
    const std::string customer = found->second.customer;
    Flow &flow = m_flows[customer];
    dequeueFlow(customer, flow);
    --m_servers[found->second.server].leases;
    --flow.inFlight;
    m_leaseExpiries.erase({found->second.expiry, id});
    m_leases.erase(found);
    enqueueFlow(customer, flow);
}

// Virtual time charged for one request of the customer.
double Pool::cost(const Flow &flow) const
{
    const double hold = flow.holdSeconds > 0 ? flow.holdSeconds : std::max(m_holdSeconds, assumedHoldSeconds);
    return std::max(hold, minHoldSeconds) / flow.weight;
}

double Pool::earliestStart(const Flow &flow) const
{
    return m_virtualTime - creditRequests * cost(flow);
}

// Makes the customer eligible for the next slot. Its credit stays limited to creditRequests, also after it spent
// time at its limit of requests in flight.
void Pool::enqueueFlow(const std::string &customer, Flow &flow)
{
    if (flow.ready || flow.waiting.empty() || !belowInFlightLimit(flow)) {
        return;
    }
    flow.start = std::max(flow.start, earliestStart(flow));
    flow.ready = true;
    m_ready.emplace(flow.start, customer);
    m_readyWeight += flow.weight;
}

void Pool::dequeueFlow(const std::string &customer, Flow &flow)
{
    if (flow.ready) {
        m_ready.erase({flow.start, customer});
        m_readyWeight -= flow.weight;
        flow.ready = false;
    }
}

bool Pool::belowInFlightLimit(const Flow &flow) const
{
    return !flow.maxInFlight || flow.inFlight < *flow.maxInFlight;
}

bool Pool::hasFreeSlot() const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [](const Server &server) { return server.leases + server.unknownSlots < server.usableSlots; });
}

} // namespace banyanledge
