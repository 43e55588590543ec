// Latency that the request path of one entry host adds, and its look-ups per second, as JSON lines. The owners and the
// table are fakes.
#include <sys/resource.h>

#include <algorithm>
#include <iostream>

#include "entry_fixture.h"

using namespace banyanledge;
using namespace banyanledge::testing;
using Socket = asio::ip::tcp::socket;

namespace
{

constexpr unsigned callers = 8;
constexpr std::chrono::seconds runTime{3};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

// Sends requests one after the other on a connection, at `rate` requests per second or, if it is 0, as fast as
// possible. Returns the latencies in seconds.
std::vector<double> sendRequests(std::uint16_t port, const std::string &request, double rate, Time until)
{
    asio::io_context context;
    Socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.set_option(asio::ip::tcp::no_delay(true));
    std::vector<double> latencies;
    std::array<char, 65536> buffer{};
    const Time start = Clock::now();
    for (std::uint64_t i = 0; Clock::now() < until; ++i) {
        if (rate > 0) {
            std::this_thread::sleep_until(
                start
                + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(i) / rate)));
        }
        const Time sent = Clock::now();
        asio::write(socket, asio::buffer(request));
        std::string response;
        while (!response.ends_with("}\n")) {
            response.append(buffer.data(), socket.read_some(asio::buffer(buffer)));
        }
        latencies.push_back(seconds(Clock::now() - sent));
    }
    return latencies;
}

struct Run
{
    double perSecond = 0;
    double p50 = 0; // seconds
    double p99 = 0; // seconds
};

Run runCallers(std::uint16_t port, const std::string &request, double rate)
{
    std::vector<std::thread> threads;
    std::vector<double> all;
    std::mutex mutex;
    const Time start = Clock::now();
    for (unsigned i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            const auto latencies = sendRequests(port, request, rate / callers, start + runTime);
            const std::lock_guard lock(mutex);
            all.insert(all.end(), latencies.begin(), latencies.end());
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::sort(all.begin(), all.end());
    return {static_cast<double>(all.size()) / seconds(Clock::now() - start), all[all.size() / 2],
            all[all.size() * 99 / 100]};
}

void printRun(const std::string &name, const Run &run, double cores)
{
    std::cout << "{\"bench\":\"" << name << "\",\"per_second\":" << run.perSecond << ",\"p50_ms\":" << run.p50 * 1e3
              << ",\"p99_ms\":" << run.p99 * 1e3 << ",\"cores_with_callers\":" << cores << "}\n";
}

} // namespace

int main()
{
    ScriptedServer server([](const std::string &, Socket &socket) {
        sendAll(socket, okResponse("{}\n"));
        return true;
    });
    EntryFixture fixture({server.address()});
    const auto runTimed = [](const std::string &name, std::uint16_t port, const std::string &request, double rate) {
        const double before = cpuSeconds();
        const auto run = runCallers(port, request, rate);
        printRun(name, run, (cpuSeconds() - before) / seconds(runTime));
        return run;
    };
    const auto serverPort =
        static_cast<std::uint16_t>(std::stoul(server.address().substr(server.address().rfind(':') + 1)));
    const std::string getRequest = requestText("GET", "/s/lessons/a");
    const std::string lookupRequest = "GET /v1/lookup?service=lessons HTTP/1.1\r\nHost: e1\r\n\r\n";
    const auto fullLoad = runTimed("requests, full load", fixture.port(), getRequest, 0);
    const auto halfLoad = runTimed("requests, half load", fixture.port(), getRequest, fullLoad.perSecond / 2);
    const auto directRun = runTimed("server alone, same rate", serverPort, getRequest, fullLoad.perSecond / 2);
    std::cout << "{\"bench\":\"added latency, half load\",\"p50_ms\":" << (halfLoad.p50 - directRun.p50) * 1e3
              << ",\"p99_ms\":" << (halfLoad.p99 - directRun.p99) * 1e3 << "}\n";
    runTimed("look-ups, full load", fixture.port(), lookupRequest, 0);
}
