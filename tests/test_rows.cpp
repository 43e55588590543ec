// Concurrent operators edit and read the same rows while control hosts are killed, restarted, paused and partitioned.
// The recorded history must be linearizable.
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

// Fills in the operation's row, if present, from the response to a read of all rows.
void recordRead(const HttpReply &reply, RowOperation &operation)
{
    operation.endTime = Clock::now();
    if (reply.status != 200) {
        return;
    }
    operation.outcome = RowOutcome::Succeeded;
    const auto body = parseJson(reply.body);
    for (const auto &item : field(body, "rows").list_value().values()) {
        if (field(item, "service").string_value() == operation.row) {
            operation.version = std::stoull(field(item, "version").string_value());
            operation.value = static_cast<std::uint64_t>(field(item, "max_in_flight").number_value());
        }
    }
}

// Reads a row's current version and value from any control host.
RowOperation readRow(const Fleet &fleet, HttpClient &client, unsigned row)
{
    RowOperation operation{.row = rowService(row), .startTime = Clock::now()};
    recordRead(fleet.callAnyControl(client, {.url = "/v1/rows", .timeout = milliseconds(1500)}), operation);
    return operation;
}

// Reads a row from one control host in a loop. This catches a host that is resumed after a pause and returns old state.
void readUntilStopped(const Fleet &fleet, const Process &control, const std::atomic<bool> &stop, RowHistory &history)
{
    HttpClient client;
    while (!stop) {
        RowOperation operation{.row = rowService(0), .startTime = Clock::now()};
        recordRead(fleet.callControl(client, control, {.url = "/v1/rows", .timeout = milliseconds(10000)}), operation);
        history.add(operation);
    }
}

// Edits a row if it still has the expected version. Without a conclusive response the edit is resent with the same
// change id, so that it is applied at most once.
RowOperation editRow(const Fleet &fleet, HttpClient &client, unsigned row, std::uint64_t expectedVersion,
                     std::uint64_t value)
{
    RowOperation operation{.row = rowService(row), .isEdit = true, .version = expectedVersion + 1, .value = value};
    HttpRequest request{.method = "PUT", .url = "/v1/rows", .timeout = milliseconds(1500)};
    request.body = R"({"row":{"service":")" + operation.row + R"(","region":"north","customer":"*","maxInFlight":)"
        + std::to_string(value) + R"(},"expectedVersion":")" + std::to_string(expectedVersion) + "\"}";
    request.headers["Banyanledge-Change-Id"] = "edit-" + std::to_string(value);
    operation.startTime = Clock::now();
    for (unsigned attempt = 0; attempt < 5 && operation.outcome == RowOutcome::Unknown; ++attempt) {
        const HttpReply reply = fleet.callAnyControl(client, request);
        if (reply.status == 200) {
            operation.outcome = RowOutcome::Succeeded;
        } else if (reply.status == 409) {
            operation.outcome = RowOutcome::Refused;
        }
    }
    operation.endTime = Clock::now();
    return operation;
}

void editUntilStopped(const Fleet &fleet, unsigned operatorNumber, const std::atomic<bool> &stop, RowHistory &history)
{
    HttpClient client;
    std::mt19937 random(seed + operatorNumber);
    std::uint64_t value = operatorNumber * 1000000ULL; // so that no two operators write the same value
    while (!stop) {
        const unsigned row = random() % rowCount;
        const RowOperation read = readRow(fleet, client, row);
        history.add(read);
        if (read.outcome == RowOutcome::Succeeded) {
            history.add(editRow(fleet, client, row, read.version, ++value));
        }
    }
}

// Waits until the control hosts have a leader and accept an edit, so that each fault is injected into a working group.
// Edits a row that the operators do not use: on a shared row it could lose every race, because a paused control host
// delays each of its calls.
bool waitForAcceptedEdit(const Fleet &fleet, HttpClient &client, RowHistory &history)
{
    static std::uint64_t value = 90000000;
    return waitUntil([&] {
        const RowOperation read = readRow(fleet, client, rowCount);
        const RowOperation edit = editRow(fleet, client, rowCount, read.version, ++value);
        history.add(edit);
        return edit.outcome == RowOutcome::Succeeded;
    });
}

} // namespace

TEST_CASE("concurrent operators see linearizable rows while control hosts fail")
{
    Fleet fleet("--entries 1 --servers 1 --relays");
    RowHistory history;
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < operatorCount; ++i) {
        threads.emplace_back([&, i] { editUntilStopped(fleet, i + 1, stop, history); });
    }
    for (const Process &control : fleet.processes("control")) {
        threads.emplace_back([&, control] { readUntilStopped(fleet, control, stop, history); });
    }
    HttpClient client;
    const char *roundsText = std::getenv("BANYANLEDGE_ROUNDS"); // NOLINT(concurrency-mt-unsafe)
    const int rounds = roundsText != nullptr ? std::atoi(roundsText) : 6;
    bool editAccepted = waitForAcceptedEdit(fleet, client, history);
    for (int round = 0; round < rounds && editAccepted; ++round) {
        const std::string leader = fleet.leader();
        const std::string victim = leader.empty() ? "c1" : leader;
        if (round % 3 == 0) {
            fleet.signal(victim, SIGKILL);
            fleet.waitForExit(victim);
            editAccepted = waitForAcceptedEdit(fleet, client, history);
            fleet.restart(victim);
        } else if (round % 3 == 1) {
            // The leader receives nothing but can still send. It keeps the leader role until it notices that it has no
            // quorum.
            fleet.partition(victim);
            editAccepted = waitForAcceptedEdit(fleet, client, history);
            fleet.heal(victim);
        } else {
            // A resumed leader still has the leader role, although another may have been elected meanwhile.
            fleet.signal(victim, SIGSTOP);
            editAccepted = waitForAcceptedEdit(fleet, client, history);
            fleet.signal(victim, SIGCONT);
        }
        editAccepted = editAccepted && waitForAcceptedEdit(fleet, client, history);
    }
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(editAccepted);
    const auto violations = history.violations();
    for (const std::string &violation : violations) {
        UNSCOPED_INFO(violation);
    }
    CHECK(violations.empty());
    INFO("operations: " << history.size());
    CHECK(history.size() > 100);
}
