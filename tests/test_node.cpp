// Nodes with real threads and files: replication, restart, leader change, lost disks.
#include <catch2/catch.hpp>

#include "ledger/wal.h"
#include "ledger_group.h"

using namespace banyanledge;

namespace
{

proto::Command createCustomer(const std::string &name)
{
    proto::Command command;
    command.set_change_id("create-" + name);
    command.set_actor("test");
    command.mutable_create_customer()->set_name(name);
    return command;
}

bool hasCustomer(const NodeGroup &group, const std::string &id, const std::string &name)
{
    bool found = false;
    group.node(id)->readTable([&](const Table &table) { found = table.customers().contains(name); });
    return found;
}

} // namespace

// Guards against a committed edit that is not applied on every member.
TEST_CASE("a committed edit is applied on all members")
{
    NodeGroup group(3);
    REQUIRE(group.propose(createCustomer("coffi")).kind() == proto::ERROR_NONE);
    for (const char *id : {"c1", "c2", "c3"}) {
        CHECK(eventually([&] { return hasCustomer(group, id, "coffi"); }));
    }
}

// Guards against losing committed edits when the leader stops, and against applying a resent edit twice.
TEST_CASE("committed edits survive a leader change and a restart of all members")
{
    NodeGroup group(3);
    REQUIRE(group.propose(createCustomer("coffi")).kind() == proto::ERROR_NONE);
    const auto first = group.waitLeader();
    group.stop(first);
    const auto resent = group.propose(createCustomer("coffi"));
    CHECK(resent.kind() == proto::ERROR_NONE);
    CHECK(resent.repeated());
    REQUIRE(group.start(first));
    CHECK(eventually([&] { return hasCustomer(group, first, "coffi"); }));
    for (const char *id : {"c1", "c2", "c3"}) {
        group.stop(id);
    }
    for (const char *id : {"c1", "c2", "c3"}) {
        REQUIRE(group.start(id));
    }
    CHECK(group.propose(createCustomer("coffi")).repeated());
}

// Guards against a member that cannot catch up after the entries it missed were compacted, and against a snapshot that
// results in another table than the log.
TEST_CASE("a member that missed many entries catches up from a snapshot")
{
    NodeGroup group(3, 20); // a snapshot after every 20 entries
    REQUIRE(group.propose(createCustomer("first")).kind() == proto::ERROR_NONE);
    const std::string behind = group.waitLeader() == "c1" ? "c2" : "c1";
    group.stop(behind);
    for (int i = 0; i < 200; ++i) {
        REQUIRE(group.propose(createCustomer("customer" + std::to_string(i))).kind() == proto::ERROR_NONE);
    }
    REQUIRE(group.start(behind));
    REQUIRE(eventually([&] { return hasCustomer(group, behind, "customer199"); }));
    std::string images[2];
    const auto leaderId = group.waitLeader();
    CHECK(eventually([&] {
        group.node(behind)->readTable([&](const Table &table) { images[0] = table.image().SerializeAsString(); });
        group.node(leaderId)->readTable([&](const Table &table) { images[1] = table.image().SerializeAsString(); });
        return images[0] == images[1];
    }));
}

// Guards against a log whose size is bounded by the number of its entries only: a few hundred large declarations filled
// the memory of all control hosts, again after each restart.
TEST_CASE("large changes leave a bounded log in memory and on disk, also while a member is down")
{
    constexpr std::uint64_t entryBytes = 100 << 10;
    constexpr std::uint64_t snapshotBytes = 1 << 20;
    constexpr int changes = 200;
    NodeGroup group(3, 10000, snapshotBytes);
    const std::string down = group.waitLeader() == "c1" ? "c2" : "c1";
    group.stop(down);
    proto::Command command;
    command.set_actor("test");
    std::uint64_t largest = 0;
    for (int version = 1; version <= changes; ++version) {
        command.set_change_id("change-" + std::to_string(version));
        auto &declaration = *command.mutable_put_declaration()->mutable_declaration();
        declaration.set_version(static_cast<std::uint64_t>(version));
        declaration.set_original(std::string(entryBytes, 'x'));
        REQUIRE(group.propose(command).kind() == proto::ERROR_NONE);
        largest = std::max(largest, group.node(group.waitLeader())->logBytes());
    }
    // What comes while a snapshot is written is added to what one snapshot covers and what stays after it.
    CHECK(largest < 4 * snapshotBytes);
    REQUIRE(group.start(down));
    const auto hasNewest = [&] {
        std::uint64_t version = 0;
        group.node(down)->readTable([&](const Table &table) { version = table.declaration().version(); });
        return version == changes;
    };
    CHECK(eventually(hasNewest));
    std::uint64_t diskBytes = 0;
    for (const auto &file : std::filesystem::directory_iterator(group.folder(group.waitLeader()))) {
        diskBytes += file.file_size();
    }
    CHECK(diskBytes < 2 * segmentRotationBytes + 4 * snapshotBytes);
}

// Guards against a host that lost its disk and counts toward a majority before it has caught up, and against one that
// never becomes a voter again.
TEST_CASE("a host that lost its disk becomes a voter again with a new identity")
{
    NodeGroup group(3, 50); // a snapshot after every 50 entries
    REQUIRE(group.propose(createCustomer("first")).kind() == proto::ERROR_NONE);
    const auto lost = group.waitLeader();
    const auto voterIdentity = [&](const std::string &id) {
        const auto leader = group.node(group.waitLeader());
        const auto status = leader ? leader->status() : proto::ControlStatus();
        for (const auto &member : status.config().members()) {
            if (member.id() == id && member.voter()) {
                return member.identity();
            }
        }
        return std::string();
    };
    const auto before = voterIdentity(lost);
    group.stop(lost);
    group.loseDisk(lost);
    REQUIRE(group.propose(createCustomer("second")).kind() == proto::ERROR_NONE);
    REQUIRE(group.start(lost));
    CHECK(eventually([&] { return !voterIdentity(lost).empty() && voterIdentity(lost) != before; }));
    CHECK(eventually([&] { return hasCustomer(group, lost, "second"); }));
    // Another host stops right after the lost one has become a voter again.
    group.stop(lost == "c1" ? "c2" : "c1");
    CHECK(group.propose(createCustomer("first")).repeated());
    CHECK(group.propose(createCustomer("second")).repeated());
}

// Guards against a new host that is never promoted to voter, and against one that cannot be removed.
TEST_CASE("a new host joins as a learner, is promoted, and can be removed")
{
    NodeGroup group(3);
    REQUIRE(group.propose(createCustomer("first")).kind() == proto::ERROR_NONE);
    REQUIRE(group.start("c4", true));
    proto::LogMember member;
    member.set_id("c4");
    member.set_rpc_address("127.0.0.1:7004");
    const auto change = [&](MemberChange kind) {
        return eventually([&] {
            std::promise<proto::CommandResult> promise;
            group.node(group.waitLeader())->changeMember(member, kind, 0, [&](const proto::CommandResult &result) {
                promise.set_value(result);
            });
            return promise.get_future().get().kind() == proto::ERROR_NONE;
        });
    };
    REQUIRE(change(MemberChange::Add));
    CHECK(eventually([&] { return group.node("c4")->status().role() == "follower"; }));
    CHECK(eventually([&] { return hasCustomer(group, "c4", "first"); }));
    CHECK(group.node(group.waitLeader())->status().config().members_size() == 4);
    REQUIRE(change(MemberChange::Remove));
    CHECK(eventually([&] { return group.node(group.waitLeader())->status().config().members_size() == 3; }));
    group.stop("c4");
    CHECK(group.propose(createCustomer("second")).kind() == proto::ERROR_NONE);
}

// Guards against a partitioned leader that still confirms reads, which would renew freshness leases.
TEST_CASE("a partitioned leader confirms no read")
{
    NodeGroup group(3);
    REQUIRE(group.propose(createCustomer("first")).kind() == proto::ERROR_NONE);
    const auto old = group.waitLeader();
    const auto read = [&](const std::string &id) {
        std::promise<std::optional<Revision>> promise;
        group.node(id)->readIndex([&](std::optional<Revision> revision) { promise.set_value(revision); });
        return promise.get_future().get();
    };
    CHECK(read(old));
    group.isolate(old, true);
    CHECK_FALSE(read(old));
    std::string next;
    REQUIRE(eventually([&] { return !(next = group.leader()).empty() && next != old; }));
    CHECK(eventually([&] { return read(next).has_value(); }));
    CHECK_FALSE(read(old));
    group.isolate(old, false);
    CHECK(eventually([&] { return group.node(old)->appliedRevision() >= group.node(next)->appliedRevision(); }));
}
