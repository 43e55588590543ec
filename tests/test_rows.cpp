// History of operators who race on rows while control hosts are killed, restarted, frozen and cut off.
#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

#include "tests/fleet.h"
#include "tests/history.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

constexpr unsigned operatorCount = 4;
constexpr unsigned rowCount = 2;
constexpr unsigned seed = 20261204;

std::string rowService(unsigned row)
{
    return "service" + std::to_string(row);
}

// Fills in what a read of all rows returned for the operation's row.
void parseRead(const HttpReply &reply, RowOperation &operation)
{
    operation.ended = Clock::now();
    if (reply.status != 200) {
        return;
    }
    operation.outcome = RowOutcome::Done;
    const auto body = parseJson(reply.body);
    for (const auto &item : field(body, "rows").list_value().values()) {
        if (field(item, "service").string_value() == operation.row) {
            operation.version = std::stoull(field(item, "version").string_value());
            operation.value = static_cast<std::uint64_t>(field(item, "max_in_flight").number_value());
        }
    }
}

// Present version and value of a row on any control host; reads are linearizable.
RowOperation readRow(const Fleet &fleet, HttpClient &client, unsigned row)
{
    RowOperation operation{.row = rowService(row), .begun = Clock::now()};
    parseRead(fleet.callAnyControl(client, {.url = "/v1/rows", .timeout = milliseconds(1500)}), operation);
    return operation;
}

// Reads one row on one control host again and again, so that a host that wakes up and answers from an old state shows.
void readUntil(const Fleet &fleet, const Process &control, const std::atomic<bool> &stop, RowHistory &history)
{
    HttpClient client;
    while (!stop) {
        RowOperation operation{.row = rowService(0), .begun = Clock::now()};
        parseRead(fleet.callControl(client, control, {.url = "/v1/rows", .timeout = milliseconds(10000)}), operation);
        history.add(operation);
    }
}

// Edits a row from an expected version; a lost answer is resent with the same change id.
RowOperation editRow(const Fleet &fleet, HttpClient &client, unsigned row, std::uint64_t expected, std::uint64_t value)
{
    RowOperation operation{.row = rowService(row), .edit = true, .version = expected + 1, .value = value};
    HttpRequest request{.method = "PUT", .url = "/v1/rows", .timeout = milliseconds(1500)};
    request.body = R"({"row":{"service":")" + operation.row + R"(","region":"north","customer":"*","maxInFlight":)"
        + std::to_string(value) + R"(},"expectedVersion":")" + std::to_string(expected) + "\"}";
    request.headers["Banyanledge-Change-Id"] = "edit-" + std::to_string(value);
    operation.begun = Clock::now();
    for (unsigned attempt = 0; attempt < 5 && operation.outcome == RowOutcome::Unknown; ++attempt) {
        const HttpReply reply = fleet.callAnyControl(client, request);
        if (reply.status == 200) {
            operation.outcome = RowOutcome::Done;
        } else if (reply.status == 409) {
            operation.outcome = RowOutcome::Refused;
        }
    }
    operation.ended = Clock::now();
    return operation;
}

void operateUntil(const Fleet &fleet, unsigned number, const std::atomic<bool> &stop, RowHistory &history)
{
    HttpClient client;
    std::mt19937 random(seed + number);
    std::uint64_t value = number * 1000000ULL;
    while (!stop) {
        const unsigned row = random() % rowCount;
        const RowOperation read = readRow(fleet, client, row);
        history.add(read);
        if (read.outcome == RowOutcome::Done) {
            history.add(editRow(fleet, client, row, read.version, ++value));
        }
    }
}

// Waits until the group has a leader and accepts an edit, so that each fault meets a working group. Uses a row of its
// own: on a shared row it can lose every race while a frozen control host delays each of its calls.
bool groupWorks(const Fleet &fleet, HttpClient &client, RowHistory &history)
{
    static std::uint64_t value = 90000000;
    return waitUntil([&] {
        const RowOperation read = readRow(fleet, client, rowCount);
        const RowOperation edit = editRow(fleet, client, rowCount, read.version, ++value);
        history.add(edit);
        return edit.outcome == RowOutcome::Done;
    });
}

} // namespace

TEST_CASE("racing operators see linearizable rows while control hosts fail")
{
    Fleet fleet("--entries 1 --servers 1 --relays");
    RowHistory history;
    std::atomic<bool> stop{false};
    std::vector<std::thread> operators;
    for (unsigned i = 0; i < operatorCount; ++i) {
        operators.emplace_back([&, i] { operateUntil(fleet, i + 1, stop, history); });
    }
    for (const Process &control : fleet.processes("control")) {
        operators.emplace_back([&, control] { readUntil(fleet, control, stop, history); });
    }
    HttpClient client;
    const char *rounds = std::getenv("BANYANLEDGE_ROUNDS"); // NOLINT(concurrency-mt-unsafe)
    const int count = rounds != nullptr ? std::atoi(rounds) : 6;
    bool worked = groupWorks(fleet, client, history);
    for (int round = 0; round < count && worked; ++round) {
        const std::string leader = fleet.leader();
        const std::string victim = leader.empty() ? "c1" : leader;
        if (round % 3 == 0) {
            fleet.signal(victim, SIGKILL);
            fleet.waitForExit(victim);
            worked = groupWorks(fleet, client, history);
            fleet.restart(victim);
        } else if (round % 3 == 1) {
            // A leader that hears nothing and still sends goes on believing that it leads until it misses its quorum.
            fleet.cut(victim);
            worked = groupWorks(fleet, client, history);
            fleet.heal(victim);
        } else {
            // A frozen leader wakes up and still believes that it leads.
            fleet.signal(victim, SIGSTOP);
            worked = groupWorks(fleet, client, history);
            fleet.signal(victim, SIGCONT);
        }
        worked = worked && groupWorks(fleet, client, history);
    }
    stop = true;
    for (std::thread &thread : operators) {
        thread.join();
    }
    CHECK(worked);
    const auto violations = history.violations();
    for (const std::string &violation : violations) {
        UNSCOPED_INFO(violation);
    }
    CHECK(violations.empty());
    INFO("operations: " << history.size());
    CHECK(history.size() > 100);
}
