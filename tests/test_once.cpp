// Bookings that callers resend to other hosts run at most once, and "not-run" means not run, while hosts die.
#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "tests/fleet.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr unsigned callerCount = 6;
constexpr unsigned bookingsOfCaller = 60;
constexpr unsigned resends = 4;
constexpr unsigned seed = 4;

// What a caller knows about one booking after all its resends.
struct Booking
{
    bool done = false; // one resend was answered with 200
    bool onlyNotRun = true; // every attempt was refused as not-run
};

struct Bookings
{
    std::mutex mutex;
    std::map<std::string, Booking> byId;
};

// Sends one booking to random hosts until it is known to have run or the resends are used up.
Booking book(const Fleet &fleet, HttpClient &client, const std::string &id, std::mt19937 &random)
{
    const auto entries = fleet.processes("entry");
    Booking booking;
    for (unsigned attempt = 0; attempt < resends && !booking.done; ++attempt) {
        const Process &entry = entries[random() % entries.size()];
        HttpRequest request{.method = "POST",
                            .url = "http://" + entry.httpAddress + "/s/booking/sessions?ms=20",
                            .body = id,
                            .timeout = milliseconds(6000)};
        request.headers = {{"Banyanledge-Key", fleet.customerKey()}, {"Banyanledge-Request-Id", id}};
        const HttpReply reply = client.send(request);
        booking.done = reply.status == 200 || reply.header("banyanledge-outcome") == "ran";
        booking.onlyNotRun = booking.onlyNotRun && reply.header("banyanledge-outcome") == "not-run";
    }
    return booking;
}

void bookAll(const Fleet &fleet, unsigned caller, std::atomic<unsigned> &sent, Bookings &bookings)
{
    HttpClient client;
    std::mt19937 random(seed + caller);
    for (unsigned i = 0; i < bookingsOfCaller; ++i) {
        const std::string id = "caller" + std::to_string(caller) + "-" + std::to_string(i);
        const Booking booking = book(fleet, client, id, random);
        const std::lock_guard lock(bookings.mutex);
        bookings.byId[id] = booking;
        ++sent;
    }
}

std::map<std::string, unsigned> executions(const Fleet &fleet)
{
    HttpClient client;
    std::map<std::string, unsigned> result;
    for (const std::string &address : fleet.serverAddresses()) {
        const auto state = parseJson(client.send({.url = "http://" + address + "/_state"}).body);
        for (const auto &item : field(state, "executions").list_value().values()) {
            if (field(item, "method").string_value() == "POST") {
                ++result[field(item, "request_id").string_value()];
            }
        }
    }
    return result;
}

} // namespace

TEST_CASE("a resent booking runs at most once while entry and control hosts are killed and frozen")
{
    Fleet fleet("--entries 2 --servers 2");
    Bookings bookings;
    std::atomic<unsigned> sent{0};
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] { bookAll(fleet, i, sent, bookings); });
    }
    // Faults at fixed points of the work: an entry host dies, the leader freezes, another entry host freezes.
    const auto entries = fleet.processes("entry");
    const unsigned total = callerCount * bookingsOfCaller;
    waitUntil([&] { return sent >= total / 6; }, milliseconds(60000));
    fleet.signal(entries[0].name, SIGKILL);
    waitUntil([&] { return sent >= total / 3; }, milliseconds(60000));
    const std::string leader = fleet.leader();
    fleet.signal(leader.empty() ? "c1" : leader, SIGSTOP);
    waitUntil([&] { return sent >= total / 2; }, milliseconds(60000));
    fleet.signal(leader.empty() ? "c1" : leader, SIGCONT);
    fleet.signal(entries[1].name, SIGSTOP);
    waitUntil([&] { return sent >= total * 2 / 3; }, milliseconds(60000));
    fleet.signal(entries[1].name, SIGCONT);
    for (std::thread &caller : callers) {
        caller.join();
    }
    const auto ran = executions(fleet);
    unsigned done = 0;
    for (const auto &[id, booking] : bookings.byId) {
        const auto found = ran.find(id);
        const unsigned times = found != ran.end() ? found->second : 0;
        INFO(id);
        CHECK(times <= 1);
        CHECK((!booking.done || times == 1));
        CHECK((!booking.onlyNotRun || times == 0));
        done += booking.done ? 1 : 0;
    }
    INFO("bookings known to have run: " << done << " of " << total);
    CHECK(done > total / 2);
}
