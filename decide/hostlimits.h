// Limits that each host enforces locally for its share of a fleet-wide limit, without calls to other hosts.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Retry budget of a service over the whole fleet.
struct RetryBudgetConfig
{
    double ratio = 0.2; // retries per request
    milliseconds window{10000};
    double slack = 20; // retries per window beyond the ratio, over all hosts
};

// A host's share of the retry budget of one service: `ratio` of its own requests in the window and an equal share of
// the slack, so that the sum over the hosts stays within the budget.
class HostRetryBudget
{
public:
    // Counts a request.
    void recordRequest(const RetryBudgetConfig &config, Time now);

    // Returns whether another retry is within the budget, and counts it if so. `hosts` share the slack.
    bool take(const RetryBudgetConfig &config, std::size_t hosts, Time now);

    // Returns whether another retry would be within the budget, without counting it.
    bool allows(const RetryBudgetConfig &config, std::size_t hosts, Time now);

private:
    // Counts of a tenth of the window; with buckets, memory does not grow with the request rate.
    struct WindowBucket
    {
        Time start{};
        double requests = 0;
        double retries = 0;
    };

    WindowBucket &currentBucket(const RetryBudgetConfig &config, Time now);
    void expire(const RetryBudgetConfig &config, Time now);

    std::deque<WindowBucket> m_buckets; // oldest first
};

// Limits the requests of one host to one cold server in any window of one second.
class ColdServerLimiter
{
public:
    // Returns whether a request may be sent now, and counts it if so. `maxPerSecond` is the host's share of the rate.
    bool take(double maxPerSecond, Time now);

    // No request may be sent before `end`.
    void pauseUntil(Time end);

private:
    std::deque<Time> m_sent; // times of the requests of the last second
    Time m_pauseEnd{};
};

// Share of a fleet-wide rate to a cold server that one of `hosts` hosts may use, a whole number of requests per second.
// The remainder of the division goes to the hosts of lowest `rank`, one request each; `rank` is the host's position
// among all hosts for this server. If the rate is below one request per host, that many hosts get one request each and
// the others none.
double coldRateShare(double rate, std::size_t hosts, std::size_t rank);

// Token bucket for one host's share of a customer's rate.
class RateBucket
{
public:
    // Applies a new share from the leader, in requests per second and requests. A lower one takes effect at once, also
    // for accumulated tokens.
    void setShare(double rate, double burst, Time now);

    // Counts an arrival and takes a token; returns false when none is available.
    bool take(Time now);

    // Returns the token of a request that no server ran.
    void refund();

    // Sets the rate, in requests per second and with a burst of one, that this host may use while the leader is silent.
    // It serves customers whose whole rate is in the leader's token pool (see RatePlan in shares.h).
    void setFallbackRate(double rate);

    // Arrivals per second, exponentially averaged over about a second.
    double demand(Time now) const;

    // Share last received from the leader, in requests per second.
    double share() const;

    // Rate in use in requests per second: the share, or staleShareFraction of it once the leader has been silent for
    // rateShareLifetime.
    double rate(Time now) const;

    // Time until the next token, at most one second.
    Duration timeUntilToken(Time now) const;

private:
    void refill(Time now);

    bool leaderSilent(Time now) const;
    double burst(Time now) const;

    double m_rate = 0; // share, requests per second
    double m_fallbackRate = 0;
    double m_burst = 0;
    double m_tokens = 0;
    Time m_refilledAt{};
    Time m_shareReceivedAt{};
    double m_demand = 0; // arrivals per second at `m_demandAt`
    Time m_demandAt{};
};

// How long a host uses its whole share without hearing from the leader, and the fraction that it keeps afterwards. The
// leader gives the rest to other hosts only once this time has passed.
constexpr milliseconds rateShareLifetime{8000};
constexpr double staleShareFraction = 0.25;

// Time without a message from the leader after which hosts use their fallback rates.
constexpr milliseconds leaderSilenceTimeout{1500};

} // namespace banyanledge
