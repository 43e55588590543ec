// Leaving and drained backend servers receive no new requests after 2 s, and graceful shutdowns abort no response.
#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <set>
#include <thread>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr milliseconds drainBound{2000};

HttpReply get(HttpClient &client, const Process &entry, const std::string &path, const std::string &key)
{
    return client.send({.url = "http://" + entry.httpAddress + path,
                        .headers = {{"Banyanledge-Key", key}},
                        .timeout = milliseconds(30000)});
}

// Number of requests that a backend server has executed so far.
std::uint64_t runCount(const Fleet &fleet, const std::string &server)
{
    HttpClient client;
    const auto state = parseJson(client.send({.url = "http://" + fleet.serverAddress(server) + "/_state"}).body);
    return static_cast<std::uint64_t>(field(state, "runs").number_value());
}

// Sends requests to every entry host in a loop, one after another, until destroyed.
class LoadGenerator
{
public:
    explicit LoadGenerator(const Fleet &fleet)
    {
        for (const Process &entry : fleet.processes("entry")) {
            m_threads.emplace_back([this, &fleet, entry] {
                HttpClient client;
                while (!m_stop) {
                    const HttpReply reply = get(client, entry, "/s/lessons/a", fleet.customerKey());
                    m_served += reply.status == 200 ? 1 : 0;
                    m_failed += reply.status == 200 ? 0 : 1;
                }
            });
        }
    }
    ~LoadGenerator()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;
    unsigned served() const
    {
        return m_served;
    }
    unsigned failed() const
    {
        return m_failed;
    }

private:
    std::atomic<bool> m_stop{false};
    std::atomic<unsigned> m_served{0};
    std::atomic<unsigned> m_failed{0};
    std::vector<std::thread> m_threads;
};

// A large response of an entry host, in progress when the constructor returns.
class Download
{
public:
    Download(const Fleet &fleet, const Process &entry, std::size_t bytes)
        : m_thread([this, &fleet, entry, bytes] {
            HttpClient client;
            m_reply = get(client, entry, "/s/lessons/bytes?count=" + std::to_string(bytes) + "&pause_ms=25",
                          fleet.customerKey());
        })
    {
        CHECK(waitUntil([&] { return fleet.requestsInFlight() > 0; }));
    }
    ~Download()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    Download(const Download &) = delete;
    Download &operator=(const Download &) = delete;
    // Waits for the end of the response.
    const HttpReply &finish()
    {
        m_thread.join();
        return m_reply;
    }

private:
    HttpReply m_reply;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a leaving or drained backend server gets no new requests after 2 s, and no request is refused meanwhile")
{
    Fleet fleet("--entries 1 --servers 2");
    const LoadGenerator load(fleet);
    REQUIRE(
        waitUntil([&] { return runCount(fleet, "lessons-north-1") > 20 && runCount(fleet, "lessons-south-1") > 20; }));
    fleet.editPlatformHosts([](google::protobuf::Value &host) {
        if (field(host, "id").string_value() == "lessons-north-1") {
            (*host.mutable_struct_value()->mutable_fields())["state"].set_string_value("leaving");
        }
    });
    HttpClient client;
    REQUIRE(fleet.callAnyControl(client, {.method = "POST", .url = "/v1/servers/lessons-south-1/drain"}).status == 200);
    std::this_thread::sleep_for(drainBound);
    const std::uint64_t leavingRuns = runCount(fleet, "lessons-north-1");
    const std::uint64_t drainedRuns = runCount(fleet, "lessons-south-1");
    const unsigned served = load.served();
    REQUIRE(waitUntil([&] { return load.served() > served + 200; }));
    CHECK(runCount(fleet, "lessons-north-1") == leavingRuns);
    CHECK(runCount(fleet, "lessons-south-1") == drainedRuns);
    CHECK(load.failed() == 0);
}

TEST_CASE("a graceful shutdown of an entry host finishes the responses in progress")
{
    Fleet fleet("--entries 2 --servers 2");
    const Process entry = fleet.processes("entry").front();
    constexpr std::size_t bytes = 20 << 20;
    Download download(fleet, entry, bytes);
    fleet.signal(entry.name, SIGTERM);
    // Look-ups on other hosts no longer return the host, while it still serves callers that have its address cached.
    HttpClient client;
    const Process other = fleet.processes("entry").back();
    CHECK(waitUntil(
        [&] {
            const HttpReply reply = client.send({.url = "http://" + other.httpAddress + "/v1/lookup?service=lessons"});
            return reply.status == 200 && reply.body.find(entry.httpAddress) == std::string::npos;
        },
        milliseconds(3000)));
    CHECK(get(client, entry, "/s/lessons/a", fleet.customerKey()).status == 200);
    const HttpReply reply = download.finish();
    CHECK(reply.status == 200);
    CHECK(reply.body.size() == bytes);
    fleet.waitForExit(entry.name);
}

// Regression test: the log thread did not block these signals, so a SIGHUP or a second SIGTERM during a graceful
// shutdown terminated the process.
TEST_CASE("a SIGHUP or a second SIGTERM during a graceful shutdown aborts no response")
{
    Fleet fleet("--entries 1 --servers 1");
    const Process entry = fleet.processes("entry").front();
    constexpr std::size_t bytes = 4 << 20;
    Download download(fleet, entry, bytes);
    fleet.signal(entry.name, SIGTERM);
    std::this_thread::sleep_for(milliseconds(300));
    fleet.signal(entry.name, SIGHUP);
    fleet.signal(entry.name, SIGTERM);
    const HttpReply reply = download.finish();
    CHECK(reply.status == 200);
    CHECK(reply.body.size() == bytes);
    fleet.waitForExit(entry.name);
}
