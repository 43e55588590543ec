#include "decide/shares.h"

#include <algorithm>
#include <cmath>

namespace banyanledge
{

namespace
{

// Fraction of a customer's rate that the hosts hold as shares; the rest is the leader's pool.
constexpr double sharedFraction = 0.75;

// Fraction of the shares that is divided evenly, so that a host has some before its first requests arrive.
constexpr double evenFraction = 0.25;

// Fractions of the burst for shares and pool. The rest covers tokens in transfer and hosts that lost the leader.
constexpr double sharedBurstFraction = 0.4;
constexpr double pooledBurstFraction = 0.2;

// Fraction of the tolerated slack that the pool uses.
constexpr double usedSlackFraction = 0.5;

// Minimum burst of one host's share; a smaller one would refuse two requests that arrive together.
constexpr double minShareBurst = 2;

// Fraction of a full pool that only requests that wait may take.
constexpr double unreservedFraction = 0.5;

// Fraction of what shares and pool leave of the tolerated burst that reserved tokens may use.
constexpr double reserveHeadroomFraction = 0.7;

constexpr milliseconds maxReserveLifetime{600};

// Interval at which the sums over all hosts are recomputed; between recomputations they are updated incrementally.
constexpr milliseconds sumInterval{250};

} // namespace

RatePlan ratePlan(const proto::DeclaredCustomer &customer, std::size_t hosts, const RateTolerance &tolerance)
{
    RatePlan plan;
    plan.poolRate = customer.rate() * (1 + tolerance.overshoot);
    plan.poolBurst =
        customer.burst() * (sharedBurstFraction + pooledBurstFraction) + tolerance.slack * usedSlackFraction;
    const double count = static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (customer.burst() * sharedBurstFraction / count >= minShareBurst) {
        plan.shareRate = customer.rate() * sharedFraction;
        plan.shareBurst = customer.burst() * sharedBurstFraction;
        plan.poolRate -= plan.shareRate;
        plan.poolBurst -= plan.shareBurst;
    }
    plan.poolBurst = std::max(plan.poolBurst, 1.0);
    return plan;
}

void RateShareAllocator::reset(const RateTolerance &tolerance, Time now)
{
    *this = RateShareAllocator();
    m_tolerance = tolerance;
    m_resetAt = now;
}

void RateShareAllocator::recordReport(const proto::SyncRequest &request, Time now)
{
    Holder &holder = m_holders[request.self().id()];
    holder.reportedAt = now;
    std::unordered_map<std::string, ReportedUse> uses;
    for (const auto &use : request.rates()) {
        uses[use.customer()] = {use.held(), use.demand()};
    }
    for (const auto &[customer, use] : holder.uses) {
        ReportedUse &sum = m_sums[customer];
        sum.held -= use.held;
        sum.demand -= use.demand;
    }
    for (const auto &[customer, use] : uses) {
        ReportedUse &sum = m_sums[customer];
        sum.held += use.held;
        sum.demand += use.demand;
    }
    holder.uses = std::move(uses);
}

// Recomputes the sums of the hosts' shares and demands. A host that has been silent for rateShareLifetime counts with
// staleShareFraction, and one that has been silent for twice as long and is not live is removed.
void RateShareAllocator::updateSums(const std::set<std::string> &hosts, Time now)
{
    std::erase_if(m_holders, [&](const auto &entry) {
        return !hosts.contains(entry.first) && now >= entry.second.reportedAt + 2 * rateShareLifetime;
    });
    m_sums.clear();
    for (const auto &[name, holder] : m_holders) {
        const double weight = now < holder.reportedAt + rateShareLifetime ? 1 : staleShareFraction;
        for (const auto &[customer, use] : holder.uses) {
            ReportedUse &sum = m_sums[customer];
            sum.held += use.held * weight;
            sum.demand += weight < 1 ? 0 : use.demand;
        }
    }
    const auto hasReported = [this](const auto &name) { return m_holders.contains(name); };
    m_mayRaiseShares = now >= m_resetAt + rateShareLifetime || std::all_of(hosts.begin(), hosts.end(), hasReported);
    const auto unreported =
        std::count_if(hosts.begin(), hosts.end(), [&hasReported](const auto &name) { return !hasReported(name); });
    m_hostCount = std::max<std::size_t>(1, m_holders.size() + static_cast<std::size_t>(unreported));
    m_summedAt = now;
}

std::vector<proto::RateShare> RateShareAllocator::sharesFor(const std::string &host,
                                                            const proto::Declaration &declaration,
                                                            const std::set<std::string> &hosts, Time now)
{
    if (m_summedAt == Time{} || now >= m_summedAt + sumInterval || !m_mayRaiseShares) {
        updateSums(hosts, now);
    }
    std::vector<proto::RateShare> shares;
    Holder &own = m_holders[host];
    for (const auto &customer : declaration.customers()) {
        if (customer.rate() <= 0) {
            continue;
        }
        const RatePlan plan = ratePlan(customer, m_hostCount, m_tolerance);
        const auto held = own.uses.find(customer.name());
        if (plan.shareRate <= 0 && (held == own.uses.end() || held->second.held <= 0)) {
            continue; // the whole rate is in the pool, and the host has no share left to reduce
        }
        ReportedUse &use = own.uses[customer.name()];
        ReportedUse &sum = m_sums[customer.name()];
        const double evenShare = 1.0 / static_cast<double>(m_hostCount);
        const double byDemand = sum.demand > 0 ? std::max(0.0, use.demand) / sum.demand : evenShare;
        const double wanted =
            plan.shareRate * (evenFraction * evenShare + (1 - evenFraction) * std::min(1.0, byDemand));
        const double maxRate =
            m_mayRaiseShares ? plan.shareRate - (sum.held - use.held) : std::min(use.held, plan.shareRate);
        proto::RateShare share;
        share.set_customer(customer.name());
        share.set_rate(std::max(0.0, std::min(wanted, maxRate)));
        share.set_burst(plan.shareRate > 0 ? plan.shareBurst * share.rate() / plan.shareRate : 0);
        // Until the host reports again it may hold the larger of the old and the new share.
        const double maxHeld = std::max(use.held, share.rate());
        sum.held += maxHeld - use.held;
        use.held = maxHeld;
        shares.push_back(share);
    }
    return shares;
}

RateShareAllocator::TokenPool &RateShareAllocator::refilledPool(const proto::DeclaredCustomer &customer, Time now)
{
    const RatePlan plan = ratePlan(customer, m_hostCount, m_tolerance);
    TokenPool &pool = m_tokenPools[customer.name()];
    if (pool.refilledAt == Time{}) {
        pool.refilledAt = m_resetAt;
    }
    const double age = std::chrono::duration<double>(now - pool.refilledAt).count();
    pool.tokens = std::min(plan.poolBurst, pool.tokens + plan.poolRate * std::max(0.0, age));
    pool.refilledAt = now;
    return pool;
}

double RateShareAllocator::take(const proto::DeclaredCustomer &customer, double want, Time now)
{
    TokenPool &pool = refilledPool(customer, now);
    const double granted = std::min(std::floor(pool.tokens), std::ceil(want));
    pool.tokens -= granted;
    return granted;
}

double RateShareAllocator::takeReserve(const proto::DeclaredCustomer &customer, double want, Time now)
{
    TokenPool &pool = refilledPool(customer, now);
    const double kept = ratePlan(customer, m_hostCount, m_tolerance).poolBurst * unreservedFraction;
    const double granted = std::min(std::floor(std::max(0.0, pool.tokens - kept)), std::floor(want));
    pool.tokens -= granted;
    return granted;
}

milliseconds RateShareAllocator::reserveLifetime(const proto::DeclaredCustomer &customer) const
{
    const RatePlan plan = ratePlan(customer, m_hostCount, m_tolerance);
    const double tolerated = customer.burst() * (1 + m_tolerance.overshoot) + m_tolerance.slack;
    const double unused = std::max(0.0, tolerated - plan.shareBurst - plan.poolBurst);
    const std::chrono::duration<double> lifetime(unused * reserveHeadroomFraction / plan.poolRate);
    return std::min(maxReserveLifetime, std::chrono::duration_cast<milliseconds>(lifetime));
}

} // namespace banyanledge
