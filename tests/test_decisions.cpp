// Old orders and newer decisions on the same subject, on nodes with real threads and files.
#include <catch2/catch.hpp>

#include <array>
#include <functional>

#include "ledger/orderguard.h"
#include "ledger/subjects.h"
#include "ledger_group.h"

using namespace banyanledge;

namespace
{

using Fill = std::function<void(proto::Command &)>;

proto::Command newCommand(const Fill &fill)
{
    proto::Command command;
    command.set_change_id(std::to_string(randomId()));
    command.set_actor("test");
    fill(command);
    return command;
}

Fill createCustomer(const std::string &name)
{
    return [name](proto::Command &command) { command.mutable_create_customer()->set_name(name); };
}

Fill cancelCustomer(const std::string &name)
{
    return [name](proto::Command &command) { command.mutable_cancel_customer()->set_name(name); };
}

Fill returnCustomer(const std::string &name)
{
    return [name](proto::Command &command) { command.mutable_return_customer()->set_name(name); };
}

Fill issueKey(const std::string &id)
{
    return [id](proto::Command &command) {
        command.mutable_issue_key()->set_id(id);
        command.mutable_issue_key()->set_customer("school");
        command.mutable_issue_key()->set_digest(std::string(32, 'x'));
    };
}

Fill withdrawKey(const std::string &id)
{
    return [id](proto::Command &command) { command.mutable_withdraw_key()->set_id(id); };
}

Fill createRow()
{
    return [](proto::Command &command) {
        auto &row = *command.mutable_put_row()->mutable_row();
        row.set_service("lessons");
        row.set_region("*");
        row.set_customer("*");
        row.set_weight(5);
    };
}

Fill deleteRow(std::uint64_t expectedVersion)
{
    return [expectedVersion](proto::Command &command) {
        auto &row = *command.mutable_delete_row();
        row.set_service("lessons");
        row.set_region("*");
        row.set_customer("*");
        row.set_expected_version(expectedVersion);
    };
}

Fill putServer(bool leaving, std::int64_t startedMs = 0)
{
    return [leaving, startedMs](proto::Command &command) {
        auto &server = *command.mutable_put_server()->mutable_server();
        server.set_id("s1");
        server.set_service("lessons");
        server.set_region("gwynedd");
        server.set_availability_zone("gwynedd-a");
        server.set_address("127.0.0.1:9000");
        server.set_slots(4);
        server.set_leaving(leaving);
        server.set_listed_start_ms(1);
        server.set_started_ms(startedMs);
    };
}

Fill removeServer()
{
    return [](proto::Command &command) { command.mutable_remove_server()->set_id("s1"); };
}

Fill drainServer(bool drained)
{
    return [drained](proto::Command &command) {
        command.mutable_drain_server()->set_id("s1");
        command.mutable_drain_server()->set_drained(drained);
    };
}

Fill reportEnd()
{
    return [](proto::Command &command) {
        auto &report = *command.mutable_record_process_report()->mutable_report();
        report.set_id("s1");
        report.set_ended(true);
    };
}

Fill startShift()
{
    return [](proto::Command &command) {
        auto &shift = *command.mutable_start_shift()->mutable_shift();
        shift.set_id("move");
        shift.set_service("*");
        shift.set_from_region("gwynedd");
        shift.set_to_region("powys");
        shift.set_cap(0.5);
    };
}

Fill advanceShift(proto::ShiftState state)
{
    return [state](proto::Command &command) {
        command.mutable_advance_shift()->set_id("move");
        command.mutable_advance_shift()->set_state(state);
    };
}

Fill putMember(proto::MemberState state, std::uint64_t incarnation)
{
    return [state, incarnation](proto::Command &command) {
        auto &member = *command.mutable_put_member()->mutable_member();
        member.set_id("e1");
        member.set_incarnation(incarnation);
        member.set_entry(true);
        member.set_region("gwynedd");
        member.set_availability_zone("gwynedd-a");
        member.set_http_address("127.0.0.1:8000");
        member.set_rpc_address("127.0.0.1:8001");
        member.set_state(state);
    };
}

Fill removeMember(std::uint64_t incarnation)
{
    return [incarnation](proto::Command &command) {
        command.mutable_remove_member()->set_id("e1");
        command.mutable_remove_member()->set_incarnation(incarnation);
    };
}

Fill evacuate(bool active, const std::string &zone = "gwynedd-a")
{
    return [active, zone](proto::Command &command) {
        command.mutable_set_evacuation()->set_availability_zone(zone);
        command.mutable_set_evacuation()->set_active(active);
    };
}

Fill block()
{
    return [](proto::Command &command) {
        auto &request = *command.mutable_block_request()->mutable_request();
        request.set_id("00000000000000aa");
        request.set_route("lessons");
        request.set_method("GET");
        request.set_path("/x");
        request.set_crashes(3);
    };
}

Fill unblock()
{
    return [](proto::Command &command) { command.mutable_unblock_request()->set_id("00000000000000aa"); };
}

// An order that was given up, and the newer one that is acknowledged before it arrives.
struct Contradiction
{
    const char *name;
    std::vector<Fill> before; // commands before both
    Fill older;
    Fill newer;
};

const std::vector<Contradiction> &contradictions()
{
    using namespace proto;
    static const std::vector<Contradiction> all{
        {"start, then end of an evacuation that changes nothing", {}, evacuate(true), evacuate(false)},
        {"end, then start of an evacuation that changes nothing", {evacuate(true)}, evacuate(false), evacuate(true)},
        {"drain, then undrain that changes nothing", {putServer(false)}, drainServer(true), drainServer(false)},
        {"undrain, then drain that changes nothing",
         {putServer(false), drainServer(true)},
         drainServer(false),
         drainServer(true)},
        {"drain, then removal of the server", {putServer(false)}, drainServer(true), removeServer()},
        {"removal, then drain of a server", {putServer(false)}, removeServer(), drainServer(true)},
        {"removal of a server, then its entry in the list", {putServer(true)}, removeServer(), putServer(false)},
        {"entry in the list, then removal of a server", {putServer(false)}, putServer(true), removeServer()},
        {"confirmed start of a process, then its end", {putServer(false)}, putServer(false, 1), reportEnd()},
        {"creation of a customer, then its cancellation, refused", {}, createCustomer("a"), cancelCustomer("a")},
        {"cancellation, then return that changes nothing",
         {createCustomer("a")},
         cancelCustomer("a"),
         returnCustomer("a")},
        {"return, then cancellation that changes nothing",
         {createCustomer("a"), cancelCustomer("a")},
         returnCustomer("a"),
         cancelCustomer("a")},
        {"issue, then withdrawal of a key, refused", {createCustomer("school")}, issueKey("k"), withdrawKey("k")},
        {"creation, then deletion of a row, refused", {}, createRow(), deleteRow(1)},
        {"creation, then deletion of a row that existed meanwhile", {createRow()}, createRow(), deleteRow(1)},
        {"start, then cancellation of a shift, refused", {}, startShift(), advanceShift(SHIFT_CANCELLED)},
        {"pause, then continuation that changes nothing",
         {startShift()},
         advanceShift(SHIFT_PAUSED),
         advanceShift(SHIFT_RUNNING)},
        {"block, then unblock, refused", {}, block(), unblock()},
        {"unblock, then block that changes nothing", {block()}, unblock(), block()},
        {"member declared gone, then its new process",
         {putMember(MEMBER_LIVE, 1)},
         putMember(MEMBER_GONE, 1),
         putMember(MEMBER_LIVE, 2)},
        {"removal of a gone member, then its entry that changes nothing",
         {putMember(MEMBER_GONE, 1)},
         removeMember(1),
         putMember(MEMBER_GONE, 1)},
    };
    return all;
}

// A command that decides on nothing else's subject.
Fill unrelated()
{
    return evacuate(true, "zone-" + std::to_string(randomId()));
}

Revision newestRevision(const NodeGroup &group)
{
    return group.node(group.waitLeader())->appliedRevision();
}

proto::ErrorKind proposeAt(NodeGroup &group, proto::Command command, Revision seen)
{
    command.set_seen_revision(seen);
    return group.propose(command).kind();
}

// Proposes what comes before both orders, and returns the revision on which the older one is decided.
Revision prepare(NodeGroup &group, const Contradiction &tested)
{
    REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    for (const Fill &fill : tested.before) {
        REQUIRE(group.propose(newCommand(fill)).kind() == proto::ERROR_NONE);
    }
    return newestRevision(group);
}

proto::CommandResult changeMember(const NodeGroup &group, MemberChange kind, Revision seen)
{
    proto::LogMember member;
    member.set_id("c9");
    member.set_rpc_address("127.0.0.1:7009");
    std::promise<proto::CommandResult> promise;
    group.node(group.waitLeader())->changeMember(member, kind, seen, [&](const proto::CommandResult &result) {
        promise.set_value(result);
    });
    return promise.get_future().get();
}

bool isEvacuated(const NodeGroup &group)
{
    bool active = false;
    group.node(group.waitLeader())->readTable([&](const Table &table) {
        const auto found = table.evacuations().find("gwynedd-a");
        active = found != table.evacuations().end() && found->second.active();
    });
    return active;
}

Fill claimRequest()
{
    return [](proto::Command &command) {
        auto &claim = *command.mutable_claim();
        claim.set_customer("school");
        claim.set_request_id("booking");
        claim.set_host("e1");
        claim.set_incarnation(1);
    };
}

proto::Command endOfClaim(const proto::Command &claim)
{
    return newCommand([&claim](proto::Command &command) {
        auto &release = *command.mutable_release_claim();
        release.set_customer(claim.claim().customer());
        release.set_request_id(claim.claim().request_id());
        release.set_host(claim.claim().host());
        release.set_incarnation(claim.claim().incarnation());
        release.set_claim_change_id(claim.change_id());
    });
}

std::optional<proto::Claim> storedClaim(const NodeGroup &group)
{
    return group.node(group.waitLeader())->claim("school", "booking");
}

} // namespace

// Guards against an order that arrives late and undoes a newer one that was acknowledged, for each command.
TEST_CASE("an old order does not follow a newer decision on its subject, whether that changed anything or not")
{
    for (const Contradiction &tested : contradictions()) {
        INFO(tested.name);
        NodeGroup group(1);
        const Revision seen = prepare(group, tested);
        (void)group.propose(newCommand(tested.newer)); // some are refused, which is an answer like any other
        const Revision content = group.node("c1")->contentRevision();
        CHECK(proposeAt(group, newCommand(tested.older), seen) == proto::ERROR_CONFLICT);
        CHECK(group.node("c1")->contentRevision() == content);
    }
}

// Guards against a refusal of orders that are not old: the subject has other decisions, but none that is newer.
TEST_CASE("an order passes when the decisions after its revision are on other subjects")
{
    for (const Contradiction &tested : contradictions()) {
        INFO(tested.name);
        NodeGroup unguarded(1);
        (void)prepare(unguarded, tested);
        const proto::ErrorKind expected = unguarded.propose(newCommand(tested.older)).kind();
        NodeGroup guarded(1);
        const Revision seen = prepare(guarded, tested);
        REQUIRE(guarded.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
        CHECK(proposeAt(guarded, newCommand(tested.older), seen) == expected);
    }
}

// Guards against a refusal of a resent order because its own first copy is the newer decision.
TEST_CASE("a resent order gets the result of its first copy")
{
    NodeGroup group(3);
    REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    auto order = newCommand(evacuate(true));
    order.set_seen_revision(newestRevision(group));
    REQUIRE(group.propose(order).kind() == proto::ERROR_NONE);
    const auto resent = group.propose(order);
    CHECK(resent.kind() == proto::ERROR_NONE);
    CHECK(resent.repeated());
}

// Guards against two orders that both pass because neither was applied when the other one was judged.
TEST_CASE("of two orders that were decided on the same revision one is refused")
{
    NodeGroup group(3);
    REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    const auto leader = group.node(group.waitLeader());
    const Revision seen = leader->appliedRevision();
    std::array<std::promise<proto::CommandResult>, 2> promises;
    for (const bool active : {false, true}) {
        auto order = newCommand(evacuate(active));
        order.set_seen_revision(seen);
        leader->propose(order, [&promise = promises.at(active ? 1 : 0)](const proto::CommandResult &result) {
            promise.set_value(result);
        });
    }
    CHECK(promises[0].get_future().get().kind() == proto::ERROR_NONE);
    CHECK(promises[1].get_future().get().kind() == proto::ERROR_CONFLICT);
    CHECK_FALSE(isEvacuated(group));
}

// Guards against a new leader that does not know what its predecessor decided.
TEST_CASE("an old order is refused after a change of leader")
{
    NodeGroup group(3);
    REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    const Revision seen = newestRevision(group);
    REQUIRE(group.propose(newCommand(evacuate(false))).kind() == proto::ERROR_NONE);
    group.stop(group.waitLeader());
    CHECK(proposeAt(group, newCommand(evacuate(true)), seen) == proto::ERROR_CONFLICT);
    CHECK_FALSE(isEvacuated(group));
}

// Guards against decisions that are lost with the log entries that a snapshot replaces.
TEST_CASE("an old order is refused after a snapshot and a restart")
{
    NodeGroup group(1, 20);
    REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    const Revision seen = newestRevision(group);
    REQUIRE(group.propose(newCommand(evacuate(false))).kind() == proto::ERROR_NONE);
    for (int i = 0; i < 100; ++i) {
        REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    }
    group.stop("c1");
    REQUIRE(group.start("c1"));
    CHECK(proposeAt(group, newCommand(evacuate(true)), seen) == proto::ERROR_CONFLICT);
    CHECK(proposeAt(group, newCommand(evacuate(true)), newestRevision(group)) == proto::ERROR_NONE);
}

// Guards against an order that a leader appended while it was cut off and that follows the orders of its successor.
TEST_CASE("an order of a leader that was cut off does not come into force")
{
    NodeGroup group(3);
    REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    const auto old = group.waitLeader();
    group.isolate(old, true);
    std::promise<proto::CommandResult> promise;
    auto order = newCommand(evacuate(true));
    order.set_seen_revision(group.node(old)->appliedRevision());
    group.node(old)->propose(order, [&](const proto::CommandResult &result) { promise.set_value(result); });
    REQUIRE(group.propose(newCommand(evacuate(false))).kind() == proto::ERROR_NONE);
    group.isolate(old, false);
    CHECK(promise.get_future().get().kind() == proto::ERROR_UNAVAILABLE);
    REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    CHECK_FALSE(isEvacuated(group));
}

// Guards against a change of the control group that was given up and follows its reversal, which changed nothing.
TEST_CASE("an old change of a member of the control group does not follow its reversal")
{
    NodeGroup group(3);
    REQUIRE(group.propose(newCommand(unrelated())).kind() == proto::ERROR_NONE);
    const Revision beforeRemoval = newestRevision(group);
    CHECK(changeMember(group, MemberChange::Remove, beforeRemoval).kind() == proto::ERROR_NOT_FOUND);
    CHECK(changeMember(group, MemberChange::Add, beforeRemoval).kind() == proto::ERROR_CONFLICT);
    const Revision beforeAddition = newestRevision(group);
    CHECK(changeMember(group, MemberChange::Add, beforeAddition).kind() == proto::ERROR_NONE);
    CHECK(changeMember(group, MemberChange::Remove, beforeAddition).kind() == proto::ERROR_CONFLICT);
    const Revision beforeRepetition = newestRevision(group);
    CHECK(changeMember(group, MemberChange::Add, beforeRepetition).kind() == proto::ERROR_EXISTS);
    CHECK(changeMember(group, MemberChange::Remove, beforeRepetition).kind() == proto::ERROR_CONFLICT);
    CHECK(changeMember(group, MemberChange::Remove, newestRevision(group)).kind() == proto::ERROR_NONE);
}

// Guards against a record of decisions that grows without bound, and against one that forgets a decision and lets an
// old order pass.
TEST_CASE("a decision that is not kept any more counts as newer than all orders from before it")
{
    NewestDecisions decisions;
    for (Revision revision = 1; revision <= maxDecidedSubjects + 10; ++revision) {
        decisions.record("evacuation:" + std::to_string(revision), revision);
    }
    CHECK(decisions.image().decisions_size() == static_cast<int>(maxDecidedSubjects));
    CHECK(decisions.newest("evacuation:3") == 10);
    CHECK(decisions.newest("evacuation:11") == 11);
    CHECK(decisions.newest("evacuation:never") == 10);
    NewestDecisions restored;
    const auto image = decisions.image();
    restored.restore(&image, maxDecidedSubjects + 10);
    CHECK(restored.newest("evacuation:11") == 11);
    CHECK(restored.newest("evacuation:3") == 10);
}

// Guards against a snapshot of an older build, which holds no decisions, that lets old orders pass.
TEST_CASE("after a snapshot without decisions all orders from before it are old")
{
    NewestDecisions decisions;
    decisions.restore(nullptr, 70);
    CHECK(decisions.newest("evacuation:gwynedd-a") == 70);
    decisions.record("evacuation:gwynedd-a", 71);
    CHECK(decisions.newest("evacuation:gwynedd-a") == 71);
}

// Guards against a claim that arrives after its release and holds the request id for a day, although nothing runs by
// it.
TEST_CASE("a claim that was given up does not follow its release, which found nothing")
{
    NodeGroup group(3);
    const auto claim = newCommand(claimRequest());
    REQUIRE(group.propose(endOfClaim(claim)).kind() == proto::ERROR_NONE);
    CHECK(group.propose(claim).kind() == proto::ERROR_CONFLICT);
    CHECK_FALSE(storedClaim(group));
    CHECK(group.propose(newCommand(claimRequest())).kind() == proto::ERROR_NONE);
}

// Guards against second copies, delayed by a cut: that of a claim holds the request id again, that of a release frees
// it while a newer attempt runs by it.
TEST_CASE("second copies of a claim and of its release do not touch the claim of a newer attempt of the same process")
{
    NodeGroup group(3);
    const auto first = newCommand(claimRequest());
    const auto release = endOfClaim(first);
    REQUIRE(group.propose(first).kind() == proto::ERROR_NONE);
    REQUIRE(group.propose(release).kind() == proto::ERROR_NONE);
    CHECK(group.propose(first).kind() == proto::ERROR_CONFLICT);
    const auto second = newCommand(claimRequest());
    REQUIRE(group.propose(second).kind() == proto::ERROR_NONE);
    CHECK(group.propose(release).kind() == proto::ERROR_CONFLICT);
    REQUIRE(storedClaim(group));
    CHECK(storedClaim(group)->change_id() == second.change_id());
    CHECK(group.propose(endOfClaim(second)).kind() == proto::ERROR_NONE);
    CHECK_FALSE(storedClaim(group));
}
