// Benchmark of the replicated log, as JSON lines: edits, restarts, snapshots and leader changes of Raft groups within
// one process, with real files.
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

proto::Command putRow(std::uint64_t rowNumber, std::uint64_t version)
{
    proto::Command command;
    command.set_change_id("row" + std::to_string(rowNumber) + "/" + std::to_string(version));
    command.set_actor("bench");
    auto *change = command.mutable_put_row();
    change->mutable_row()->set_service("service" + std::to_string(rowNumber));
    change->mutable_row()->set_region("region" + std::to_string(rowNumber % 16));
    change->mutable_row()->set_customer("*");
    change->mutable_row()->set_weight(100);
    change->set_expected_version(version);
    return command;
}

// Keeps `concurrent` edits outstanding for some seconds.
void benchEdits(int nodes, int concurrent, double seconds)
{
    NodeGroup group(nodes);
    (void)group.propose(putRow(0, 0));
    const auto leader = group.node(group.waitLeader());
    std::mutex mutex;
    std::vector<double> latencies;
    std::atomic<std::uint64_t> nextRow{1};
    std::atomic<int> pending{0};
    std::atomic<int> failed{0};
    const auto start = Clock::now();
    std::function<void()> proposeNext = [&] {
        const auto proposedAt = Clock::now();
        ++pending;
        leader->propose(putRow(nextRow++, 0), [&, proposedAt](const proto::CommandResult &result) {
            {
                const std::lock_guard lock(mutex);
                latencies.push_back(secondsSince(proposedAt));
            }
            failed += result.kind() == proto::ERROR_NONE ? 0 : 1;
            if (secondsSince(start) < seconds) {
                proposeNext();
            }
            --pending;
        });
    };
    for (int i = 0; i < concurrent; ++i) {
        proposeNext();
    }
    eventually([&] { return secondsSince(start) >= seconds && pending == 0; });
    const double elapsed = secondsSince(start);
    std::sort(latencies.begin(), latencies.end());
    std::printf("{\"bench\":\"edits\",\"nodes\":%d,\"concurrent\":%d,\"per_second\":%.0f,\"p50_ms\":%.3f,"
                "\"p99_ms\":%.3f,\"failed\":%d}\n",
                nodes, concurrent, static_cast<double>(latencies.size()) / elapsed,
                latencies[latencies.size() / 2] * 1000, latencies[latencies.size() * 99 / 100] * 1000, failed.load());
}

// Opens a data folder as a group of one node and returns the seconds until all rows are applied.
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
    std::uint64_t applied = 0;
    eventually([&] {
        node->readTable([&](const Table &table) { applied = table.rows().size(); });
        return applied == rows;
    });
    return secondsSince(start);
}

// Writes a log of `rows` entries, also a snapshot of them if `snapshot` is set, and measures a restart from it.
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
            const auto imageSeconds = secondsSince(start);
            (void)writeSnapshot(folder.path(), stored);
            std::printf("{\"bench\":\"snapshot\",\"rows\":%lu,\"image_ms\":%.1f,\"write_ms\":%.1f,\"bytes\":%lu}\n",
                        static_cast<unsigned long>(rows), imageSeconds * 1000,
                        (secondsSince(start) - imageSeconds) * 1000,
                        static_cast<unsigned long>(std::filesystem::file_size(*newestSnapshot(folder.path()))));
            (void)store->compact(rows + 1);
        }
    }
    std::printf("{\"bench\":\"restart\",\"rows\":%lu,\"from\":\"%s\",\"seconds\":%.3f}\n",
                static_cast<unsigned long>(rows), snapshot ? "snapshot" : "log", restartSeconds(folder.path(), rows));
}

// Isolates the leader and measures the time until an edit is accepted again.
void benchLeaderChange(int nodes, int rounds)
{
    NodeGroup group(nodes);
    std::vector<double> times;
    std::uint64_t rowNumber = 0;
    for (int i = 0; i < rounds; ++i) {
        (void)group.propose(putRow(rowNumber++, 0));
        const auto oldLeader = group.waitLeader();
        const auto start = Clock::now();
        group.isolate(oldLeader, true);
        (void)group.propose(putRow(rowNumber++, 0));
        times.push_back(secondsSince(start));
        group.isolate(oldLeader, false);
        eventually([&] {
            return group.node(oldLeader)->appliedRevision() >= group.node(group.waitLeader())->appliedRevision();
        });
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
