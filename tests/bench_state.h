// State of the model; used only by its two source files.
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
inline const std::vector<double> serviceMs{20, 40, 60, 100};
inline const std::vector<double> customerShares{0.3, 0.25, 0.1, 0.1, 0.1, 0.08, 0.05, 0.02};

inline constexpr std::size_t hostsPerRegion = 3;
inline constexpr double offeredLoad = 0.5; // of all slots
inline constexpr double usedRate = 0.9; // of a customer's rate
inline constexpr double floodFactor = 5;
inline constexpr unsigned coldRequests = 50; // moved requests that a server answers slowly until its cache is warm
inline constexpr double coldFactor = 3;
inline constexpr double shiftCap = 0.3;
inline constexpr std::size_t serverQueue = 20; // of a server whose slots nobody counts
inline constexpr std::size_t lostRegion = 2;
inline constexpr milliseconds tokenWait{5000};
inline constexpr milliseconds lastWait{5000};

inline Duration ms(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

struct Customer
{
    std::string name;
    double offered = 0; // requests per second
    RateLimit limit;
    double allowed = 0; // tokens of an ideal bucket, at arrival
    Time allowedAt;
    double admitted = 0; // tokens of an ideal bucket, at admission
    Time admittedAt;
    std::uint64_t within = 0;
    std::uint64_t served = 0;
    std::vector<double> latencies;
};

struct Server
{
    std::string id;
    std::size_t service = 0;
    std::size_t region = 0;
    unsigned slots = 0;
    unsigned busy = 0;
    unsigned reported = 0;
    unsigned coldLeft = coldRequests;
    bool alive = true;
    bool drained = false;
    std::deque<std::function<void()>> queue;
};

struct Wallet
{
    TokenCache purse;
    std::deque<std::pair<Time, std::function<void(bool)>>> waiters;
    bool poked = false;
};

struct Host
{
    std::string id;
    std::size_t region = 0;
    bool alive = true;
    RoutingState splits;
    std::vector<Wallet> wallets; // by customer
    std::vector<RateLimit> even; // tokens left and time of an even share, by customer
    std::vector<Time> evenAt;
    std::vector<RetryBudget> retries; // by service
    std::vector<std::uint64_t> rotation; // by service
};

struct PoolOwner
{
    Pool pool{1, Time{}};
    std::map<std::uint64_t, std::function<void(PoolGrant)>> waiting;
    std::optional<Time> wake;
};

struct Request
{
    std::size_t customer = 0;
    std::size_t service = 0;
    std::size_t region = 0; // of the caller
    std::size_t host = 0;
    Time start;
    double workMs = 0;
    std::vector<proto::Member> hosts;
    std::vector<RouteChoice> choices;
    std::size_t choice = 0;
    unsigned attempts = 0;
    bool moved = false;
    std::vector<std::string> exclude;
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
        , m_third(ms(seconds * 1000) / 3)
        , m_random(seed)
    {
        buildServers();
        buildTable();
        buildCustomers();
        buildHosts();
    }

    Figures run();

private:
    struct Event
    {
        Time at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_sequence, std::move(action)});
    }

    double uniform()
    {
        return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
    }

    Duration oneWay(std::size_t from, std::size_t to) const
    {
        return ms(from == to ? m_deployment.zoneMs : m_deployment.regionMs);
    }

    static std::size_t regionIndex(const std::string &region)
    {
        return static_cast<std::size_t>(region[0] - 'a');
    }

    bool usesPools() const
    {
        return m_policy == Policy::Ours || m_policy == Policy::EvenRate;
    }

    void note(std::uint64_t value)
    {
        m_figures.decisions = XXH64(&value, sizeof value, m_figures.decisions);
    }

    void buildServers();
    void buildTable();
    void buildCustomers();
    void buildHosts();
    void commit(const proto::TableContent &change);
    void arrive(std::size_t customer);
    bool floods(std::size_t customer) const;
    void contact(const RequestPtr &request, std::size_t attempt);
    void takeToken(const RequestPtr &request);
    void serveWallet(std::size_t host, std::size_t customer);
    void admitted(const RequestPtr &request);
    void route(const RequestPtr &request);
    void acquire(const RequestPtr &request);
    void pollPool(std::size_t service, std::size_t region);
    void granted(const RequestPtr &request, const PoolGrant &grant);
    void balance(const RequestPtr &request);
    void execute(const RequestPtr &request, Server &server, const std::function<void(proto::Outcome)> &done);
    void startWork(const RequestPtr &request, Server &server, std::function<void(proto::Outcome)> done);
    void retryOr(const RequestPtr &request, bool failed);
    void refuseRate(const RequestPtr &request);
    void finish(const RequestPtr &request, bool served);
    void sample();
    void report();
    void loseRegion();
    void drainPart();
    void shiftTick();
    Figures summary();

    Deployment m_deployment;
    Scenario m_scenario;
    Policy m_policy;
    Time m_start{std::chrono::hours(1)};
    Time m_now = m_start;
    Time m_end;
    Duration m_third;
    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::shared_ptr<const View> m_view = std::make_shared<View>();
    std::vector<Server> m_servers;
    std::map<std::string, std::size_t> m_serverIndex;
    std::map<std::pair<std::size_t, std::size_t>, PoolOwner> m_pools;
    std::vector<bool> m_regionAlive{true, true, true};
    std::vector<Customer> m_customers;
    std::vector<Bucket> m_buckets;
    std::vector<std::size_t> m_bucketOwners;
    std::mt19937_64 m_jitter{1}; // apart from the workload's, which has to be equal for all policies
    std::vector<Host> m_hosts;
    std::vector<double> m_mix; // share of requests by service
    std::vector<proto::PoolLoad> m_loads;
    std::vector<Time> m_loadTimes;
    Time m_stepSince = m_start;
    std::uint64_t m_samples = 0;
    std::uint64_t m_overloadedSamples = 0;
    double m_headroomSum = 0;
    Figures m_figures;
};

} // namespace banyanledge::bench
