#include "decide/bucket.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace banyanledge
{

namespace
{

// A holder counts among those that share a scarce bucket for this long after its last call.
constexpr milliseconds sharingWindow{200};

// Holders that stopped calling are noticed after this time.
constexpr milliseconds forgetEvery{20};

// A waiting holder keeps its turn for this long after the moment at which it should have called again.
constexpr milliseconds turnGrace{100};

// Longest pause that the owner asks for between two calls, so that a raised rate takes effect soon.
constexpr milliseconds longestRetry{1000};
constexpr milliseconds shortestRetry{1};

// Tokens unused for this long go back to the owner, well before the grant's term ends.
constexpr milliseconds returnAfter{400};

// Spent tokens are reported at the latest after this time: the bucket refills only what it knows as spent.
constexpr milliseconds reportAfter{100};

// Time constant of the demand estimate.
constexpr double demandSeconds = 0.2;

// Rounding slack in comparisons of token counts.
constexpr double epsilon = 1e-9;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

Bucket::Bucket(RateLimit limit, Time start, std::uint64_t firstGrantId)
    : Bucket(limit, 0, limit.burst, grantTerm, start, firstGrantId)
{
}

Bucket::Bucket(RateLimit limit, double tokens, double granted, Duration term, Time now, std::uint64_t firstGrantId)
    : m_limit(limit)
    , m_updated(now)
    , m_lastAsked(now)
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
        account(use);
    }
    forgetHolders(now);
    m_lastAsked = now;
    Holder &holder = m_holders[request.holder];
    if (request.call <= holder.call) {
        return {0, 0, shortestRetry};
    }
    holder.call = request.call;
    holder.asked = now;
    if (request.want <= 0) {
        return {}; // only a report; a turn that the holder waits for stays
    }
    setWant(holder, request.want);
    const double available = m_tokens - reservedBefore(holder);
    const double least = std::max(request.minUseful, 1.0);
    if (available + epsilon < least) {
        const Duration retry = retryAfter(least - available);
        if (request.minUseful > 0) {
            reserve(holder, least, now + retry + turnGrace);
        }
        return {0, 0, retry};
    }
    const double share = std::max(least, std::floor(fairShare(holder, available) + epsilon));
    endTurn(holder);
    GrantReply answer{std::min(share, std::max(least, std::ceil(request.want))), m_nextId++, {}};
    m_tokens = std::max(0.0, m_tokens - answer.granted);
    addGrant(answer.id, answer.granted, now + withDrift(grantTerm));
    BL_INVARIANT(m_tokens + m_unspent <= m_limit.burst + 1e-6 || m_tokens <= 0, "bucket_within_burst");
    return answer;
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

Time Bucket::lastAsked() const
{
    return m_lastAsked;
}

// Expires grants in the order of time, refilling between them as a bucket that is looked at continuously would.
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
    const double room = std::max(0.0, m_limit.burst - m_tokens - m_unspent);
    m_tokens += std::min(room, m_limit.rate * seconds(until - m_updated));
    m_updated = until;
}

void Bucket::account(const GrantUse &use)
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

// Looks at all holders only now and then: with many of them this would dominate the cost of a call.
void Bucket::forgetHolders(Time now)
{
    if (now - m_forgotAt < forgetEvery) {
        return;
    }
    m_forgotAt = now;
    m_wants = 0;
    for (auto entry = m_holders.begin(); entry != m_holders.end();) {
        Holder &holder = entry->second;
        const auto turn = m_turns.find(holder.turn);
        if (turn != m_turns.end() && turn->second.until <= now) {
            endTurn(holder);
        }
        holder.want = now - holder.asked > sharingWindow ? 0 : holder.want;
        m_wants += holder.want;
        entry = now - holder.asked > longestDeadline ? m_holders.erase(entry) : std::next(entry);
    }
}

void Bucket::setWant(Holder &holder, double want)
{
    m_wants += want - holder.want;
    holder.want = want;
}

void Bucket::reserve(Holder &holder, double amount, Time until)
{
    holder.turn = holder.turn > 0 ? holder.turn : m_nextTurn++;
    Turn &turn = m_turns[holder.turn];
    m_reserved += amount - turn.reserved;
    turn = {amount, until};
}

void Bucket::endTurn(Holder &holder)
{
    const auto found = m_turns.find(holder.turn);
    if (found != m_turns.end()) {
        m_reserved -= found->second.reserved;
        m_turns.erase(found);
    }
    m_reserved = m_turns.empty() ? 0 : m_reserved;
    holder.turn = 0;
}

// Tokens kept for holders whose turn comes earlier; without this, those that call often would take them all.
double Bucket::reservedBefore(const Holder &holder) const
{
    if (holder.turn == 0) {
        return m_reserved;
    }
    double sum = 0;
    for (auto turn = m_turns.begin(); turn != m_turns.end() && turn->first < holder.turn; ++turn) {
        sum += turn->second.reserved;
    }
    return sum;
}

double Bucket::fairShare(const Holder &holder, double available) const
{
    return m_wants <= available ? holder.want : available * holder.want / m_wants;
}

Duration Bucket::retryAfter(double missing) const
{
    Duration wait = longestRetry;
    if (m_tokens + m_unspent >= m_limit.burst && !m_expiries.empty()) {
        // Nothing refills before a grant is reported spent or expires; the caller cannot know better than to ask soon.
        wait = std::max<Duration>(m_expiries.begin()->first - m_updated, shortestRetry);
        wait = m_limit.rate > 0 ? std::min<Duration>(wait, reportAfter / 2) : wait;
    } else if (m_limit.rate > 0) {
        wait = fromSeconds(std::min(missing / m_limit.rate, seconds(longestRetry)));
    }
    return std::clamp<Duration>(wait, shortestRetry, longestRetry);
}

TokenCache::TokenCache(HostIncarnation self, Time created)
    : m_self(std::move(self))
    , m_call(static_cast<std::uint64_t>(created.time_since_epoch().count()))
{
}

void TokenCache::recordDemand(double amount, Time now)
{
    m_demand = m_demand * std::exp(-seconds(now - m_demandAt) / demandSeconds) + amount;
    m_demandAt = now;
}

double TokenCache::demand(Time now) const
{
    return m_demand * std::exp(-seconds(now - m_demandAt) / demandSeconds) / demandSeconds;
}

bool TokenCache::take(double amount, Time now)
{
    if (available(now) + epsilon < amount) {
        return false;
    }
    for (Batch &batch : m_batches) {
        const double part = std::min(amount, batch.left());
        batch.use.spent += part;
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
    double given = 0;
    for (auto batch = m_batches.rbegin(); batch != m_batches.rend() && given < amount; ++batch) {
        const double part = std::min(amount - given, batch->use.spent - batch->reported.spent);
        batch->use.spent -= part;
        given += part;
    }
    return given;
}

std::optional<GrantRequest> TokenCache::nextRequest(double waiting, double least, Time now)
{
    if (m_calling) {
        return std::nullopt;
    }
    const double held = available(now);
    const double target = stockTarget(now);
    const bool wants = now >= m_retryAt && (waiting > 0 || (target >= 1 && held < target / 2));
    if (!wants && !reportDue(now)) {
        return std::nullopt;
    }
    GrantRequest ask{m_self, ++m_call, 0, 0, {}};
    if (wants) {
        ask.want = waiting + std::max(0.0, std::floor(target - held));
        ask.want = std::max(ask.want, 1.0);
        ask.minUseful = waiting > 0 ? std::max(0.0, least - held) : 0;
    }
    for (Batch &batch : m_batches) {
        if (now - batch.asked > returnAfter && waiting <= 0) {
            batch.use.returned += batch.left();
        }
        batch.reported = batch.use;
        ask.uses.push_back(batch.use);
    }
    m_calling = true;
    m_askedAt = now;
    m_reportedAt = now;
    return ask;
}

void TokenCache::handleReply(const GrantReply &reply, Duration term, Time now)
{
    m_calling = false;
    m_roundTrip = (m_roundTrip * 7 + (now - m_askedAt)) / 8;
    std::erase_if(m_batches, [](const Batch &batch) { return batch.left() <= 0 && batch.use == batch.reported; });
    if (reply.granted > 0) {
        m_batches.push_back({{reply.id, 0, 0}, {reply.id, 0, 0}, reply.granted, m_askedAt, m_askedAt + term});
        m_retryAt = now;
    } else {
        m_retryAt = now + reply.retryAfter;
    }
}

void TokenCache::handleFailure(Duration pause, Time now)
{
    m_calling = false;
    m_retryAt = now + pause;
}

void TokenCache::clearRetryDelay()
{
    m_retryAt = Time{};
}

bool TokenCache::callPending() const
{
    return m_calling;
}

double TokenCache::available(Time now)
{
    dropExpired(now);
    double sum = 0;
    for (const Batch &batch : m_batches) {
        sum += batch.left();
    }
    return sum;
}

bool TokenCache::idle(Time now)
{
    dropExpired(now);
    return !m_calling && m_batches.empty() && demand(now) < 0.01;
}

Duration TokenCache::retryAfter(Time now) const
{
    return std::max<Duration>(m_retryAt - now, Duration{});
}

void TokenCache::dropExpired(Time now)
{
    std::erase_if(m_batches, [&](const Batch &batch) { return batch.expiry <= now; });
}

// Stock that covers the time of a call, so that steady demand finds tokens in the purse.
double TokenCache::stockTarget(Time now) const
{
    const Duration stock = std::max<Duration>(tokenStockTime, std::min<Duration>(3 * m_roundTrip, grantTerm / 4));
    return demand(now) * seconds(stock);
}

bool TokenCache::reportDue(Time now) const
{
    if (now - m_reportedAt < reportAfter) {
        return false;
    }
    return std::any_of(m_batches.begin(), m_batches.end(), [&](const Batch &batch) {
        return batch.use != batch.reported || (batch.left() > 0 && now - batch.asked > returnAfter);
    });
}

} // namespace banyanledge
