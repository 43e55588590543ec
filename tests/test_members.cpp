// Membership of the control group with real control hosts: lost disks, replaced and returning hosts, planned ends.
// The rules are in section 4.1 of docs/design.md.
#include <asio.hpp>

#include <optional>
#include <set>
#include <thread>

#include "control/contacts.h"
#include "control/join.h"
#include "control_group.h"

using namespace banyanledge;

namespace
{

// Part of a planned end in which a host leaves its group: a third of a grace of 6 s.
constexpr milliseconds leaveTimeout{2000};

} // namespace

// Guards against a host with an empty disk that drops its answers to a leader that is none of its seeds, whose address
// it does not know: it would never become a voter again.
TEST_CASE("a host that lost its disk joins again under a leader that is not one of its seeds")
{
    ControlGroup group(5);
    const int leader = group.waitLeader();
    const auto others = group.others(leader);
    const int lost = others.back();
    group.kill(lost);
    group.loseDisk(lost);
    group.start(lost, {others[0], others[1], others[2]});
    CHECK(eventually([&] { return group.status(lost).role() == "follower"; }));
}

// Guards against a host that trusts its own copy of the member list, in which it never sees its removal: it would stay
// out of the group for good.
TEST_CASE("a host that was removed while it was away joins again")
{
    ControlGroup group(5);
    const int leader = group.waitLeader();
    const int away = group.others(leader).front();
    group.kill(away);
    group.start(6, {1, 2, 3});
    REQUIRE(eventually([&] { return group.isVoter(6) && !group.isVoter(away); }));
    group.start(away, {1, 2, 3});
    CHECK(eventually([&] { return group.isVoter(away); }));
}

// Guards against a host that has no leader and answers all reads with "unavailable" although others know the leader.
TEST_CASE("a host that does not belong to the group yet reads through the leader that others name")
{
    ControlGroup group(5);
    const int leader = group.waitLeader();
    const auto others = group.others(leader);
    group.start(6, {others[0], others[1], others[2]});
    CHECK(group.host(6).declarations()->read(milliseconds(1000)).has_value());
}

// Guards against a host that asks only its seeds for the group, which may all be gone.
TEST_CASE("a host asks its seeds and the members of its list in turn, but never itself")
{
    proto::LogConfig members;
    for (const char *address : {"a:1", "b:1", "c:1"}) {
        members.add_members()->set_rpc_address(address);
    }
    GroupContacts contacts("a:1", {"s:1", "b:1", "a:1"});
    std::multiset<std::string> asked;
    for (int i = 0; i < 6; ++i) {
        asked.insert(contacts.next(members));
    }
    CHECK(asked == std::multiset<std::string>{"b:1", "b:1", "c:1", "c:1", "s:1", "s:1"});
    CHECK(contacts.next({}) != "a:1");
    CHECK(GroupContacts("a:1", {"a:1"}).next({}).empty());
}

// Guards against a host that asks to be added during each election, and against one that never asks because its own
// list still names it.
TEST_CASE("a host asks to be added while no leader contacts it")
{
    proto::ControlStatus status;
    CHECK(mustRequestJoin(status, Duration(0)));
    status.mutable_config()->add_members()->set_rpc_address("a:1");
    CHECK_FALSE(mustRequestJoin(status, milliseconds(400)));
    CHECK(mustRequestJoin(status, milliseconds(600)));
    status.set_leader("b:1");
    CHECK_FALSE(mustRequestJoin(status, milliseconds(600)));
}

// Guards against an ended host that stays a voter until the leader notices: two disks lost meanwhile would end the
// group.
TEST_CASE("a host that ends as planned leaves the group first, also if it leads")
{
    ControlGroup group(5);
    group.start(6, {1, 2, 3});
    REQUIRE(eventually([&] { return group.isVoter(6); }));
    const int leader = group.waitLeader();
    group.host(leader).leave(Clock::now() + leaveTimeout);
    CHECK_FALSE(group.status(leader).role() == "leader");
    CHECK(eventually([&] { return group.voters().size() == 5 && !group.isVoter(leader); }));
    const auto others = group.others(leader);
    group.host(others.front()).leave(Clock::now() + leaveTimeout);
    CHECK(group.voters().size() == 4);
    CHECK_FALSE(group.isVoter(others.front()));
}

// Guards against a planned end that waits for a request to join that nobody answers, longer than its grace may be.
TEST_CASE("the end of the joiner does not wait for an answer")
{
    asio::io_context loop;
    // Connections wait in the queue of the system and are never answered.
    const asio::ip::tcp::acceptor silent(loop, {asio::ip::make_address("127.0.0.1"), 0});
    GroupContacts contacts("127.0.0.1:1", {"127.0.0.1:" + std::to_string(silent.local_endpoint().port())});
    std::optional<GroupJoiner> joiner;
    joiner.emplace("127.0.0.1:1", contacts, [] { return proto::ControlStatus(); });
    std::this_thread::sleep_for(milliseconds(100));
    const Time begin = Clock::now();
    joiner.reset();
    CHECK(Clock::now() - begin < milliseconds(200));
}

// Guards against planned ends after which an acknowledged entry would be stored on too few disks.
TEST_CASE("a host that ends as planned stays a voter if the others would be too few")
{
    ControlGroup group(5);
    const auto others = group.others(group.waitLeader());
    group.host(others[0]).leave(Clock::now() + leaveTimeout);
    group.host(others[1]).leave(Clock::now() + leaveTimeout);
    CHECK(group.voters().size() == 4);
    CHECK(group.isVoter(others[1]));
}
