#include "decide/bucket.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace banyanledge
{

namespace
{

// Time after a holder's last call during which its wanted tokens count when scarce tokens are divided.
constexpr milliseconds sharingWindow{200};

// Interval of the check for holders that stopped calling.
constexpr milliseconds holderCheckInterval{20};

// Time for which a reservation is kept after its holder should have called again.
constexpr milliseconds reservationGrace{100};

// Bounds of the delay that the owner asks for between two calls; the upper one lets a raised rate take effect soon.
constexpr milliseconds maxRetryDelay{1000};
constexpr milliseconds minRetryDelay{1};

// Age of a grant at which its unused tokens are returned to the owner, well before the grant expires.
constexpr milliseconds unusedReturnDelay{400};

// Maximum delay of a report of spent tokens; the bucket refills only tokens that are known as spent.
constexpr milliseconds reportInterval{100};

// Time constant of the demand estimate.
constexpr double demandTimeConstant = 0.2; // seconds

// Tolerance for rounding in comparisons of token counts.
constexpr double epsilon = 1e-9;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Bucket::Bucket(RateLimit limit, Time start, std::uint64_t firstGrantId)
    : Bucket(limit, 0, limit.burst, grantLifetime, start, firstGrantId)
{
}

Bucket::Bucket(RateLimit limit, double tokens, double granted, Duration term, Time now, std::uint64_t firstGrantId)
    : m_limit(limit)
    , m_updated(now)
    , m_lastRequested(now)
    , m_nextId(firstGrantId)
{
    if (granted > 0) {
        addGrant(m_nextId++, granted, now + withDrift(term));
    }
    m_tokens = std::clamp(tokens, 0.0, std::max(0.0, limit.burst - m_unspent));
}

void Bucket::setLimit(RateLimit limit, Time now)
{
    if (limit == m_limit) {
        return;
    }
    advance(now);
    m_limit = limit;
    m_tokens = std::clamp(m_tokens, 0.0, std::max(0.0, limit.burst - m_unspent));
}

GrantReply Bucket::handleRequest(const GrantRequest &request, Time now)
{
    advance(now);
    for (const GrantUse &use : request.uses) {
        recordUse(use);
    }
    removeInactiveHolders(now);
    m_lastRequested = now;
    Holder &holder = m_holders[request.holder];
    if (request.call <= holder.call) {
        return {0, 0, minRetryDelay};
    }
    holder.call = request.call;
    holder.requestedAt = now;
    if (request.want <= 0) {
        return {}; // only a report; a reservation of the holder stays
    }
    setWant(holder, request.want);
    const double available = m_tokens - reservedBefore(holder);
    const double minGrant = std::max(request.minUseful, 1.0);
    if (available + epsilon < minGrant) {
        const Duration retry = retryAfter(minGrant - available);
        if (request.minUseful > 0) {
            reserve(holder, minGrant, now + retry + reservationGrace);
        }
        return {0, 0, retry};
    }
    const double share = std::max(minGrant, std::floor(fairShare(holder, available) + epsilon));
    cancelReservation(holder);
    GrantReply reply{std::min(share, std::max(minGrant, std::ceil(request.want))), m_nextId++, {}};
    m_tokens = std::max(0.0, m_tokens - reply.granted);
    addGrant(reply.id, reply.granted, now + withDrift(grantLifetime));
    BL_INVARIANT(m_tokens + m_unspent <= m_limit.burst + 1e-6 || m_tokens <= 0, "bucket_within_burst");
    return reply;
}

double Bucket::tokens(Time now)
{
    advance(now);
    return m_tokens;
}

double Bucket::unspent(Time now)
{
    advance(now);
    return m_unspent;
}

RateLimit Bucket::limit() const
{
    return m_limit;
}

Time Bucket::lastRequested() const
{
    return m_lastRequested;
}

// Expires grants in order of time and refills up to each expiry, with the same result as continuous refilling.
void Bucket::advance(Time now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto [expiry, id] = *m_expiries.begin();
        refill(expiry);
        const Grant &grant = m_grants.at(id);
        m_unspent -= grant.amount - grant.spent - grant.returned;
        m_grants.erase(id);
        m_expiries.erase(m_expiries.begin());
    }
    refill(now);
    if (m_grants.empty()) {
        m_unspent = 0;
    }
}

void Bucket::refill(Time until)
{
    if (until <= m_updated) {
        return;
    }
    const double capacity = std::max(0.0, m_limit.burst - m_tokens - m_unspent);
    m_tokens += std::min(capacity, m_limit.rate * seconds(until - m_updated));
    m_updated = until;
}

void Bucket::recordUse(const GrantUse &use)
{
    const auto found = m_grants.find(use.id);
    if (found == m_grants.end()) {
        return; // expired and counted as spent, or granted by an earlier owner
    }
    Grant &grant = found->second;
    const double returned = std::clamp(use.returned, grant.returned, grant.amount - grant.spent);
    m_tokens += returned - grant.returned;
    m_unspent -= returned - grant.returned;
    grant.returned = returned;
    const double spent = std::clamp(use.spent, grant.spent, grant.amount - grant.returned);
    m_unspent -= spent - grant.spent;
    grant.spent = spent;
    if (grant.spent + grant.returned >= grant.amount) {
        m_expiries.erase({grant.expiry, use.id});
        m_grants.erase(found);
    }
    m_tokens = std::min(m_tokens, std::max(0.0, m_limit.burst - m_unspent));
}

void Bucket::addGrant(std::uint64_t id, double amount, Time expiry)
{
    m_grants[id] = {amount, 0, 0, expiry};
    m_expiries.emplace(expiry, id);
    m_unspent += amount;
}

// Visits all holders only once per interval; with many holders this would otherwise dominate the cost of a call.
void Bucket::removeInactiveHolders(Time now)
{
    if (now - m_holdersCheckedAt < holderCheckInterval) {
        return;
    }
    m_holdersCheckedAt = now;
    m_wantedSum = 0;
    for (auto entry = m_holders.begin(); entry != m_holders.end();) {
        Holder &holder = entry->second;
        const auto reservation = m_reservations.find(holder.queueNumber);
        if (reservation != m_reservations.end() && reservation->second.expiry <= now) {
            cancelReservation(holder);
        }
        holder.want = now - holder.requestedAt > sharingWindow ? 0 : holder.want;
        m_wantedSum += holder.want;
        entry = now - holder.requestedAt > maxDeadline ? m_holders.erase(entry) : std::next(entry);
    }
}

void Bucket::setWant(Holder &holder, double want)
{
    m_wantedSum += want - holder.want;
    holder.want = want;
}

void Bucket::reserve(Holder &holder, double amount, Time until)
{
    holder.queueNumber = holder.queueNumber > 0 ? holder.queueNumber : m_nextQueueNumber++;
    Reservation &reservation = m_reservations[holder.queueNumber];
    m_reservedSum += amount - reservation.tokens;
    reservation = {amount, until};
}

void Bucket::cancelReservation(Holder &holder)
{
    const auto found = m_reservations.find(holder.queueNumber);
    if (found != m_reservations.end()) {
        m_reservedSum -= found->second.tokens;
        m_reservations.erase(found);
    }
    m_reservedSum = m_reservations.empty() ? 0 : m_reservedSum;
    holder.queueNumber = 0;
}

// Tokens reserved for holders that began to wait earlier; without this, holders that call often would take all tokens.
double Bucket::reservedBefore(const Holder &holder) const
{
    if (holder.queueNumber == 0) {
        return m_reservedSum;
    }
    double sum = 0;
    for (auto reservation = m_reservations.begin();
         reservation != m_reservations.end() && reservation->first < holder.queueNumber; ++reservation) {
        sum += reservation->second.tokens;
    }
    return sum;
}

double Bucket::fairShare(const Holder &holder, double available) const
{
    return m_wantedSum <= available ? holder.want : available * holder.want / m_wantedSum;
}

Duration Bucket::retryAfter(double missing) const
{
    Duration wait = maxRetryDelay;
    if (m_tokens + m_unspent >= m_limit.burst && !m_expiries.empty()) {
        // Nothing refills before a grant is reported as spent or expires. The time of a report is unknown, so retry
        // soon.
        wait = std::max<Duration>(m_expiries.begin()->first - m_updated, minRetryDelay);
        wait = m_limit.rate > 0 ? std::min<Duration>(wait, reportInterval / 2) : wait;
    } else if (m_limit.rate > 0) {
        wait = fromSeconds(std::min(missing / m_limit.rate, seconds(maxRetryDelay)));
    }
    return std::clamp<Duration>(wait, minRetryDelay, maxRetryDelay);
}

TokenCache::TokenCache(HostIncarnation self, Time created)
    : m_holder(std::move(self))
    , m_callNumber(static_cast<std::uint64_t>(created.time_since_epoch().count()))
{
}

void TokenCache::recordDemand(double amount, Time now)
{
    m_demand = m_demand * std::exp(-seconds(now - m_demandAt) / demandTimeConstant) + amount;
    m_demandAt = now;
}

double TokenCache::demand(Time now) const
{
    return m_demand * std::exp(-seconds(now - m_demandAt) / demandTimeConstant) / demandTimeConstant;
}

bool TokenCache::take(double amount, Time now)
{
    if (available(now) + epsilon < amount) {
        return false;
    }
    for (Grant &grant : m_grants) {
        const double part = std::min(amount, grant.remaining());
        grant.use.spent += part;
        amount -= part;
        if (amount <= epsilon) {
            break;
        }
    }
    return true;
}

double TokenCache::refund(double amount, Time now)
{
    dropExpired(now);
    double reversed = 0;
    for (auto grant = m_grants.rbegin(); grant != m_grants.rend() && reversed < amount; ++grant) {
        const double part = std::min(amount - reversed, grant->use.spent - grant->reported.spent);
        grant->use.spent -= part;
        reversed += part;
    }
    return reversed;
}

std::optional<GrantRequest> TokenCache::nextRequest(double waiting, double minUseful, Time now)
{
    if (m_callPending) {
        return std::nullopt;
    }
    const double held = available(now);
    const double target = stockTarget(now);
    const bool wants = now >= m_nextCallAt && (waiting > 0 || (target >= 1 && held < target / 2));
    if (!wants && !reportDue(now)) {
        return std::nullopt;
    }
    GrantRequest request{m_holder, ++m_callNumber, 0, 0, {}};
    if (wants) {
        request.want = waiting + std::max(0.0, std::floor(target - held));
        request.want = std::max(request.want, 1.0);
        request.minUseful = waiting > 0 ? std::max(0.0, minUseful - held) : 0;
    }
    for (Grant &grant : m_grants) {
        if (now - grant.requestedAt > unusedReturnDelay && waiting <= 0) {
            grant.use.returned += grant.remaining();
        }
        grant.reported = grant.use;
        request.uses.push_back(grant.use);
    }
    m_callPending = true;
    m_requestedAt = now;
    m_reportedAt = now;
    return request;
}

void TokenCache::handleReply(const GrantReply &reply, Duration term, Time now)
{
    m_callPending = false;
    m_roundTrip = (m_roundTrip * 7 + (now - m_requestedAt)) / 8;
    std::erase_if(m_grants, [](const Grant &grant) { return grant.remaining() <= 0 && grant.use == grant.reported; });
    if (reply.granted > 0) {
        m_grants.push_back({{reply.id, 0, 0}, {reply.id, 0, 0}, reply.granted, m_requestedAt, m_requestedAt + term});
        m_nextCallAt = now;
    } else {
        m_nextCallAt = now + reply.retryAfter;
    }
}

void TokenCache::handleFailure(Duration delay, Time now)
{
    m_callPending = false;
    m_nextCallAt = now + delay;
}

void TokenCache::clearRetryDelay()
{
    m_nextCallAt = Time{};
}

bool TokenCache::callPending() const
{
    return m_callPending;
}

double TokenCache::available(Time now)
{
    dropExpired(now);
    double sum = 0;
    for (const Grant &grant : m_grants) {
        sum += grant.remaining();
    }
    return sum;
}

bool TokenCache::idle(Time now)
{
    dropExpired(now);
    return !m_callPending && m_grants.empty() && demand(now) < 0.01;
}

Duration TokenCache::retryAfter(Time now) const
{
    return std::max<Duration>(m_nextCallAt - now, Duration{});
}

void TokenCache::dropExpired(Time now)
{
    std::erase_if(m_grants, [&](const Grant &grant) { return grant.expiry <= now; });
}

// Number of tokens to hold so that the cache serves steady demand while a call to the owner is outstanding.
double TokenCache::stockTarget(Time now) const
{
    const Duration stock = std::max<Duration>(tokenStockTime, std::min<Duration>(3 * m_roundTrip, grantLifetime / 4));
    return demand(now) * seconds(stock);
}

bool TokenCache::reportDue(Time now) const
{
    if (now - m_reportedAt < reportInterval) {
        return false;
    }
    return std::any_of(m_grants.begin(), m_grants.end(), [&](const Grant &grant) {
        return grant.use != grant.reported || (grant.remaining() > 0 && now - grant.requestedAt > unusedReturnDelay);
    });
}

} // namespace banyanledge
