// Leaving backend servers get no new work after 2 s, and planned stops cut nothing.
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

constexpr milliseconds leavingBound{2000};

HttpReply get(HttpClient &client, const Process &entry, const std::string &path, const std::string &key)
{
    return client.send({.url = "http://" + entry.httpAddress + path,
                        .headers = {{"Banyanledge-Key", key}},
                        .timeout = milliseconds(30000)});
}

std::uint64_t runsOf(const Fleet &fleet, const std::string &server)
{
    HttpClient client;
    const auto state = parseJson(client.send({.url = "http://" + fleet.serverAddress(server) + "/_state"}).body);
    return static_cast<std::uint64_t>(field(state, "runs").number_value());
}

// Keeps sending requests to every entry host, as callers would.
class Load
{
public:
    explicit Load(const Fleet &fleet)
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
    ~Load()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;
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

// A long answer of an entry host, under way when the constructor returns.
class Download
{
public:
    Download(const Fleet &fleet, const Process &entry, std::size_t bytes)
        : m_thread([this, &fleet, entry, bytes] {
            HttpClient client;
            m_answer = get(client, entry, "/s/lessons/bytes?count=" + std::to_string(bytes) + "&pause_ms=25",
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
    const HttpReply &finish()
    {
        m_thread.join();
        return m_answer;
    }

private:
    HttpReply m_answer;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a leaving or drained backend server gets no new work after 2 s, and nothing is refused meanwhile")
{
    Fleet fleet("--entries 1 --servers 2");
    const Load load(fleet);
    REQUIRE(waitUntil([&] { return runsOf(fleet, "lessons-north-1") > 20 && runsOf(fleet, "lessons-south-1") > 20; }));
    fleet.editPlatform([](google::protobuf::Value &host) {
        if (field(host, "id").string_value() == "lessons-north-1") {
            (*host.mutable_struct_value()->mutable_fields())["state"].set_string_value("leaving");
        }
    });
    HttpClient client;
    REQUIRE(fleet.callAnyControl(client, {.method = "POST", .url = "/v1/servers/lessons-south-1/drain"}).status == 200);
    std::this_thread::sleep_for(leavingBound);
    const std::uint64_t listed = runsOf(fleet, "lessons-north-1");
    const std::uint64_t drained = runsOf(fleet, "lessons-south-1");
    const unsigned served = load.served();
    REQUIRE(waitUntil([&] { return load.served() > served + 200; }));
    CHECK(runsOf(fleet, "lessons-north-1") == listed);
    CHECK(runsOf(fleet, "lessons-south-1") == drained);
    CHECK(load.failed() == 0);
}

TEST_CASE("a planned stop of an entry host finishes the answers in flight")
{
    Fleet fleet("--entries 2 --servers 2");
    const Process entry = fleet.processes("entry").front();
    constexpr std::size_t bytes = 20 << 20;
    Download download(fleet, entry, bytes);
    fleet.signal(entry.name, SIGTERM);
    // Look-ups on other hosts stop naming the host, while it serves on for callers that cached it.
    HttpClient client;
    const Process other = fleet.processes("entry").back();
    CHECK(waitUntil(
        [&] {
            const HttpReply reply = client.send({.url = "http://" + other.httpAddress + "/v1/lookup?service=lessons"});
            return reply.status == 200 && reply.body.find(entry.httpAddress) == std::string::npos;
        },
        milliseconds(3000)));
    CHECK(get(client, entry, "/s/lessons/a", fleet.customerKey()).status == 200);
    const HttpReply answer = download.finish();
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == bytes);
    fleet.waitForExit(entry.name);
}

// The thread of the log did not block the signals, so a SIGHUP or a second SIGTERM during the shutdown ended the
// process.
TEST_CASE("a reload or a second stop that is asked for during a planned stop cuts nothing")
{
    Fleet fleet("--entries 1 --servers 1");
    const Process entry = fleet.processes("entry").front();
    constexpr std::size_t bytes = 4 << 20;
    Download download(fleet, entry, bytes);
    fleet.signal(entry.name, SIGTERM);
    std::this_thread::sleep_for(milliseconds(300));
    fleet.signal(entry.name, SIGHUP);
    fleet.signal(entry.name, SIGTERM);
    const HttpReply answer = download.finish();
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == bytes);
    fleet.waitForExit(entry.name);
}
