#include "decide/tokenstock.h"

#include <algorithm>
#include <cmath>

namespace banyanledge
{

namespace
{

// Most demand that the stock covers: the round trip to a distant leader and the interval between two calls.
constexpr milliseconds maxCoveredTime{350};

// Tokens per second below which a customer gets no stock, because most of it would expire unused.
constexpr double minDemand = 0.4;

} // namespace

void TokenStock::removeExpired(Customer &customer, Time now)
{
    while (!customer.tokens.empty() && customer.tokens.front().expiry <= now) {
        customer.tokens.pop_front();
    }
}

double TokenStock::take(const std::string &customer, double want, Time now)
{
    Customer &entry = m_customers.try_emplace(customer, Customer{{}, {}, maxCoveredTime}).first->second;
    entry.demand.add(want, now);
    removeExpired(entry, now);
    double taken = 0;
    while (!entry.tokens.empty() && taken < want) {
        Tokens &oldest = entry.tokens.front();
        const double part = std::min(oldest.amount, want - taken);
        taken += part;
        oldest.amount -= part;
        if (oldest.amount <= 0) {
            entry.tokens.pop_front();
        }
    }
    return taken;
}

void TokenStock::add(const std::string &customer, double amount, Time expiry, Time now)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end()) {
        return; // no recent demand
    }
    found->second.usableTime = expiry - now;
    auto &tokens = found->second.tokens;
    const auto later =
        std::find_if(tokens.begin(), tokens.end(), [expiry](const Tokens &other) { return other.expiry > expiry; });
    tokens.insert(later, {amount, expiry});
}

std::vector<TokenStock::Refill> TokenStock::refills(Time now)
{
    std::vector<Refill> result;
    for (auto &[name, customer] : m_customers) {
        removeExpired(customer, now);
        const double demand = customer.demand.perSecond(now);
        if (demand < minDemand) {
            continue;
        }
        double held = 0;
        for (const Tokens &tokens : customer.tokens) {
            held += tokens.amount;
        }
        // More than what is used until it expires would be taken from the hosts that need it.
        const Duration covered = std::min<Duration>(customer.usableTime, maxCoveredTime);
        const double missing = std::floor(1 + demand * std::chrono::duration<double>(covered).count() - held);
        if (covered > Duration{} && missing >= 1) {
            result.push_back({name, missing});
        }
    }
    std::erase_if(m_customers, [now](const auto &entry) {
        return entry.second.tokens.empty() && entry.second.demand.perSecond(now) < minDemand;
    });
    return result;
}

} // namespace banyanledge
