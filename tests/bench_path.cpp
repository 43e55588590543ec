// Latency that the request path adds, and look-ups per second. Prints JSON lines; the owners and the table are fakes.
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

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

// Sends one request after the other on a connection, at the times that the rate sets (0: as fast as possible).
std::vector<double> drive(std::uint16_t port, const std::string &request, double rate, Time until)
{
    asio::io_context context;
    Socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.set_option(asio::ip::tcp::no_delay(true));
    std::vector<double> latencies;
    std::array<char, 65536> part{};
    const Time begun = Clock::now();
    for (std::uint64_t i = 0; Clock::now() < until; ++i) {
        if (rate > 0) {
            std::this_thread::sleep_until(
                begun
                + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(i) / rate)));
        }
        const Time sent = Clock::now();
        asio::write(socket, asio::buffer(request));
        std::string response;
        while (!response.ends_with("}\n")) {
            response.append(part.data(), socket.read_some(asio::buffer(part)));
        }
        latencies.push_back(seconds(Clock::now() - sent));
    }
    return latencies;
}

struct Run
{
    double perSecond = 0;
    double p50 = 0;
    double p99 = 0;
};

Run measure(std::uint16_t port, const std::string &request, double rate)
{
    std::vector<std::thread> threads;
    std::vector<double> all;
    std::mutex mutex;
    const Time begun = Clock::now();
    for (unsigned i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            const auto latencies = drive(port, request, rate / callers, begun + runTime);
            const std::lock_guard lock(mutex);
            all.insert(all.end(), latencies.begin(), latencies.end());
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::sort(all.begin(), all.end());
    return {static_cast<double>(all.size()) / seconds(Clock::now() - begun), all[all.size() / 2],
            all[all.size() * 99 / 100]};
}

void print(const std::string &name, const Run &run, double cores)
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
    const auto timed = [](const std::string &name, std::uint16_t port, const std::string &request, double rate) {
        const double before = processorSeconds();
        const auto run = measure(port, request, rate);
        print(name, run, (processorSeconds() - before) / seconds(runTime));
        return run;
    };
    const auto direct =
        static_cast<std::uint16_t>(std::stoul(server.address().substr(server.address().rfind(':') + 1)));
    const std::string read = requestText("GET", "/s/lessons/a");
    const std::string lookup = "GET /v1/lookup?service=lessons HTTP/1.1\r\nHost: e1\r\n\r\n";
    const auto full = timed("requests, full load", fixture.port(), read, 0);
    const auto half = timed("requests, half load", fixture.port(), read, full.perSecond / 2);
    const auto plain = timed("server alone, same rate", direct, read, full.perSecond / 2);
    std::cout << "{\"bench\":\"added latency, half load\",\"p50_ms\":" << (half.p50 - plain.p50) * 1e3
              << ",\"p99_ms\":" << (half.p99 - plain.p99) * 1e3 << "}\n";
    timed("look-ups, full load", fixture.port(), lookup, 0);
}
