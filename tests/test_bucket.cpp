// Rate limit of a distributed token bucket that many holders share, over a simulated network in virtual time.
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "decide/bucket.h"

using namespace banyanledge;

namespace
{

struct Spend
{
    double at = 0; // seconds
    double amount = 0;
};

struct Call
{
    Time arrives;
    std::size_t holder = 0;
    GrantRequest request;
    bool answered = true; // whether the reply reaches the holder
    Duration replyDelay{};
};

struct Reply
{
    Time arrives;
    std::size_t holder = 0;
    std::uint64_t incarnation = 0; // of the holder when it called
    std::optional<GrantReply> answer; // nullopt: lost
};

struct Waiting
{
    Time since;
};

struct Holder
{
    TokenCache cache;
    std::uint64_t incarnation;
    std::deque<Waiting> queue;
    Time frozenUntil;
    std::uint64_t refused = 0;
    std::uint64_t served = 0;
};

struct Scenario
{
    RateLimit limit{100, 20};
    std::vector<double> demand; // of each holder, requests per second
    double loss = 0; // fraction of answers that are lost
    double duplicate = 0; // fraction of calls that arrive twice
    bool faults = false; // owners change, holders freeze and restart
    bool limits = false; // rate and burst change
    double seconds = 20;
    Duration maxWait = milliseconds{1000};
    Duration ownerAge{}; // age of the first owner at the start
    unsigned seed = 1;
};

// Simulates the holders, one owner and the network between them. A new owner starts a guard interval after the old one.
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_owner(scenario.limit, start - scenario.ownerAge, 1000)
    {
        for (std::size_t i = 0; i < scenario.demand.size(); ++i) {
            m_holders.push_back({TokenCache({"h" + std::to_string(i), 1}, start), 1, {}, start, 0, 0});
        }
        m_nextArrivals.assign(scenario.demand.size(), start);
    }

    void run()
    {
        const Time end =
            start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_scenario.seconds));
        for (now = start; now < end; now += milliseconds{1}) {
            injectFaults();
            deliver();
            for (std::size_t i = 0; i < m_holders.size(); ++i) {
                step(i);
            }
        }
    }

    std::uint64_t served() const
    {
        std::uint64_t sum = 0;
        for (const Holder &holder : m_holders) {
            sum += holder.served;
        }
        return sum;
    }

    std::uint64_t refused() const
    {
        std::uint64_t sum = 0;
        for (const Holder &holder : m_holders) {
            sum += holder.refused;
        }
        return sum;
    }

    // Largest amount by which any time window admitted more than burst + rate x length.
    double worstExcess() const
    {
        double worst = -1e9;
        double sum = 0;
        double lowest = 1e18; // of sum - rate x time before each window
        for (const Spend &spend : spends) {
            lowest = std::min(lowest, sum - m_scenario.limit.rate * spend.at);
            sum += spend.amount;
            worst = std::max(worst, sum - m_scenario.limit.rate * spend.at - lowest - m_scenario.limit.burst);
        }
        return worst;
    }

    static constexpr Time start{std::chrono::hours{1}};
    Time now = start;
    std::vector<Spend> spends;

private:
    double chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    Duration delay()
    {
        return milliseconds{1 + static_cast<int>(chance() * (chance() < 0.02 && m_scenario.loss > 0 ? 400 : 12))};
    }

    void injectFaults()
    {
        if (!m_scenario.faults) {
            return;
        }
        if (chance() < 0.0005) { // the owner fails; its successor acts once the old one has surely stopped
            m_ownerFrom = now + (chance() < 0.5 ? milliseconds{0} : ownerTakeoverDelay);
            m_owner = Bucket(m_scenario.limit, m_ownerFrom, m_random());
        } else if (chance() < 0.0005 && now >= m_ownerFrom) { // planned handover
            m_owner =
                Bucket(m_scenario.limit, m_owner.tokens(now), m_owner.unspent(now), grantLifetime, now, m_random());
        }
        Holder &holder = m_holders[m_random() % m_holders.size()];
        if (chance() < 0.001) {
            holder.frozenUntil = now + milliseconds{m_random() % 3000};
        } else if (chance() < 0.0005) {
            holder.cache = TokenCache({"h", ++holder.incarnation + 1000 * m_random()}, now);
        }
    }

    void deliver()
    {
        std::vector<Call> due;
        std::erase_if(m_calls, [&](const Call &call) {
            if (call.arrives <= now) {
                due.push_back(call);
            }
            return call.arrives <= now;
        });
        for (const Call &call : due) {
            Reply reply{now + call.replyDelay, call.holder, m_holders[call.holder].incarnation, std::nullopt};
            if (now >= m_ownerFrom) {
                const GrantReply answer = m_owner.handleRequest(call.request, now);
                if (call.answered) {
                    reply.answer = answer;
                }
            }
            m_replies.push_back(reply);
        }
        std::erase_if(m_replies, [&](const Reply &reply) {
            Holder &holder = m_holders[reply.holder];
            if (reply.arrives > now || holder.frozenUntil > now) {
                return false;
            }
            if (reply.incarnation == holder.incarnation && holder.cache.callPending()) {
                if (reply.answer) {
                    holder.cache.handleReply(*reply.answer, grantLifetime, now);
                } else {
                    holder.cache.handleFailure(milliseconds{20}, now);
                }
            }
            return true;
        });
    }

    void step(std::size_t index)
    {
        Holder &holder = m_holders[index];
        if (holder.frozenUntil > now) {
            return;
        }
        while (m_scenario.demand[index] > 0 && m_nextArrivals[index] <= now) {
            const double gap = std::exponential_distribution<double>(m_scenario.demand[index])(m_random);
            m_nextArrivals[index] += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
            holder.cache.recordDemand(1, now);
            holder.queue.push_back({now});
        }
        while (!holder.queue.empty() && holder.cache.take(1, now)) {
            spends.push_back({std::chrono::duration<double>(now - start).count(), 1});
            holder.queue.pop_front();
            ++holder.served;
        }
        while (!holder.queue.empty() && now - holder.queue.front().since > m_scenario.maxWait) {
            holder.queue.pop_front();
            ++holder.refused;
        }
        const auto waiting = static_cast<double>(holder.queue.size());
        if (const auto request = holder.cache.nextRequest(waiting, waiting > 0 ? 1 : 0, now)) {
            Call call{now + delay(), index, *request, chance() >= m_scenario.loss, delay()};
            m_calls.push_back(call);
            if (chance() < m_scenario.duplicate) {
                call.arrives += delay();
                call.answered = false;
                m_calls.push_back(call);
            }
        }
    }

    Scenario m_scenario;
    std::mt19937 m_random;
    Bucket m_owner;
    Time m_ownerFrom = start;
    std::vector<Holder> m_holders;
    std::vector<Time> m_nextArrivals; // by holder
    std::vector<Call> m_calls;
    std::vector<Reply> m_replies;
};

Scenario steady(double rate, double burst, const std::vector<double> &shares, double load)
{
    Scenario scenario;
    scenario.limit = {rate, burst};
    for (const double share : shares) {
        scenario.demand.push_back(share * rate * load);
    }
    scenario.ownerAge = milliseconds{10000};
    return scenario;
}

const std::vector<double> even(10, 0.1);
const std::vector<double> skewed{0.5, 0.2, 0.1, 0.05, 0.05, 0.04, 0.03, 0.01, 0.01, 0.01};

} // namespace

TEST_CASE("no window admits more than burst + rate x length, with lost and repeated calls and failing owners")
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        Scenario scenario;
        scenario.seed = seed;
        scenario.limit = {seed % 3 == 0 ? 1000.0 : 50.0, seed % 2 == 0 ? 5.0 : 100.0};
        scenario.demand.assign(1 + seed % 10, scenario.limit.rate * 5 / (1 + seed % 10));
        scenario.loss = 0.1;
        scenario.duplicate = 0.1;
        scenario.faults = true;
        Simulation simulation(scenario);
        simulation.run();
        INFO("seed " << seed);
        CHECK(simulation.worstExcess() <= 1e-6);
        CHECK(simulation.served() > 0);
    }
}

TEST_CASE("a customer at 90% of its rate is not refused, at one host or at ten, evenly or skewed")
{
    for (const double rate : {20.0, 200.0, 2000.0}) {
        for (const double burstSeconds : {1.0, 2.0}) {
            for (const std::vector<double> &shares : {std::vector<double>{1}, even, skewed}) {
                for (unsigned seed = 1; seed <= 3; ++seed) {
                    Scenario scenario = steady(rate, burstSeconds * rate, shares, 0.9);
                    scenario.seed = seed;
                    Simulation simulation(scenario);
                    simulation.run();
                    INFO("rate " << rate << ", holders " << shares.size() << ", seed " << seed);
                    CHECK(simulation.refused() == 0);
                    CHECK(simulation.worstExcess() <= 1e-6);
                }
            }
        }
    }
}

TEST_CASE("a new owner, which starts empty, refuses nothing to a customer at 90% of its rate that may wait for 2 s")
{
    for (const std::vector<double> &shares : {std::vector<double>{1}, even, skewed}) {
        Scenario scenario = steady(200, 100, shares, 0.9);
        scenario.ownerAge = Duration{};
        scenario.maxWait = milliseconds{2000};
        Simulation simulation(scenario);
        simulation.run();
        INFO("holders " << shares.size());
        CHECK(simulation.refused() == 0);
    }
}

TEST_CASE("a customer at five times its rate gets its rate")
{
    for (const std::vector<double> &shares : {std::vector<double>{1}, even, skewed}) {
        Scenario scenario = steady(200, 100, shares, 5);
        scenario.seconds = 30;
        Simulation simulation(scenario);
        simulation.run();
        const double perSecond = static_cast<double>(simulation.served()) / scenario.seconds;
        INFO("holders " << shares.size());
        CHECK(perSecond >= 0.98 * scenario.limit.rate);
        CHECK(perSecond <= scenario.limit.rate + scenario.limit.burst / scenario.seconds);
    }
}

TEST_CASE("a repeated or late call neither credits returned tokens twice nor is granted again")
{
    const Time now = Simulation::start;
    Bucket bucket({10, 10}, 10, 0, Duration{}, now, 1);
    const HostIncarnation holder{"a", 1};
    const GrantReply first = bucket.handleRequest({holder, 1, 6, 1, {}}, now);
    REQUIRE(first.granted == 6);
    const GrantRequest back{holder, 2, 0, 0, {{first.id, 2, 3}}};
    bucket.handleRequest(back, now);
    CHECK(bucket.tokens(now) == Approx(7));
    bucket.handleRequest(back, now);
    CHECK(bucket.tokens(now) == Approx(7));
    CHECK(bucket.unspent(now) == Approx(1));
    CHECK(bucket.handleRequest({holder, 1, 6, 1, {}}, now).granted == 0);
}

TEST_CASE("a holder that calls rarely is not starved by one that calls constantly")
{
    Time now = Simulation::start;
    Bucket bucket({10, 1}, 0, 0, Duration{}, now, 1);
    double often = 0;
    double seldom = 0;
    std::uint64_t call = 0;
    for (Time next = now; now < Simulation::start + milliseconds{10000}; now += milliseconds{1}) {
        const GrantReply answer = bucket.handleRequest({{"often", 1}, ++call, 1, 1, {}}, now);
        often += answer.granted;
        bucket.handleRequest({{"often", 1}, ++call, 1, 1, {{answer.id, 1, 0}}}, now);
        if (now >= next) {
            const GrantReply answer = bucket.handleRequest({{"seldom", 1}, ++call, 1, 1, {}}, now);
            seldom += answer.granted;
            next = now + std::max<Duration>(answer.retryAfter, milliseconds{5});
            bucket.handleRequest({{"seldom", 1}, ++call, 0, 0, {{answer.id, 1, 0}}}, now);
        }
    }
    CHECK(often + seldom >= 95);
    CHECK(seldom >= 40);
}

TEST_CASE("a changed rate and burst take effect while the bucket runs")
{
    Time now = Simulation::start;
    Bucket bucket({10, 10}, 10, 0, Duration{}, now, 1);
    bucket.setLimit({100, 4}, now);
    CHECK(bucket.tokens(now) == Approx(4));
    bucket.handleRequest({{"a", 1}, 1, 4, 1, {}}, now);
    bucket.handleRequest({{"a", 1}, 2, 0, 0, {{1, 4, 0}}}, now);
    now += milliseconds{15};
    CHECK(bucket.tokens(now) == Approx(1.5));
}

TEST_CASE("unused tokens return to the owner before the grant expires")
{
    Time now = Simulation::start;
    TokenCache cache({"a", 1}, now);
    cache.recordDemand(20, now);
    const auto request = cache.nextRequest(1, 1, now);
    REQUIRE(request);
    cache.handleReply({5, 7, {}}, grantLifetime, now);
    REQUIRE(cache.take(2, now));
    now += milliseconds{600};
    const auto report = cache.nextRequest(0, 0, now);
    REQUIRE(report);
    CHECK(report->uses == std::vector<GrantUse>{{7, 2, 3}});
    CHECK(cache.available(now) == 0);
}
