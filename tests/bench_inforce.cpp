// Times measured on real processes, as JSON lines: from an accepted edit until it is in force on all entry hosts, and
// from the crash of the leader until an edit is accepted again.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr unsigned editCount = 100;
constexpr unsigned leaderChangeCount = 5;

double millisecondsSince(Time start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

void printTimes(const std::string &name, std::vector<double> times, std::size_t hosts)
{
    std::sort(times.begin(), times.end());
    const auto percentile = [&times](double fraction) {
        return times[std::min(times.size() - 1,
                              static_cast<std::size_t>(fraction * static_cast<double>(times.size())))];
    };
    std::printf("{\"bench\":\"inforce\",\"name\":\"%s\",\"entry_hosts\":%zu,\"samples\":%zu,\"median_ms\":%.2f,"
                "\"p99_ms\":%.2f,\"most_ms\":%.2f}\n",
                name.c_str(), hosts, times.size(), percentile(0.5), percentile(0.99), times.back());
    std::fflush(stdout);
}

std::string issueKey(const Fleet &fleet, HttpClient &client)
{
    const HttpReply reply =
        fleet.callAnyControl(client, {.method = "POST", .url = "/v1/keys", .body = R"({"customer":"demo"})"});
    return field(parseJson(reply.body), "key").string_value();
}

// Issues API keys and polls every entry host in parallel until it accepts the new key.
void benchEdits(const Fleet &fleet)
{
    const auto entries = fleet.processes("entry");
    std::vector<HttpClient> clients(entries.size());
    HttpClient operatorClient;
    std::vector<double> acceptTimes;
    std::vector<double> inForceTimes;
    for (unsigned i = 0; i < editCount; ++i) {
        const Time start = Clock::now();
        const std::string key = issueKey(fleet, operatorClient);
        acceptTimes.push_back(millisecondsSince(start));
        const Time accepted = Clock::now();
        std::vector<std::thread> threads;
        std::vector<double> times(entries.size());
        for (std::size_t host = 0; host < entries.size(); ++host) {
            threads.emplace_back([&, host] {
                const HttpRequest request{.url = "http://" + entries[host].httpAddress + "/s/lessons/a",
                                          .headers = {{"Banyanledge-Key", key}}};
                waitUntil([&] { return clients[host].send(request).status == 200; });
                times[host] = millisecondsSince(accepted);
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        inForceTimes.push_back(*std::max_element(times.begin(), times.end()));
    }
    printTimes("edit_accepted", acceptTimes, entries.size());
    printTimes("edit_in_force_on_all_hosts", inForceTimes, entries.size());
}

// Kills the leader and measures the time until another control host accepts an edit.
void benchLeaderChange(Fleet &fleet)
{
    std::vector<double> times;
    for (unsigned i = 0; i < leaderChangeCount; ++i) {
        const std::string leader = fleet.leader();
        if (leader.empty()) {
            continue;
        }
        fleet.signal(leader, SIGKILL);
        const Time start = Clock::now();
        waitUntil([&] {
            HttpClient client;
            return !issueKey(fleet, client).empty();
        });
        times.push_back(millisecondsSince(start));
        fleet.waitForExit(leader);
        fleet.restart(leader);
        waitUntil([&] {
            HttpClient client;
            return fleet.callControl(client, fleet.process(leader), {.url = "/v1/rows"}).status == 200;
        });
    }
    printTimes("leader_change_until_edit_accepted", times, fleet.processes("entry").size());
}

} // namespace

int main()
{
    for (const char *arguments : {"--controls 3 --entries 4", "--controls 5 --entries 4"}) {
        Fleet fleet(arguments);
        std::printf("{\"bench\":\"inforce\",\"fleet\":\"%s\"}\n", arguments);
        benchEdits(fleet);
        benchLeaderChange(fleet);
    }
    return 0;
}
