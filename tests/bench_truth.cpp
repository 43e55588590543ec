// Measures the replicated log on real files in one process and prints a JSON line for each figure. Not a test.
#include <atomic>
#include <cstdio>
#include <iostream>

#include "base/invariant.h"
#include "base/log.h"
#include "ledger/snapshotfile.h"
#include "ledger/store.h"
#include "ledger_group.h"

using namespace banyanledge;

namespace
{

double secondsSince(Time start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

proto::Command putRow(std::uint64_t number, std::uint64_t version)
{
    proto::Command command;
    command.set_change_id("row" + std::to_string(number) + "/" + std::to_string(version));
    command.set_actor("bench");
    auto *change = command.mutable_put_row();
    change->mutable_row()->set_service("service" + std::to_string(number));
    change->mutable_row()->set_region("region" + std::to_string(number % 16));
    change->mutable_row()->set_customer("*");
    change->mutable_row()->set_weight(100);
    change->set_expected_version(version);
    return command;
}

// Keeps `concurrent` edits under way for some seconds.
void benchEdits(int nodes, int concurrent, double seconds)
{
    NodeGroup group(nodes);
    (void)group.propose(putRow(0, 0));
    const auto leader = group.node(group.waitLeader());
    std::mutex mutex;
    std::vector<double> latencies;
    std::atomic<std::uint64_t> next{1};
    std::atomic<int> open{0};
    std::atomic<int> failed{0};
    const auto start = Clock::now();
    std::function<void()> one = [&] {
        const auto begun = Clock::now();
        ++open;
        leader->propose(putRow(next++, 0), [&, begun](const proto::CommandResult &result) {
            {
                const std::lock_guard lock(mutex);
                latencies.push_back(secondsSince(begun));
            }
            failed += result.kind() == proto::ERROR_NONE ? 0 : 1;
            if (secondsSince(start) < seconds) {
                one();
            }
            --open;
        });
    };
    for (int i = 0; i < concurrent; ++i) {
        one();
    }
    eventually([&] { return secondsSince(start) >= seconds && open == 0; });
    const double total = secondsSince(start);
    std::sort(latencies.begin(), latencies.end());
    std::printf("{\"bench\":\"edits\",\"nodes\":%d,\"concurrent\":%d,\"per_second\":%.0f,\"p50_ms\":%.3f,"
                "\"p99_ms\":%.3f,\"failed\":%d}\n",
                nodes, concurrent, static_cast<double>(latencies.size()) / total,
                latencies[latencies.size() / 2] * 1000, latencies[latencies.size() * 99 / 100] * 1000, failed.load());
}

// Opens a folder as a group of one and waits until everything is applied.
double restartSeconds(const std::string &folder, std::uint64_t rows)
{
    Node::Options options;
    options.id = "c1";
    options.dataFolder = folder;
    options.snapshotEntries = 1000000000;
    options.send = [](const proto::RaftMessage &) {};
    auto *member = options.initialConfig.add_members();
    member->set_id("c1");
    member->set_voter(true);
    const auto start = Clock::now();
    auto node = Node::open(options);
    std::uint64_t found = 0;
    eventually([&] {
        node->readTable([&](const Table &table) { found = table.rows().size(); });
        return found == rows;
    });
    return secondsSince(start);
}

void benchRestart(std::uint64_t rows, bool snapshot)
{
    TemporaryFolder folder;
    Table table;
    {
        auto store = Store::open(folder.path());
        RaftOutput output;
        for (std::uint64_t index = 1; index <= rows + 1; ++index) {
            proto::LogEntry entry;
            entry.set_term(1);
            entry.set_index(index);
            if (index == 1) {
                auto *member = entry.mutable_config()->add_members();
                member->set_id("c1");
                member->set_voter(true);
                member->set_identity(store->takeState().hardState.identity());
                table.advance(1);
            } else {
                *entry.mutable_command() = putRow(index, 0);
                (void)table.apply(index, entry.command());
            }
            output.entries.push_back(std::move(entry));
        }
        const auto config = output.entries.front().config();
        (void)store->save(output);
        if (snapshot) {
            proto::LogSnapshot stored;
            stored.set_last_index(rows + 1);
            stored.set_last_term(1);
            *stored.mutable_config() = config;
            const auto start = Clock::now();
            *stored.mutable_image() = table.image();
            const auto image = secondsSince(start);
            (void)writeSnapshot(folder.path(), stored);
            std::printf("{\"bench\":\"snapshot\",\"rows\":%lu,\"image_ms\":%.1f,\"write_ms\":%.1f,\"bytes\":%lu}\n",
                        static_cast<unsigned long>(rows), image * 1000, (secondsSince(start) - image) * 1000,
                        static_cast<unsigned long>(std::filesystem::file_size(*newestSnapshot(folder.path()))));
            (void)store->compact(rows + 1);
        }
    }
    std::printf("{\"bench\":\"restart\",\"rows\":%lu,\"from\":\"%s\",\"seconds\":%.3f}\n",
                static_cast<unsigned long>(rows), snapshot ? "snapshot" : "log", restartSeconds(folder.path(), rows));
}

// Stops the leader and measures until an edit is accepted again.
void benchLeaderChange(int nodes, int rounds)
{
    NodeGroup group(nodes);
    std::vector<double> times;
    std::uint64_t number = 0;
    for (int i = 0; i < rounds; ++i) {
        (void)group.propose(putRow(number++, 0));
        const auto old = group.waitLeader();
        const auto start = Clock::now();
        group.isolate(old, true);
        (void)group.propose(putRow(number++, 0));
        times.push_back(secondsSince(start));
        group.isolate(old, false);
        eventually(
            [&] { return group.node(old)->appliedRevision() >= group.node(group.waitLeader())->appliedRevision(); });
    }
    std::sort(times.begin(), times.end());
    std::printf("{\"bench\":\"leader_change\",\"nodes\":%d,\"rounds\":%d,\"p50_ms\":%.0f,\"max_ms\":%.0f}\n", nodes,
                rounds, times[times.size() / 2] * 1000, times.back() * 1000);
}

} // namespace

int main()
{
    startLog("error", "bench");
    setInvariantsFatal(true);
    for (const int nodes : {3, 5}) {
        for (const int concurrent : {1, 16, 256}) {
            benchEdits(nodes, concurrent, 3);
        }
    }
    for (const std::uint64_t rows : {1000, 10000, 100000}) {
        benchRestart(rows, false);
        benchRestart(rows, true);
    }
    benchLeaderChange(3, 20);
    benchLeaderChange(5, 20);
    return 0;
}
