// Bookings (unsafe requests) that callers resend to other entry hosts are executed at most once while hosts fail, and a
// booking that was only ever refused as "not-run" has not been executed.
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
constexpr unsigned bookingsPerCaller = 60;
constexpr unsigned maxAttempts = 4;
constexpr unsigned seed = 4;

// What a caller knows about one booking after its last attempt.
struct Booking
{
    bool executed = false; // an attempt returned 200 or the outcome "ran"
    bool alwaysNotRun = true; // every attempt returned the outcome "not-run"
};

struct Bookings
{
    std::mutex mutex;
    std::map<std::string, Booking> byId;
};

// Sends a booking to random entry hosts until it is known to have been executed or no attempts are left.
Booking sendBooking(const Fleet &fleet, HttpClient &client, const std::string &id, std::mt19937 &random)
{
    const auto entries = fleet.processes("entry");
    Booking booking;
    for (unsigned attempt = 0; attempt < maxAttempts && !booking.executed; ++attempt) {
        const Process &entry = entries[random() % entries.size()];
        HttpRequest request{.method = "POST",
                            .url = "http://" + entry.httpAddress + "/s/booking/sessions?ms=20",
                            .body = id,
                            .timeout = milliseconds(6000)};
        request.headers = {{"Banyanledge-Key", fleet.customerKey()}, {"Banyanledge-Request-Id", id}};
        const HttpReply reply = client.send(request);
        booking.executed = reply.status == 200 || reply.header("banyanledge-outcome") == "ran";
        booking.alwaysNotRun = booking.alwaysNotRun && reply.header("banyanledge-outcome") == "not-run";
    }
    return booking;
}

void sendBookings(const Fleet &fleet, unsigned caller, std::atomic<unsigned> &sent, Bookings &bookings)
{
    HttpClient client;
    std::mt19937 random(seed + caller);
    for (unsigned i = 0; i < bookingsPerCaller; ++i) {
        const std::string id = "caller" + std::to_string(caller) + "-" + std::to_string(i);
        const Booking booking = sendBooking(fleet, client, id, random);
        const std::lock_guard lock(bookings.mutex);
        bookings.byId[id] = booking;
        ++sent;
    }
}

// Number of executions of each booking on all backend servers, by request id.
std::map<std::string, unsigned> executionCounts(const Fleet &fleet)
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

TEST_CASE("a resent booking is executed at most once while entry and control hosts are killed and paused")
{
    Fleet fleet("--entries 2 --servers 2");
    Bookings bookings;
    std::atomic<unsigned> sent{0};
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] { sendBookings(fleet, i, sent, bookings); });
    }
    // Faults at fixed fractions of the bookings: one entry host is killed, then the leader and another entry host are
    // paused.
    const auto entries = fleet.processes("entry");
    const unsigned total = callerCount * bookingsPerCaller;
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
    const auto executions = executionCounts(fleet);
    unsigned executed = 0;
    for (const auto &[id, booking] : bookings.byId) {
        const auto found = executions.find(id);
        const unsigned runs = found != executions.end() ? found->second : 0;
        INFO(id);
        CHECK(runs <= 1);
        CHECK((!booking.executed || runs == 1));
        CHECK((!booking.alwaysNotRun || runs == 0));
        executed += booking.executed ? 1 : 0;
    }
    INFO("bookings known to have been executed: " << executed << " of " << total);
    CHECK(executed > total / 2);
}
