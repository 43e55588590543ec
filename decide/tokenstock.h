// Tokens of customers' rates that a control host keeps for the requests of the next moments, so that a request of its
// region does not wait for a round trip to the leader in another region.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"
#include "decide/rateestimator.h"

namespace banyanledge
{

class TokenStock
{
public:
    // Tokens of one customer that should be fetched.
    struct Refill
    {
        std::string customer;
        double amount = 0; // whole tokens, at least 1
    };

    // Takes whole tokens, at most `want`, and counts `want` as demand.
    double take(const std::string &customer, double want, Time now);

    // Adds tokens that may be used until `expiry`.
    void add(const std::string &customer, double amount, Time expiry, Time now);

    // What is missing for the demand of the next moments. Customers without recent demand are forgotten.
    std::vector<Refill> refills(Time now);

private:
    struct Tokens
    {
        double amount = 0;
        Time expiry{};
    };

    struct Customer
    {
        std::deque<Tokens> tokens; // in the order of their expiry
        RateEstimator demand;
        Duration usableTime{}; // of the last tokens, from their arrival to their expiry
    };

    static void removeExpired(Customer &customer, Time now);

    std::unordered_map<std::string, Customer> m_customers; // by name
};

} // namespace banyanledge
