#include "decide/shares.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Part of a customer's rate that is given out by demand; the rest is a reserve for hosts that join.
constexpr double givenPart = 0.92;

// Part of the given rate that is divided evenly, so that a host has some before its first callers arrive.
constexpr double evenPart = 0.3;

// Part of the burst that is given out. Changes of shares may add tokens beyond the strict bound, up to this reserve.
constexpr double burstPart = 0.5;

} // namespace

void RateShares::reset(Time now)
{
    m_holders.clear();
    m_since = now;
}

void RateShares::reported(const proto::SyncRequest &request, Time now)
{
    Holder &holder = m_holders[request.self().id()];
    holder.incarnation = request.self().incarnation();
    holder.heard = now;
    holder.held.clear();
    holder.demand.clear();
    for (const auto &use : request.rates()) {
        holder.held[use.customer()] = use.held();
        holder.demand[use.customer()] = use.demand();
    }
}

double RateShares::heldBy(const std::string &host, const std::string &customer, Time now) const
{
    const auto holder = m_holders.find(host);
    if (holder == m_holders.end()) {
        return 0;
    }
    const auto held = holder->second.held.find(customer);
    const double value = held == holder->second.held.end() ? 0 : held->second;
    return now < holder->second.heard + shareTerm ? value : value * lostShare;
}

std::vector<proto::RateShare> RateShares::sharesFor(const std::string &host, const proto::Declaration &declaration,
                                                    const std::set<std::string> &hosts, Time now)
{
    std::vector<proto::RateShare> shares;
    std::set<std::string> all = hosts;
    all.insert(host);
    for (const auto &[name, holder] : m_holders) {
        if (now < holder.heard + 2 * shareTerm) {
            all.insert(name); // may be cut off and still serve
        }
    }
    const auto count = static_cast<double>(all.size());
    const bool allHeard = now >= m_since + shareTerm
        || std::all_of(all.begin(), all.end(), [this](const auto &name) { return m_holders.contains(name); });
    Holder &own = m_holders[host];
    for (const auto &customer : declaration.customers()) {
        if (customer.rate() <= 0) {
            continue;
        }
        const double given = customer.rate() * givenPart;
        double demand = 0;
        double others = 0;
        for (const auto &name : all) {
            const auto holder = m_holders.find(name);
            if (holder != m_holders.end()) {
                const auto found = holder->second.demand.find(customer.name());
                demand += found == holder->second.demand.end() ? 0 : found->second;
            }
            if (name != host) {
                others += heldBy(name, customer.name(), now);
            }
        }
        const double ownDemand = own.demand.contains(customer.name()) ? own.demand[customer.name()] : 0;
        const double byDemand = demand > 0 ? ownDemand / demand : 1 / count;
        const double wanted = given * (evenPart / count + (1 - evenPart) * byDemand);
        double &held = own.held[customer.name()];
        const double most = allHeard ? customer.rate() - others : std::min(held, customer.rate());
        proto::RateShare share;
        share.set_customer(customer.name());
        share.set_rate(std::max(0.0, std::min(wanted, most)));
        share.set_burst(customer.burst() * burstPart * share.rate() / customer.rate());
        // Until the host reports again it may hold the larger of the old and the new share.
        held = std::max(held, share.rate());
        shares.push_back(share);
    }
    return shares;
}

} // namespace banyanledge
