// State of the benchmark model, used only by bench_model.cpp and bench_model_requests.cpp.
#pragma once

#include "bench_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <optional>
#include <queue>
#include <random>

#include <xxhash.h>

#include "base/invariant.h"
#include "decide/bucket.h"
#include "decide/lookup.h"
#include "decide/pool.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/shift.h"

namespace banyanledge::bench
{

inline const std::vector<std::string> regionNames{"a", "b", "c"};
inline const std::vector<std::string> serviceNames{"lessons", "exams", "bookings", "videos"};
inline const std::vector<double> meanWorkMs{20, 40, 60, 100}; // by service
// Share of each customer in the offered load.
inline const std::vector<double> customerShares{0.3, 0.25, 0.1, 0.1, 0.1, 0.08, 0.05, 0.02};

inline constexpr std::size_t hostsPerRegion = 3;
inline constexpr double offeredLoad = 0.5; // offered work as a fraction of all slots
inline constexpr double rateUtilization = 0.9; // fraction of its rate limit that a customer offers
inline constexpr double floodFactor = 5; // by which a flooding customer multiplies its offered rate
inline constexpr unsigned coldRequests = 50; // shifted requests that a server runs slowly until its cache is warm
inline constexpr double coldSlowdown = 3;
inline constexpr double shiftCap = 0.3;
inline constexpr std::size_t maxServerQueue = 20; // queued requests of a server under policies that lease no slots
inline constexpr std::size_t failedRegion = 2; // also the region that PartialDrain drains
inline constexpr milliseconds tokenTimeout{5000};
inline constexpr milliseconds lastRegionTimeout{5000}; // longest wait for a slot in the last choice of region

inline Duration ms(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

struct Customer
{
    std::string name;
    double offeredRate = 0; // requests per second
    RateLimit limit;
    // Tokens of two central buckets: the first takes one at each arrival and counts the arrivals within the rate, the
    // second takes one at each admission and detects admissions over the rate.
    double arrivalTokens = 0;
    Time arrivalTokensAt;
    double admissionTokens = 0;
    Time admissionTokensAt;
    std::uint64_t arrivalsWithinRate = 0;
    std::uint64_t served = 0;
    std::vector<double> latencies; // milliseconds
};

struct Server
{
    std::string id;
    std::size_t service = 0;
    std::size_t region = 0;
    unsigned slots = 0;
    unsigned busy = 0; // slots in use
    unsigned reportedLoad = 0; // running and queued requests by the last delivered report
    unsigned coldRequestsLeft = coldRequests; // until its cache is warm
    bool alive = true;
    bool drained = false;
    std::deque<std::function<void()>> queue; // starts of requests that wait for a slot
};

// Tokens of one customer on one host, and the requests that wait for them.
struct CustomerTokens
{
    TokenCache cache;
    std::deque<std::pair<Time, std::function<void(bool)>>> waiting; // deadline, and callback with whether it got one
    bool pollScheduled = false;
};

struct Host
{
    std::string id;
    std::size_t region = 0;
    bool alive = true;
    RoutingState routingState;
    std::vector<CustomerTokens> tokens; // by customer
    std::vector<RateLimit> splitTokens; // by customer, for StaticRateSplit: rate, and `burst` as the tokens left
    std::vector<Time> splitTokensAt; // time of the last refill, by customer
    std::vector<RetryBudget> retryBudgets; // by service
    std::vector<std::uint64_t> nextServer; // by service: index at which the search for a server starts
};

// A pool and the callbacks of the requests that wait for a slot, by ticket.
struct PoolOwner
{
    Pool pool{1, Time{}};
    std::map<std::uint64_t, std::function<void(PoolGrant)>> callbacks;
    std::optional<Time> nextPoll; // time of the scheduled poll
};

struct Request
{
    std::size_t customer = 0;
    std::size_t service = 0;
    std::size_t callerRegion = 0;
    std::size_t host = 0; // that received the request
    Time start; // when the caller sent the request
    double workMs = 0; // time in a slot of a warm server
    std::vector<proto::Member> hosts; // from the look-up, in order of preference
    std::vector<RouteChoice> choices;
    std::size_t choice = 0; // index into `choices`
    unsigned attempts = 0;
    bool movedByShift = false;
    std::vector<std::string> excludedServers; // ids of servers that already failed this request
};

using RequestPtr = std::shared_ptr<Request>;

class Model
{
public:
    Model(Deployment deployment, Scenario scenario, Policy policy, std::uint64_t seed, double seconds)
        : m_deployment(std::move(deployment))
        , m_scenario(scenario)
        , m_policy(policy)
        , m_end(m_start + ms(seconds * 1000))
        , m_phaseLength(ms(seconds * 1000) / 3)
        , m_random(seed)
    {
        buildServers();
        buildTable();
        buildCustomers();
        buildHosts();
    }

    ModelResult run();

private:
    struct Event
    {
        Time at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        // Reversed, because std::priority_queue pops the largest element first.
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_sequence, std::move(action)});
    }

    double uniform()
    {
        return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
    }

    Duration oneWay(std::size_t from, std::size_t to) const
    {
        return ms(from == to ? m_deployment.zoneDelayMs : m_deployment.regionDelayMs);
    }

    static std::size_t regionIndex(const std::string &region)
    {
        return static_cast<std::size_t>(region[0] - 'a');
    }

    bool usesPools() const
    {
        return m_policy == Policy::Product || m_policy == Policy::StaticRateSplit;
    }

    // Adds a decision to the hash, which shows whether the behaviour changed between two builds.
    void hashDecision(std::uint64_t value)
    {
        m_result.decisionHash = XXH64(&value, sizeof value, m_result.decisionHash);
    }

    void buildServers();
    void buildTable();
    void buildCustomers();
    void buildHosts();
    void commit(const proto::TableContent &change);
    void generateArrival(std::size_t customer);
    bool isFlooding(std::size_t customer) const;
    void tryHost(const RequestPtr &request, std::size_t attempt);
    void takeToken(const RequestPtr &request);
    void serveTokenQueue(std::size_t host, std::size_t customer);
    void routeAdmitted(const RequestPtr &request);
    void route(const RequestPtr &request);
    void acquireSlot(const RequestPtr &request);
    void pollPool(std::size_t service, std::size_t region);
    void handleGrant(const RequestPtr &request, const PoolGrant &grant);
    void routeWithoutPools(const RequestPtr &request);
    void sendToServer(const RequestPtr &request, Server &server, const std::function<void(proto::Outcome)> &done);
    void startWork(const RequestPtr &request, Server &server, std::function<void(proto::Outcome)> done);
    void retryOrFail(const RequestPtr &request, bool failed);
    void refuseForRate(const RequestPtr &request);
    void finish(const RequestPtr &request, bool served);
    void sample();
    void reportLoads();
    void failRegion();
    void drainHalfOfRegion();
    void stepShift();
    ModelResult summarize();

    Deployment m_deployment;
    Scenario m_scenario;
    Policy m_policy;
    Time m_start{std::chrono::hours(1)};
    Time m_now = m_start;
    Time m_end;
    Duration m_phaseLength; // a third of the simulated time
    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::shared_ptr<const View> m_view = std::make_shared<View>();
    std::vector<Server> m_servers;
    std::map<std::string, std::size_t> m_serverIndex;
    std::map<std::pair<std::size_t, std::size_t>, PoolOwner> m_pools; // by service and region
    std::vector<bool> m_regionAlive{true, true, true};
    std::vector<Customer> m_customers;
    std::vector<Bucket> m_buckets; // by customer
    std::vector<std::size_t> m_bucketOwners; // host index by customer
    std::mt19937_64 m_jitter{1}; // separate from m_random, so that all policies get the same workload
    std::vector<Host> m_hosts;
    std::vector<double> m_serviceRates; // offered requests per second, by service
    std::vector<proto::PoolLoad> m_loads; // as last delivered
    std::vector<Time> m_loadTimes; // when each of m_loads was measured
    Time m_stepSince = m_start; // when the current step of the shift was set
    std::uint64_t m_samples = 0;
    std::uint64_t m_overloadedSamples = 0;
    double m_headroomSum = 0;
    ModelResult m_result;
};

} // namespace banyanledge::bench
