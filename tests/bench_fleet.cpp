// Latency of the whole path on real processes beside the same callers going straight to the backend servers, in one
// run (JSON lines). Unlike bench_path, tokens, slots and the table are those of a real fleet.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr milliseconds warmUp{1000};
constexpr milliseconds measured{5000};

struct Result
{
    std::vector<double> latencies; // milliseconds
    unsigned failed = 0;
};

double percentile(const std::vector<double> &sorted, double part)
{
    const auto index = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

// One caller that sends at a fixed rate and counts from the moment at which a request was due.
void sendAtRate(const HttpRequest &request, double perSecond, Time begin, std::mutex &mutex, Result &result)
{
    HttpClient client;
    const auto step = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
    for (Time due = begin; due < begin + warmUp + measured; due += step) {
        std::this_thread::sleep_until(due);
        const HttpReply reply = client.send(request);
        if (due < begin + warmUp) {
            continue;
        }
        const std::lock_guard lock(mutex);
        result.failed += reply.status == 200 ? 0 : 1;
        result.latencies.push_back(std::chrono::duration<double, std::milli>(Clock::now() - due).count());
    }
}

// Runs the callers side by side, each with a target of its own, and returns the sorted latencies.
Result runCallers(const std::vector<HttpRequest> &targets, std::size_t callers, double perSecond)
{
    Result result;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const Time begin = Clock::now();
    for (std::size_t i = 0; i < callers; ++i) {
        const auto offset =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(i) / perSecond));
        threads.emplace_back([&, i, offset] {
            sendAtRate(targets[i % targets.size()], perSecond / static_cast<double>(callers), begin + offset, mutex,
                       result);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::sort(result.latencies.begin(), result.latencies.end());
    return result;
}

void print(const char *name, double perSecond, const Result &result)
{
    std::printf("{\"bench\":\"fleet\",\"name\":\"%s\",\"offered_per_s\":%.0f,\"requests\":%zu,\"failed\":%u,"
                "\"p50_ms\":%.3f,\"p99_ms\":%.3f}\n",
                name, perSecond, result.latencies.size(), result.failed, percentile(result.latencies, 0.5),
                percentile(result.latencies, 0.99));
    std::fflush(stdout);
}

} // namespace

int main()
{
    // Two backend servers with 4 slots of 2 ms each serve 4,000 requests/s in a region.
    const Fleet fleet("--entries 2 --servers 2");
    std::vector<HttpRequest> direct;
    std::vector<HttpRequest> path;
    for (const char *server : {"lessons-north-1", "lessons-north-2"}) {
        direct.push_back({.url = "http://" + fleet.serverAddress(server) + "/a"});
    }
    for (const Process &entry : fleet.processes("entry")) {
        if (entry.region == "north") {
            path.push_back({.url = "http://" + entry.httpAddress + "/s/lessons/a",
                            .headers = {{"Banyanledge-Key", fleet.customerKey()}}});
        }
    }
    for (const double load : {0.1, 0.25, 0.5}) {
        const double perSecond = load * 4000;
        const auto callers = static_cast<std::size_t>(std::max(2.0, perSecond / 100));
        const Result straight = runCallers(direct, callers, perSecond);
        const Result through = runCallers(path, callers, perSecond);
        print("direct", perSecond, straight);
        print("path", perSecond, through);
        std::printf("{\"bench\":\"fleet\",\"name\":\"added\",\"load\":%.2f,\"p50_ms\":%.3f,\"p99_ms\":%.3f}\n", load,
                    percentile(through.latencies, 0.5) - percentile(straight.latencies, 0.5),
                    percentile(through.latencies, 0.99) - percentile(straight.latencies, 0.99));
    }
    return 0;
}
