// Limits that every host keeps for its own part of a fleet-wide bound, without a call to another host.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Settings of the retry budget of a service over the whole fleet.
struct RetryBudgetConfig
{
    double ratio = 0.2; // repeated attempts for each request
    milliseconds window{10000};
    double slack = 20; // repeated attempts in a window beyond the ratio, over all hosts
};

// A host's part of the retry budget of one service: `ratio` of its own requests in the window and an equal part of the
// slack. The sum over the hosts keeps the bound.
class HostRetryBudget
{
public:
    void recordRequest(const RetryBudgetConfig &bound, Time now);

    // Whether another repeated attempt fits; counts it when true.
    bool take(const RetryBudgetConfig &bound, std::size_t hosts, Time now);

    // Whether it would fit.
    bool allows(const RetryBudgetConfig &bound, std::size_t hosts, Time now);

private:
    // Counts in cells of a tenth of the window, so that memory does not grow with the rate.
    struct Cell
    {
        Time start{};
        double requests = 0;
        double retries = 0;
    };

    Cell &cell(const RetryBudgetConfig &bound, Time now);
    void expire(const RetryBudgetConfig &bound, Time now);

    std::deque<Cell> m_cells;
};

// Requests of one host to one cold server within the last second.
class ColdServerLimiter
{
public:
    // Whether a request may be sent now; counts it when true. `allowed` is the host's part, in requests per second.
    bool take(double allowed, Time now);

private:
    std::deque<Time> m_sent;
};

// The part of a fleet-wide rate to a cold server that one of `hosts` hosts may use. When the rate is below one request
// per host, only as many hosts as it has whole requests get one each, chosen by `rank`, the host's place among all
// hosts for this server.
double coldRateShare(double rate, std::size_t hosts, std::size_t rank);

// Token bucket of one host's part of a customer's rate.
class RateBucket
{
public:
    // Takes a new share from the leader. A lower one takes effect at once, also for tokens that were saved.
    void setShare(double rate, double burst, Time now);

    // Counts an arrival; whether a token was taken.
    bool take(Time now);

    // Gives a token back for a request that no server ran.
    void refund();

    // Rate, with a burst of one, that this host may use while the leader is silent, for customers whose rate is pooled
    // at the leader.
    void setFallbackRate(double rate);

    // Arrivals per second, averaged over about a second.
    double demand(Time now) const;

    // The share that the host was told.
    double share() const;

    // Rate in use: the share, lowered to staleShareFraction of it when the leader has been silent for
    // rateShareLifetime.
    double rate(Time now) const;

    // Time until the next token.
    Duration timeToNextToken(Time now) const;

private:
    void refill(Time now);

    bool leaderSilent(Time now) const;
    double burst(Time now) const;

    double m_rate = 0;
    double m_fallback = 0;
    double m_burst = 0;
    double m_tokens = 0;
    Time m_filled{};
    Time m_told{};
    double m_demand = 0;
    Time m_demandAt{};
};

// How long a host uses its whole share without hearing from the leader, and the part that it keeps afterwards. The
// leader gives the rest to other hosts only once this time has passed.
constexpr milliseconds rateShareLifetime{8000};
constexpr double staleShareFraction = 0.25;

// Silence of the leader after which hosts use their fallback rates.
constexpr milliseconds leaderSilenceTimeout{1500};

} // namespace banyanledge
