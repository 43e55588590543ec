// Division of customers' rates over the hosts of the fleet by the control leader.
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

// How far all hosts together may exceed a customer's rate and burst.
struct RateTolerance
{
    double overshoot = 0; // fraction of the rate and the burst
    double slack = 0; // requests
};

// Division of one customer's rate into shares that the hosts hold, which work without the leader, and a token pool at
// the leader for requests that find their host's share empty. A rate whose shares would be too small goes to the pool
// as a whole.
struct RatePlan
{
    double shareRate = 0; // requests per second of all shares together
    double shareBurst = 0; // requests, of all shares together
    double poolRate = 0; // requests per second
    double poolBurst = 0; // requests
};

// Divides the rate and burst of a customer for a fleet of `hosts` entry hosts.
RatePlan ratePlan(const proto::DeclaredCustomer &customer, std::size_t hosts, const RateTolerance &tolerance);

// Allocates the hosts' shares. A host holds at most the largest share that it last reported or was sent since. A share
// that is taken from one host is given to another only after the first host reported the lower share, or was silent for
// so long that it uses at most staleShareFraction of it.
class RateShareAllocator
{
public:
    // Clears all state at a change of leader. The token pools start empty, so that the grants of the previous and of
    // this leader together stay within the rate and the burst.
    void reset(const RateTolerance &tolerance, Time now);

    // Records the shares and the demand that a host reports in its Sync call; customers that are not in it hold
    // nothing.
    void recordReport(const proto::SyncRequest &request, Time now);

    // Shares to send to a host; customers without a share are left out. `hosts` are the live entry hosts. Until all of
    // them have reported or rateShareLifetime has passed since the reset, no share is raised, because the others may
    // hold the rest of the rate.
    std::vector<proto::RateShare> sharesFor(const std::string &host, const proto::Declaration &declaration,
                                            const std::set<std::string> &hosts, Time now);

    // Takes whole tokens from a customer's token pool, at most `want` rounded up, and returns how many.
    double take(const proto::DeclaredCustomer &customer, double want, Time now);

    // Takes whole tokens for later requests, at most `want`. Leaves a part of the pool for requests that wait.
    double takeReserve(const proto::DeclaredCustomer &customer, double want, Time now);

    // How long tokens of takeReserve() may be used. In any window, reserved tokens of the time before may be used in
    // addition to those that the pool grants in it; this bounds them by what the shares and the pool leave.
    milliseconds reserveLifetime(const proto::DeclaredCustomer &customer) const;

private:
    // Share and demand of one customer, at one host or over all hosts.
    struct ReportedUse
    {
        double held = 0; // share, requests per second
        double demand = 0; // arrivals per second
    };

    struct Holder
    {
        Time reportedAt{};
        std::unordered_map<std::string, ReportedUse> uses; // by customer
    };

    // Tokens at the leader for requests that find their host's share empty.
    struct TokenPool
    {
        double tokens = 0;
        Time refilledAt{};
    };

    void updateSums(const std::set<std::string> &hosts, Time now);
    TokenPool &refilledPool(const proto::DeclaredCustomer &customer, Time now);

    RateTolerance m_tolerance;
    std::map<std::string, Holder> m_holders; // by host
    std::unordered_map<std::string, ReportedUse> m_sums; // by customer, over all hosts
    std::unordered_map<std::string, TokenPool> m_tokenPools; // by customer
    std::size_t m_hostCount = 1; // hosts that share the rates, at the last updateSums()
    bool m_mayRaiseShares = false; // all hosts have reported or rateShareLifetime has passed
    Time m_summedAt{};
    Time m_resetAt{};
};

} // namespace banyanledge
