// Latency that the request path adds on real processes, as JSON lines: callers at the same rate send first directly to
// the backend servers and then through the entry hosts. Unlike in bench_path, tokens, slots and the table come from a
// real fleet.
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

constexpr milliseconds warmUpTime{1000};
constexpr milliseconds measureTime{5000};

struct Result
{
    std::vector<double> latencies; // milliseconds
    unsigned failed = 0; // requests without status 200
};

double percentile(const std::vector<double> &sorted, double fraction)
{
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

// Sends requests at a fixed rate from one caller. Latencies are measured from the time at which a request was due, so
// that waiting for a slow predecessor counts.
void sendAtRate(const HttpRequest &request, double perSecond, Time start, std::mutex &mutex, Result &result)
{
    HttpClient client;
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
    for (Time due = start; due < start + warmUpTime + measureTime; due += interval) {
        std::this_thread::sleep_until(due);
        const HttpReply reply = client.send(request);
        if (due < start + warmUpTime) {
            continue;
        }
        const std::lock_guard lock(mutex);
        result.failed += reply.status == 200 ? 0 : 1;
        result.latencies.push_back(std::chrono::duration<double, std::milli>(Clock::now() - due).count());
    }
}

// Runs the callers in parallel, with the targets assigned in turn, and returns the sorted latencies.
Result runCallers(const std::vector<HttpRequest> &targets, std::size_t callers, double perSecond)
{
    Result result;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const Time start = Clock::now();
    for (std::size_t i = 0; i < callers; ++i) {
        const auto offset =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(i) / perSecond));
        threads.emplace_back([&, i, offset] {
            sendAtRate(targets[i % targets.size()], perSecond / static_cast<double>(callers), start + offset, mutex,
                       result);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::sort(result.latencies.begin(), result.latencies.end());
    return result;
}

void printResult(const char *name, double perSecond, const Result &result)
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
    // Two backend servers with 4 slots each and 2 ms per request serve 4,000 requests/s in a region.
    const Fleet fleet("--entries 2 --servers 2");
    std::vector<HttpRequest> directTargets;
    std::vector<HttpRequest> entryTargets;
    for (const char *server : {"lessons-north-1", "lessons-north-2"}) {
        directTargets.push_back({.url = "http://" + fleet.serverAddress(server) + "/a"});
    }
    for (const Process &entry : fleet.processes("entry")) {
        if (entry.region == "north") {
            entryTargets.push_back({.url = "http://" + entry.httpAddress + "/s/lessons/a",
                                    .headers = {{"Banyanledge-Key", fleet.customerKey()}}});
        }
    }
    for (const double load : {0.1, 0.25, 0.5}) {
        const double perSecond = load * 4000;
        const auto callers = static_cast<std::size_t>(std::max(2.0, perSecond / 100));
        const Result directResult = runCallers(directTargets, callers, perSecond);
        const Result entryResult = runCallers(entryTargets, callers, perSecond);
        printResult("direct", perSecond, directResult);
        printResult("path", perSecond, entryResult);
        std::printf("{\"bench\":\"fleet\",\"name\":\"added\",\"load\":%.2f,\"p50_ms\":%.3f,\"p99_ms\":%.3f}\n", load,
                    percentile(entryResult.latencies, 0.5) - percentile(directResult.latencies, 0.5),
                    percentile(entryResult.latencies, 0.99) - percentile(directResult.latencies, 0.99));
    }
    return 0;
}
