// Tests of the control leader's decisions at given times: liveness of entry hosts, the platform's list and shifts.
#include <catch2/catch.hpp>

#include "control/loads.h"
#include "control/members.h"
#include "control/platform.h"
#include "control/serverloads.h"
#include "control/shifts.h"
#include "decide/calltimeout.h"

using namespace banyanledge;

namespace
{

const Time start = Time() + std::chrono::hours(1);

proto::SyncRequest syncCall(const std::string &host, std::uint64_t incarnation, Revision known = 5,
                            proto::MemberState state = proto::MEMBER_LIVE)
{
    proto::SyncRequest request;
    request.mutable_self()->set_id(host);
    request.mutable_self()->set_incarnation(incarnation);
    request.mutable_self()->set_entry(true);
    request.mutable_self()->set_region("north");
    request.mutable_self()->set_state(state);
    request.set_known_revision(known);
    return request;
}

// Table with one member in a state.
TableObjects tableWith(const std::string &host, std::uint64_t incarnation, proto::MemberState state)
{
    TableObjects objects;
    objects.members[host] = syncCall(host, incarnation).self();
    objects.members[host].set_state(state);
    return objects;
}

void recordAnsweredCall(Liveness &liveness, const std::string &host, std::uint64_t incarnation, Time now)
{
    recordArrival(liveness, syncCall(host, incarnation));
    recordAnswer(liveness, syncCall(host, incarnation), now);
}

proto::Server server(const std::string &id, const std::string &region = "north")
{
    proto::Server made;
    made.set_id(id);
    made.set_service("lessons");
    made.set_region(region);
    made.set_availability_zone("n1");
    made.set_address("127.0.0.1:9000");
    made.set_slots(4);
    made.set_connections(330);
    return made;
}

PlatformList listOf(const std::vector<std::string> &ids)
{
    PlatformList list;
    for (const auto &id : ids) {
        list.servers[id] = server(id);
    }
    return list;
}

// Applies commands as the table does.
void applyChanges(TableObjects &objects, const std::vector<proto::Command> &commands)
{
    for (const auto &command : commands) {
        if (command.has_put_server()) {
            objects.servers[command.put_server().server().id()] = command.put_server().server();
        } else if (command.has_remove_server()) {
            objects.servers.erase(command.remove_server().id());
        } else if (command.has_put_member()) {
            objects.members[command.put_member().member().id()] = command.put_member().member();
        }
    }
}

proto::PoolLoad load(const std::string &region, std::uint32_t inUse, double errors = 0)
{
    proto::PoolLoad made;
    made.set_service("lessons");
    made.set_region(region);
    made.set_slots(100);
    made.set_in_use(inUse);
    made.set_error_rate(errors);
    made.set_warm(1);
    return made;
}

} // namespace

TEST_CASE("a silent member is gone after memberTimeout, not earlier")
{
    const TableObjects objects = tableWith("e1", 7, proto::MEMBER_LIVE);
    Liveness liveness;
    startLeading(liveness, start);
    recordAnsweredCall(liveness, "e1", 7, start + milliseconds(500));
    CHECK(membersToDeclareGone(objects, liveness, start + milliseconds(500) + memberTimeout - milliseconds(1)).empty());
    const auto gone = membersToDeclareGone(objects, liveness, start + milliseconds(500) + memberTimeout);
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].state() == proto::MEMBER_GONE);
    CHECK(gone[0].stopped());
}

// Guards against a host that loses its resources while it still serves, because the previous leader answered it just
// before.
TEST_CASE("a new leader waits a full memberTimeout before it declares a member gone")
{
    const TableObjects objects = tableWith("e1", 7, proto::MEMBER_LIVE);
    Liveness liveness;
    CHECK(membersToDeclareGone(objects, liveness, start + std::chrono::hours(1)).empty());
    startLeading(liveness, start);
    CHECK(membersToDeclareGone(objects, liveness, start + memberTimeout - milliseconds(1)).empty());
    CHECK(membersToDeclareGone(objects, liveness, start + memberTimeout).size() == 1);
    recordAnsweredCall(liveness, "e1", 7, start);
    startLeading(liveness, start + memberTimeout);
    CHECK(membersToDeclareGone(objects, liveness, start + memberTimeout).empty());
}

// Guards against a call that is answered right after its host was declared gone, so that the host serves on that reply.
TEST_CASE("a member with an outstanding call or a pending proposal that it is gone is not declared gone")
{
    const TableObjects objects = tableWith("e1", 7, proto::MEMBER_LIVE);
    Liveness liveness;
    startLeading(liveness, start);
    recordArrival(liveness, syncCall("e1", 7));
    CHECK(membersToDeclareGone(objects, liveness, start + 2 * memberTimeout).empty());
    recordCallEnd(liveness, syncCall("e1", 7));
    CHECK(membersToDeclareGone(objects, liveness, start + 2 * memberTimeout).size() == 1);
    liveness.hosts["e1"].goneProposed = true;
    CHECK(membersToDeclareGone(objects, liveness, start + 2 * memberTimeout).empty());
}

// Guards against a leader that declares all hosts gone after a pause, before it has read their calls.
TEST_CASE("after a pause of its process the leader waits a full memberTimeout again")
{
    const TableObjects objects = tableWith("e1", 7, proto::MEMBER_LIVE);
    Liveness liveness;
    startLeading(liveness, start);
    recordAnsweredCall(liveness, "e1", 7, start);
    recordLoopRun(liveness, start + milliseconds(25));
    const Time resumed = start + std::chrono::seconds(10);
    recordLoopRun(liveness, resumed);
    CHECK(membersToDeclareGone(objects, liveness, resumed + memberTimeout - milliseconds(1)).empty());
    CHECK(membersToDeclareGone(objects, liveness, resumed + memberTimeout).size() == 1);
}

TEST_CASE("a returning host becomes live, a known one changes nothing")
{
    Liveness liveness;
    startLeading(liveness, start);
    const auto call = syncCall("e1", 7);
    CHECK(memberUpdate(call, {}, liveness, start)->state() == proto::MEMBER_LIVE);
    CHECK_FALSE(memberUpdate(call, tableWith("e1", 7, proto::MEMBER_LIVE), liveness, start));
    CHECK(memberUpdate(call, tableWith("e1", 7, proto::MEMBER_GONE), liveness, start)->state() == proto::MEMBER_LIVE);
    const auto leaving = syncCall("e1", 7, 5, proto::MEMBER_LEAVING);
    CHECK(memberUpdate(leaving, tableWith("e1", 7, proto::MEMBER_LIVE), liveness, start)->state()
          == proto::MEMBER_LEAVING);
    CHECK_FALSE(memberUpdate(call, tableWith("e1", 7, proto::MEMBER_LEAVING), liveness, start));
}

TEST_CASE("a joining host becomes live once it has a copy of the table")
{
    Liveness liveness;
    startLeading(liveness, start);
    const auto first = syncCall("e1", 7, 0, proto::MEMBER_JOINING);
    CHECK(memberUpdate(first, {}, liveness, start)->state() == proto::MEMBER_JOINING);
    const auto second = syncCall("e1", 7, 3, proto::MEMBER_JOINING);
    const TableObjects objects = tableWith("e1", 7, proto::MEMBER_JOINING);
    CHECK(memberUpdate(second, objects, liveness, start)->state() == proto::MEMBER_LIVE);
}

// Guards against a new owner that acts at once although the previous process of the host may still serve.
TEST_CASE("the previous incarnation counts as stopped only after memberTimeout without an answer")
{
    const TableObjects objects = tableWith("e1", 7, proto::MEMBER_LIVE);
    Liveness liveness;
    startLeading(liveness, start);
    recordAnsweredCall(liveness, "e1", 7, start + std::chrono::seconds(10));
    recordArrival(liveness, syncCall("e1", 8));
    const Time soon = start + std::chrono::seconds(11);
    CHECK_FALSE(memberUpdate(syncCall("e1", 8), objects, liveness, soon)->stopped());
    CHECK(memberUpdate(syncCall("e1", 8), objects, liveness, start + std::chrono::seconds(12))->stopped());
    CHECK(liveness.supersededIncarnations.contains(7));
    CHECK(liveness.hosts["e1"].lastAnsweredArrival == start + std::chrono::seconds(10));
}

TEST_CASE("the platform's list changes only what differs")
{
    TableObjects objects;
    PlatformPollState pollState;
    const auto list = listOf({"s1", "s2"});
    const auto first = platformCommands(list, objects, pollState, start);
    CHECK(first.size() == 2);
    applyChanges(objects, first);
    objects.servers["s1"].set_drained(true); // belongs to operators, not to the platform
    CHECK(platformCommands(list, objects, pollState, start).empty());
}

// Guards against the removal of working servers because one outdated list omits them.
TEST_CASE("a server missing from the list leaves at once and is removed after the delay")
{
    TableObjects objects;
    PlatformPollState pollState;
    applyChanges(objects, platformCommands(listOf({"s1", "s2"}), objects, pollState, start));
    const auto missing = platformCommands(listOf({"s1"}), objects, pollState, start);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].put_server().server().leaving());
    applyChanges(objects, missing);
    CHECK(platformCommands(listOf({"s1"}), objects, pollState, start + removalDelay - milliseconds(1)).empty());
    const auto removal = platformCommands(listOf({"s1"}), objects, pollState, start + removalDelay);
    REQUIRE(removal.size() == 1);
    CHECK(removal[0].remove_server().id() == "s2");
}

// Guards against members that are gone and stay in the table, where each new pool owner reserves slots for them.
TEST_CASE("a member that is gone is removed when its last request must have ended, not earlier")
{
    TableObjects objects;
    Liveness liveness;
    startLeading(liveness, start);
    proto::Member &member = objects.members["e1"];
    member.set_id("e1");
    member.set_state(proto::MEMBER_GONE);
    CHECK(membersToRemove(objects, liveness, start).empty());
    CHECK(membersToRemove(objects, liveness, start + goneMemberRetention - milliseconds(1)).empty());
    REQUIRE(membersToRemove(objects, liveness, start + goneMemberRetention).size() == 1);
    CHECK(membersToRemove(objects, liveness, start + goneMemberRetention + milliseconds(1)).empty());
    // The retention starts anew when a host came back and is gone again.
    member.set_state(proto::MEMBER_LIVE);
    CHECK(membersToRemove(objects, liveness, start + 2 * goneMemberRetention).empty());
    member.set_state(proto::MEMBER_GONE);
    CHECK(membersToRemove(objects, liveness, start + 3 * goneMemberRetention).empty());
}

// Guards against a drained server that loses its drain because an outdated list omits it for a while.
TEST_CASE("a drained server that is missing from the list stays drained")
{
    TableObjects objects;
    PlatformPollState pollState;
    applyChanges(objects, platformCommands(listOf({"s1", "s2"}), objects, pollState, start));
    objects.servers["s2"].set_drained(true);
    applyChanges(objects, platformCommands(listOf({"s1"}), objects, pollState, start));
    CHECK(platformCommands(listOf({"s1"}), objects, pollState, start + removalDelay).empty());
    objects.servers["s2"].set_drained(false);
    CHECK(platformCommands(listOf({"s1"}), objects, pollState, start + removalDelay).size() == 1);
}

TEST_CASE("a server that returns to the list takes work again and its delay starts anew")
{
    TableObjects objects;
    PlatformPollState pollState;
    applyChanges(objects, platformCommands(listOf({"s1", "s2"}), objects, pollState, start));
    applyChanges(objects, platformCommands(listOf({"s1"}), objects, pollState, start));
    applyChanges(objects, platformCommands(listOf({"s1", "s2"}), objects, pollState, start + milliseconds(400)));
    CHECK_FALSE(objects.servers["s2"].leaving());
    applyChanges(objects, platformCommands(listOf({"s1"}), objects, pollState, start + removalDelay));
    CHECK(objects.servers.contains("s2"));
    CHECK(objects.servers["s2"].leaving());
}

// Guards against the removal of all servers because of an empty or malformed list.
TEST_CASE("an empty or malformed list changes nothing")
{
    TableObjects objects;
    PlatformPollState pollState;
    applyChanges(objects, platformCommands(listOf({"s1"}), objects, pollState, start));
    CHECK(platformCommands({}, objects, pollState, start + 2 * removalDelay).empty());
    PlatformList onlyEntryHosts;
    onlyEntryHosts.entryHosts["e1"] = false;
    CHECK(platformCommands(onlyEntryHosts, objects, pollState, start + 2 * removalDelay).empty());
    CHECK_FALSE(parsePlatformList("not json"));
    CHECK_FALSE(parsePlatformList(R"({"servers":[]})"));
    CHECK_FALSE(parsePlatformList(R"({"hosts":[{"id":"s1","kind":"backend_server","state":"live"}]})"));
    CHECK(parsePlatformList(R"({"hosts":[]})")->empty());
    const auto list = parsePlatformList(
        R"({"hosts":[{"id":"s1","kind":"backend_server","service":"lessons","region":"north","availability_zone":"n1",)"
        R"("address":"127.0.0.1:9000","slots":4,"connections":330,"state":"leaving"},)"
        R"({"id":"e1","kind":"entry_host","state":"live"}]})");
    REQUIRE(list);
    CHECK(list->servers.at("s1").leaving());
    CHECK_FALSE(list->entryHosts.at("e1"));
}

TEST_CASE("an entry host that the platform calls leaving is marked, and live again only when the platform says so")
{
    TableObjects objects = tableWith("e1", 7, proto::MEMBER_LIVE);
    PlatformPollState pollState;
    PlatformList list = listOf({"s1"});
    list.entryHosts["e1"] = true;
    applyChanges(objects, platformCommands(list, objects, pollState, start));
    CHECK(objects.members["e1"].state() == proto::MEMBER_LEAVING);
    list.entryHosts["e1"] = false;
    applyChanges(objects, platformCommands(list, objects, pollState, start));
    CHECK(objects.members["e1"].state() == proto::MEMBER_LIVE);
    // A host that announced its own stop is not made live by a list that lags.
    objects.members["e1"].set_state(proto::MEMBER_LEAVING);
    CHECK(platformCommands(list, objects, pollState, start).empty());
}

TEST_CASE("the latest measured load of a pool is kept with its age")
{
    FleetLoads loads;
    auto request = syncCall("e1", 7);
    *request.add_pools() = load("north", 10);
    recordLoads(loads, request, start);
    request.mutable_pools(0)->set_in_use(99);
    request.mutable_pools(0)->set_age_ms(5000);
    recordLoads(loads, request, start + milliseconds(100));
    const auto now = currentPoolLoads(loads, start + milliseconds(300));
    REQUIRE(now.size() == 1);
    CHECK(now[0].in_use() == 10);
    loads.pools.begin()->second.load.set_error_rate(0.0201);
    const double rounded = roundedPoolLoads(loads, start + milliseconds(300)).at(0).error_rate();
    CHECK(rounded != 0.0201);
    CHECK(rounded == Approx(0.0201).margin(0.0005));
    CHECK(now[0].age_ms() == 300);
    CHECK(currentPoolLoads(loads, start + loadLifetime + milliseconds(1)).empty());
}

TEST_CASE("a shift advances within its cap and pauses without a load of the target")
{
    TableObjects objects;
    auto &shift = objects.shifts["a"];
    shift.set_id("a");
    shift.set_service("lessons");
    shift.set_from_region("north");
    shift.set_to_region("south");
    shift.set_cap(0.2);
    ShiftStepTimes stepTimes;
    const FleetLoads fleet;
    const std::vector<proto::PoolLoad> poolLoads{load("north", 50), load("south", 10)};
    CHECK(shiftCommands(objects, poolLoads, fleet, stepTimes, start).empty());
    Time now = start;
    for (int i = 0; i < 40 && shift.state() != proto::SHIFT_DONE; ++i) {
        now += std::chrono::seconds(5);
        for (const auto &command : shiftCommands(objects, poolLoads, fleet, stepTimes, now)) {
            CHECK(command.advance_shift().from_step() == shift.step());
            shift.set_step(command.advance_shift().step());
            shift.set_state(command.advance_shift().state());
        }
        REQUIRE(shift.step() <= shift.cap());
    }
    CHECK(shift.state() == proto::SHIFT_DONE);
    CHECK(shift.step() == Approx(0.2));

    shift.set_state(proto::SHIFT_RUNNING);
    shift.set_step(0.1);
    shiftCommands(objects, {}, fleet, stepTimes, now);
    const auto paused = shiftCommands(objects, {}, fleet, stepTimes, now + std::chrono::seconds(5));
    REQUIRE(paused.size() == 1);
    CHECK(paused[0].advance_shift().state() == proto::SHIFT_PAUSED);
    CHECK(paused[0].advance_shift().step() == 0.1);
}

// Guards against a new leader that restarts a shift or advances it at once.
TEST_CASE("a new leader continues a shift at the recorded step after a full hold time")
{
    TableObjects objects;
    auto &shift = objects.shifts["a"];
    shift.set_id("a");
    shift.set_service("*");
    shift.set_from_region("north");
    shift.set_to_region("south");
    shift.set_cap(1);
    shift.set_step(0.3);
    ShiftStepTimes stepTimes;
    const std::vector<proto::PoolLoad> poolLoads{load("north", 50), load("south", 10)};
    CHECK(shiftCommands(objects, poolLoads, {}, stepTimes, start).empty());
    const auto next = shiftCommands(objects, poolLoads, {}, stepTimes, start + std::chrono::seconds(5));
    REQUIRE(next.size() == 1);
    CHECK(next[0].advance_shift().from_step() == 0.3);
    CHECK(next[0].advance_shift().step() > 0.3);
}

TEST_CASE("a shift of all services follows the worst target pool")
{
    proto::Shift shift;
    shift.set_service("*");
    shift.set_from_region("north");
    shift.set_to_region("south");
    auto busy = load("south", 90);
    busy.set_service("videos");
    const auto measured = measureShift(shift, {load("south", 10, 0.3), busy}, {}, start);
    REQUIRE(measured.target);
    CHECK(measured.target->in_use() == 90);
    CHECK(measured.target->error_rate() == Approx(0.3));
    CHECK_FALSE(measured.source);
}

TEST_CASE("a region fails when all its entry hosts are gone or all its pools fail")
{
    TableObjects objects = tableWith("e1", 7, proto::MEMBER_LIVE);
    objects.servers["s1"] = server("s1");
    objects.servers["s2"] = server("s2", "south");
    const std::vector<proto::PoolLoad> healthy{load("north", 10), load("south", 10)};
    CHECK(failedRegions(objects, healthy).empty());
    CHECK(failedRegions(objects, {load("north", 10, 0.9), load("south", 10)}) == std::set<std::string>{"north"});
    CHECK(failedRegions(objects, {load("south", 10)}).empty()); // a missing load does not count as a failure
    objects.members["e1"].set_state(proto::MEMBER_GONE);
    CHECK(failedRegions(objects, healthy) == std::set<std::string>{"north"});
    const auto marked = markFailedRegions(healthy, {"north"});
    CHECK(marked[0].error_rate() == 1);
    CHECK(marked[1].error_rate() == 0);

    const auto commands = failoverCommands({"north"}, View(), marked);
    REQUIRE(commands.size() == 1);
    CHECK(commands[0].start_shift().shift().failover());
    CHECK(commands[0].start_shift().shift().to_region() == "south");
}

// Guards against loads of a host that is gone, which would keep requests away from servers for good.
TEST_CASE("loads of servers are summed over the hosts and expire with the hosts' reports")
{
    ServerLoads loads;
    const Time now = Time{} + std::chrono::hours(1);
    const auto report = [&](const std::string &host, std::uint32_t count, Time at) {
        proto::SyncRequest request;
        request.mutable_self()->set_id(host);
        request.add_servers()->set_server(7);
        request.mutable_servers(0)->set_in_flight(count);
        loads.recordReport(request, at);
    };
    const auto sum = [&](Time at) {
        proto::SyncReply reply;
        loads.addTotals(reply, at);
        return reply.servers_size() == 0 ? 0U : reply.servers(0).in_flight();
    };
    report("a", 2, now);
    report("b", 3, now);
    CHECK(sum(now) == 5);
    report("a", 1, now + milliseconds(1500));
    CHECK(sum(now + milliseconds(1500)) == 4);
    CHECK(sum(now + milliseconds(2100)) == 1);
    CHECK(sum(now + milliseconds(4000)) == 0);
}

// Guards against a fixed timeout that is shorter than a round trip to a distant host, so that no call to it succeeds.
TEST_CASE("a call timeout grows until replies arrive in time and shrinks when they are fast")
{
    CallTimeout timeout(milliseconds(400), milliseconds(1600));
    CHECK(timeout.value() == milliseconds(400));
    timeout.recordTimeout();
    CHECK(timeout.value() == milliseconds(800));
    timeout.recordReply(milliseconds(600));
    CHECK(timeout.value() == milliseconds(1600));
    timeout.recordTimeout();
    CHECK(timeout.value() == milliseconds(1600));
    for (int i = 0; i < 20; ++i) {
        timeout.recordReply(milliseconds(10));
    }
    CHECK(timeout.value() == milliseconds(400));
}
