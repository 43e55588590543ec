// Divides customers' rates over the hosts of the fleet; kept by the control leader.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"
#include "decide/hostlimits.h"

namespace banyanledge
{

// How far the hosts together may go beyond a customer's rate and burst.
struct RateTolerance
{
    double overshoot = 0; // part of the rate and the burst
    double slack = 0; // requests
};

// How one customer's rate is used: shares that the hosts hold, which work without the leader, and a pool of the leader
// for requests that meet an empty share. A rate that would give each host less than a request is pooled whole.
struct RatePlan
{
    double shareRate = 0; // requests per second of all shares together
    double shareBurst = 0;
    double poolRate = 0;
    double poolBurst = 0;
};

RatePlan ratePlan(const proto::DeclaredCustomer &customer, std::size_t hosts, const RateTolerance &tolerance);

// What the leader knows of the hosts' shares. A host holds at most what it last reported or was told since. A share
// that was taken from one host is given to another only after the first reported the lower one, or has been silent for
// so long that it uses no more than staleShareFraction of it.
class RateShareAllocator
{
public:
    // Forgets everything at a change of leader. The pools start empty, so that what the previous leader granted and
    // what this one grants add up to the rate and the burst.
    void reset(const RateTolerance &tolerance, Time now);

    // Takes the report of a host's Sync call. A host holds nothing but what it reports.
    void recordReport(const proto::SyncRequest &request, Time now);

    // Shares of a host for its next answer; customers without one are left out. `hosts` are the live entry hosts; a
    // leader that has not heard all of them yet raises no share until rateShareLifetime has passed, because the others
    // may hold the rest of the rate.
    std::vector<proto::RateShare> sharesFor(const std::string &host, const proto::Declaration &declaration,
                                            const std::set<std::string> &hosts, Time now);

    // Takes whole tokens from a customer's pool and returns how many it had, at most `want`.
    double take(const proto::DeclaredCustomer &customer, double want, Time now);

private:
    struct Use
    {
        double held = 0; // requests per second
        double demand = 0;
    };

    struct Holder
    {
        Time heard{};
        std::unordered_map<std::string, Use> uses; // by customer
    };

    struct Pool
    {
        double tokens = 0;
        Time filled{};
    };

    void sumUp(const std::set<std::string> &hosts, Time now);

    RateTolerance m_tolerance;
    std::map<std::string, Holder> m_holders; // by host
    std::unordered_map<std::string, Use> m_sums; // by customer, over all hosts
    std::unordered_map<std::string, Pool> m_pools; // by customer
    std::size_t m_hosts = 1; // that count, from the last sum
    bool m_allHeard = false;
    Time m_summed{};
    Time m_since{};
};

} // namespace banyanledge
