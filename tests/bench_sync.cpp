// Processor time of the leader's event loop for the Sync calls of many hosts, as one JSON line.
// Usage: bench_sync [HOSTS] [POOLS] [SECONDS]
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <random>

#include "base/packing.h"
#include "control/sync.h"
#include "ledger_group.h"

using namespace banyanledge;

namespace
{

constexpr std::uint64_t sampleInterval = 100;

// Simulates hosts that keep one Sync call outstanding each, all on the event loop's thread. Host h0 also reports the
// loads of all pools.
class SimulatedHosts
{
public:
    SimulatedHosts(asio::io_context &loop, SyncHandler &sync, int poolCount)
        : m_loop(loop)
        , m_sync(sync)
        , m_poolCount(poolCount)
    {
    }

    void call(const std::string &id, Revision knownRevision)
    {
        proto::SyncRequest request;
        request.mutable_self()->set_id(id);
        request.mutable_self()->set_incarnation(7);
        request.mutable_self()->set_entry(true);
        request.mutable_self()->set_region("north");
        request.mutable_self()->set_state(proto::MEMBER_LIVE);
        request.set_wait_ms(400);
        request.set_known_revision(knownRevision);
        for (int i = 0; id == "h0" && i < m_poolCount; ++i) {
            auto *load = request.add_pools();
            load->set_service("service" + std::to_string(i));
            load->set_region("north");
            load->set_slots(40);
            load->set_in_use(m_random() % 40);
            load->set_waiting(m_random() % 8);
            load->set_latency_ms(static_cast<double>(m_random() % 1000000) / 1e4);
            load->set_warm(static_cast<double>(m_random() % 1000) / 1e3);
        }
        m_sync.handle(request, [this, id, knownRevision](proto::SyncReply reply) {
            sampledBytes += replies % sampleInterval == 0 ? static_cast<double>(reply.ByteSizeLong()) : 0;
            unpackCommon(reply);
            handleReply(id, knownRevision, reply);
        });
    }

    std::uint64_t replies = 0;
    double bytes = 0;
    double sampledBytes = 0; // size as sent, with compressed parts, of one reply in `sampleInterval`

private:
    void handleReply(const std::string &id, Revision knownRevision, const proto::SyncReply &reply)
    {
        ++replies;
        bytes += static_cast<double>(reply.ByteSizeLong());
        const Revision newRevision = std::max<Revision>(knownRevision, reply.content().revision());
        asio::post(m_loop, [this, id, newRevision] { call(id, newRevision); });
    }

    asio::io_context &m_loop;
    SyncHandler &m_sync;
    int m_poolCount;
    std::mt19937 m_random{1};
};

double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

} // namespace

int main(int argc, char **argv)
{
    const int hostCount = argc > 1 ? std::atoi(argv[1]) : 300;
    const int poolCount = argc > 2 ? std::atoi(argv[2]) : 48;
    const int seconds = argc > 3 ? std::atoi(argv[3]) : 5;
    NodeGroup group(1);
    asio::io_context loop;
    SyncHandler sync(loop, *group.node(group.waitLeader()));
    SimulatedHosts hosts(loop, sync, poolCount);
    asio::steady_timer timer(loop);
    std::function<void()> tick = [&] {
        sync.tick(Clock::now());
        timer.expires_after(milliseconds(25));
        timer.async_wait([&](const asio::error_code &) { tick(); });
    };
    tick();
    for (int i = 0; i < hostCount; ++i) {
        hosts.call("h" + std::to_string(i), 0);
    }
    loop.run_for(std::chrono::seconds(2)); // until all hosts are registered
    hosts.replies = 0;
    hosts.bytes = 0;
    hosts.sampledBytes = 0;
    const double cpuStart = threadSeconds();
    const Time start = Clock::now();
    loop.run_for(std::chrono::seconds(seconds));
    const double wallTime = std::chrono::duration<double>(Clock::now() - start).count();
    const double cpuTime = threadSeconds() - cpuStart;
    const auto replies = static_cast<double>(hosts.replies);
    std::printf("{\"bench\":\"sync\",\"hosts\":%d,\"pools\":%d,\"answers_per_s\":%.0f,\"cpu_us_per_answer\":%.1f,"
                "\"cpu_of_a_core\":%.3f,\"bytes_per_answer\":%.0f,"
                "\"compressed\":%.0f}\n",
                hostCount, poolCount, replies / wallTime, cpuTime / replies * 1e6, cpuTime / wallTime,
                hosts.bytes / replies, hosts.sampledBytes / (replies / static_cast<double>(sampleInterval)));
    return 0;
}
