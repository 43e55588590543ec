// Tests of ControlClient, its copy of the table and its freshness lease, against fake control hosts.
#include <catch2/catch.hpp>

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <set>
#include <thread>

#include "banyanledge.grpc.pb.h"
#include "base/invariant.h"
#include "fleet/controlclient.h"
#include "relay.h"

using namespace banyanledge;

namespace
{

// Polls the condition for up to 10 s; false if it never holds.
bool waitUntilTrue(const std::function<bool()> &condition)
{
    const Time until = Clock::now() + std::chrono::seconds(10);
    while (!condition()) {
        if (Clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return true;
}

// Control host whose public members set its replies. A frozen one answers no Sync call.
class FakeControl : public proto::Control::Service
{
public:
    FakeControl()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
    }

    ~FakeControl() override
    {
        frozen = false;
        m_server->Shutdown(std::chrono::system_clock::now());
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    grpc::Status Sync(grpc::ServerContext *context, const proto::SyncRequest *request, proto::SyncReply *reply) override
    {
        ++syncCalls;
        reportedState = request->self().state();
        waitUntilTrue([&] { return !frozen || context->IsCancelled(); });
        if (!leader) {
            reply->set_kind(proto::ERROR_UNAVAILABLE);
            reply->set_leader_address(leaderAddress);
            return grpc::Status::OK;
        }
        std::this_thread::sleep_for(milliseconds(replyDelayMs));
        reply->mutable_content()->set_revision(revision);
        reply->set_snapshot(request->known_revision() == 0);
        if (request->known_revision() < revision) {
            reply->mutable_content()->mutable_declaration()->set_version(revision);
            reply->mutable_content()->mutable_declaration()->set_original(std::string(tableBytes, 'x'));
        }
        return grpc::Status::OK;
    }

    grpc::Status Propose(grpc::ServerContext *, const proto::Command *command, proto::ProposeReply *reply) override
    {
        const std::lock_guard lock(m_mutex);
        ++proposeCalls;
        changeIds.insert(command->change_id());
        if (!leader) {
            reply->mutable_result()->set_kind(proto::ERROR_UNAVAILABLE);
            reply->set_leader_address(leaderAddress);
        } else if (proposeCalls == 1 && loseFirstReply) {
            return {grpc::StatusCode::UNAVAILABLE, "reply lost"};
        }
        return grpc::Status::OK;
    }

    grpc::Status TakeTokens(grpc::ServerContext *, const proto::TakeTokensRequest *, proto::TakeTokensReply *) override
    {
        return grpc::Status::OK; // measures the round trip
    }

    std::atomic<bool> leader = true;
    std::atomic<bool> frozen = false;
    std::atomic<bool> loseFirstReply = false;
    std::atomic<std::uint64_t> revision = 3;
    std::atomic<int> replyDelayMs = 20;
    std::atomic<std::size_t> tableBytes = 0; // size of a changed table
    std::atomic<unsigned> syncCalls = 0;
    std::atomic<int> reportedState = 0; // MemberState in the last Sync request
    std::string leaderAddress;
    unsigned proposeCalls = 0;
    std::set<std::string> changeIds;

private:
    std::mutex m_mutex; // guards `proposeCalls` and `changeIds`
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
};

// Bound on the time from a change of the table until a gateway has it.
constexpr milliseconds changeBound{2500};

proto::Member localMember()
{
    proto::Member self;
    self.set_id("e1");
    self.set_state(proto::MEMBER_LIVE);
    return self;
}

} // namespace

// A lease that started with the reply would end after the time for which the leader confirmed the table (P5).
TEST_CASE("the lease starts before the call is sent")
{
    FakeControl control;
    control.replyDelayMs = 300;
    ControlClient controlClient({localMember(), {control.address()}, {}});
    CHECK_FALSE(controlClient.isFresh(Clock::now()));
    const Time begun = Clock::now();
    controlClient.start();
    REQUIRE(waitUntilTrue([&] { return controlClient.view()->revision() == 3; }));
    const Time answered = Clock::now();
    control.frozen = true;
    CHECK(waitUntilTrue([&] { return controlClient.isFresh(Clock::now()); }));
    CHECK(controlClient.freshUntil() <= answered - milliseconds(250) + freshnessLease);
    CHECK(controlClient.freshUntil() >= begun + freshnessLease);
    controlClient.stop();
}

// A host must stop serving when no control host answers, and resume when one does.
TEST_CASE("the lease lapses when the leader freezes and is renewed by another one")
{
    FakeControl first;
    FakeControl second;
    second.leader = false;
    ControlClient controlClient({localMember(), {first.address(), second.address()}, {}});
    controlClient.start();
    REQUIRE(waitUntilTrue([&] { return controlClient.isFresh(Clock::now()); }));
    first.frozen = true;
    const Time frozen = Clock::now();
    std::atomic<int> freshAtDeadline = -1; // -1 until the callback runs
    REQUIRE(waitUntilTrue([&] { return !controlClient.isFresh(Clock::now()); }));
    CHECK(Clock::now() - frozen <= freshnessLease + milliseconds(100));
    controlClient.whenFresh(Clock::now() + milliseconds(30), [&](bool fresh) { freshAtDeadline = fresh ? 1 : 0; });
    CHECK(waitUntilTrue([&] { return freshAtDeadline == 0; }));
    std::atomic<bool> renewed = false;
    controlClient.whenFresh(Clock::now() + std::chrono::seconds(8), [&](bool fresh) { renewed = fresh; });
    second.leader = true;
    CHECK(waitUntilTrue([&] { return renewed.load(); }));
    controlClient.stop();
}

// An older table would make withdrawn keys valid again (P12).
TEST_CASE("an older table is rejected and gives no lease")
{
    FakeControl current;
    FakeControl outdated;
    ControlClient controlClient({localMember(), {current.address(), outdated.address()}, {}});
    outdated.revision = 3;
    outdated.replyDelayMs = 300; // limits the number of replies, since each is logged
    current.revision = 9;
    controlClient.start();
    REQUIRE(waitUntilTrue([&] { return controlClient.view()->revision() == 9; }));
    setInvariantsFatal(false); // the rejection counts as a broken invariant
    current.leader = false;
    current.leaderAddress = outdated.address();
    CHECK(waitUntilTrue([&] { return !brokenInvariants().empty(); }));
    CHECK(waitUntilTrue([&] { return !controlClient.isFresh(Clock::now()); }));
    CHECK(controlClient.view()->revision() == 9);
    controlClient.stop();
    setInvariantsFatal(true);
}

// A command whose reply was lost must be sent again with the same change id, or it would be applied twice (P9).
TEST_CASE("a proposal is sent again with the same change id and follows the leader")
{
    FakeControl first;
    FakeControl second;
    first.leader = false;
    first.leaderAddress = second.address();
    second.loseFirstReply = true;
    ControlClient controlClient({localMember(), {first.address()}, {}});
    controlClient.start();
    proto::Command command;
    command.set_change_id("c1");
    std::atomic<int> kind = -1;
    controlClient.propose(command, Clock::now() + std::chrono::seconds(5),
                          [&](const auto &result) { kind = result.kind(); });
    CHECK(waitUntilTrue([&] { return kind == proto::ERROR_NONE; }));
    CHECK(second.proposeCalls == 2);
    CHECK(second.changeIds == std::set<std::string>{"c1"});
    second.leader = false;
    second.leaderAddress = second.address();
    controlClient.propose(command, Clock::now() + milliseconds(200), [&](const auto &result) { kind = result.kind(); });
    CHECK(waitUntilTrue([&] { return kind == proto::ERROR_TIMEOUT; }));
    controlClient.stop();
}

// Guards against Sync replies that are given up while they arrive and start again from their first byte: a gateway on a
// full link never got the table.
TEST_CASE("a table that takes longer to arrive than a Sync call may wait for its first byte arrives whole")
{
    FakeControl control;
    control.tableBytes = 50000;
    standin::RelayThread relay(control.address());
    relay.change([](standin::Relay &link) { link.limitBytesToClients(25000); });
    ControlClient controlClient({localMember(), {relay.address()}, {}, {}, {}, false, true});
    const Time begun = Clock::now();
    controlClient.start();
    CHECK(waitUntilTrue([&] { return controlClient.view()->declaration().version() == 3; }));
    CHECK(Clock::now() - begun < milliseconds(3500));
    controlClient.stop();
}

// Guards against the same for a change, while the link carries other bytes too.
TEST_CASE("a reply whose first byte comes late is applied when it arrives")
{
    FakeControl control;
    ControlClient controlClient({localMember(), {control.address()}, {}, {}, {}, false, true});
    controlClient.start();
    REQUIRE(waitUntilTrue([&] { return controlClient.view()->revision() == 3; }));
    control.replyDelayMs = 1700; // longer than the limit for the first byte
    const unsigned callsBefore = control.syncCalls;
    REQUIRE(waitUntilTrue([&] { return control.syncCalls > callsBefore + 1; })); // a call with this delay has begun
    control.revision = 4;
    const Time changed = Clock::now();
    CHECK(waitUntilTrue([&] { return controlClient.view()->revision() == 4; }));
    CHECK(Clock::now() - changed < changeBound);
    controlClient.stop();
}

// Guards against news that wait until the leader answers the call that it holds.
TEST_CASE("a Sync call that is asked for is made at once, and the held call is still applied")
{
    FakeControl control;
    ControlClient controlClient({localMember(), {control.address()}, {}, {}, {}, false, true});
    controlClient.start();
    REQUIRE(waitUntilTrue([&] { return controlClient.view()->revision() == 3; }));
    control.replyDelayMs = 600;
    const unsigned callsBefore = control.syncCalls;
    REQUIRE(waitUntilTrue([&] { return control.syncCalls > callsBefore + 1; })); // a call with this delay has begun
    const unsigned heldCalls = control.syncCalls;
    control.revision = 4; // the held call was answered with it if it read the table later
    const Time asked = Clock::now();
    controlClient.syncNow();
    controlClient.syncNow();
    CHECK(waitUntilTrue([&] { return control.syncCalls == heldCalls + 1; }));
    CHECK(Clock::now() - asked < milliseconds(300));
    CHECK(waitUntilTrue([&] { return controlClient.view()->revision() == 4; }));
    controlClient.stop();
}

// Guards against silent connections that are found one after the other, each by a call that runs into its time limit.
TEST_CASE("a change arrives in time although the connections to all control hosts have gone silent")
{
    FakeControl leader;
    std::vector<std::unique_ptr<FakeControl>> others;
    std::vector<std::unique_ptr<standin::RelayThread>> relays;
    relays.push_back(std::make_unique<standin::RelayThread>(leader.address()));
    for (int i = 0; i < 2; ++i) {
        others.push_back(std::make_unique<FakeControl>());
        others.back()->leader = false;
        others.back()->leaderAddress = relays.front()->address();
        relays.push_back(std::make_unique<standin::RelayThread>(others.back()->address()));
    }
    std::vector<std::string> addresses;
    addresses.reserve(relays.size());
    for (const auto &relay : relays) {
        addresses.push_back(relay->address());
    }
    // Calls to all control hosts: the first one names the leader, and round trips are measured to each.
    std::rotate(addresses.begin(), addresses.begin() + 1, addresses.end());
    const Time started = Clock::now();
    ControlClient controlClient({localMember(), addresses, {}, {}, {}, true, true});
    controlClient.start();
    REQUIRE(waitUntilTrue([&] { return controlClient.view()->revision() == 3; }));
    std::this_thread::sleep_for(milliseconds(1200)); // until no connection is new
    for (const auto &relay : relays) {
        relay->change([started](standin::Relay &link) { link.silenceConnectionsSince(started); });
    }
    leader.revision = 4;
    const Time changed = Clock::now();
    CHECK(waitUntilTrue([&] { return controlClient.view()->revision() == 4; }));
    CHECK(Clock::now() - changed < changeBound);
    controlClient.stop();
}

// Look-ups at other hosts return a leaving host until the leader knows its new state.
TEST_CASE("a new state is sent to the leader at once")
{
    FakeControl control;
    control.replyDelayMs = 300;
    ControlClient controlClient({localMember(), {control.address()}, {}});
    controlClient.start();
    REQUIRE(waitUntilTrue([&] { return controlClient.isFresh(Clock::now()); }));
    const Time begun = Clock::now();
    controlClient.setState(proto::MEMBER_LEAVING);
    CHECK(waitUntilTrue([&] { return control.reportedState == proto::MEMBER_LEAVING; }));
    CHECK(Clock::now() - begun < milliseconds(250));
    controlClient.stop();
}

// Guards against a host that ends a second late, because nothing wakes the thread after its last call has ended.
TEST_CASE("a client stops as soon as its last call has ended")
{
    FakeControl control;
    for (int i = 0; i < 5; ++i) {
        ControlClient controlClient({localMember(), {control.address()}, {}});
        controlClient.start();
        REQUIRE(waitUntilTrue([&] { return controlClient.isFresh(Clock::now()); }));
        const Time begun = Clock::now();
        controlClient.stop();
        CHECK(Clock::now() - begun < milliseconds(500));
    }
}
