// Tests of the replies to Sync calls, which renew the freshness leases, on real members of the log.
#include <catch2/catch.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "base/packing.h"
#include "control/sync.h"
#include "ledger_group.h"

using namespace banyanledge;

namespace
{

// Fails the test if the group had no leader in time.
std::shared_ptr<Node> requireNode(std::shared_ptr<Node> node)
{
    REQUIRE(node);
    return node;
}

// Handles Sync calls as a control host does, without gRPC.
class SyncFixture
{
public:
    explicit SyncFixture(std::shared_ptr<Node> node)
        : m_node(requireNode(std::move(node)))
        , m_sync(m_loop, *m_node)
    {
        tick();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~SyncFixture()
    {
        m_work.reset();
        m_loop.stop();
        m_thread.join();
    }
    SyncFixture(const SyncFixture &) = delete;
    SyncFixture &operator=(const SyncFixture &) = delete;

    std::future<proto::SyncReply> begin(const proto::SyncRequest &request)
    {
        auto promise = std::make_shared<std::promise<proto::SyncReply>>();
        asio::post(m_loop, [this, request, promise] {
            m_sync.handle(request, [promise](proto::SyncReply reply) {
                unpackCommon(reply);
                promise->set_value(reply);
            });
        });
        return promise->get_future();
    }

    // Repeats the call until the host leads and answers it.
    proto::SyncReply sync(const proto::SyncRequest &request)
    {
        proto::SyncReply reply;
        eventually([&] { return (reply = begin(request).get()).kind() == proto::ERROR_NONE; });
        return reply;
    }

private:
    void tick()
    {
        m_timer.expires_after(milliseconds(10));
        m_timer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                m_sync.tick(Clock::now());
                tick();
            }
        });
    }

    std::shared_ptr<Node> m_node;
    asio::io_context m_loop;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_loop.get_executor()};
    asio::steady_timer m_timer{m_loop};
    SyncHandler m_sync;
    std::thread m_thread;
};

proto::SyncRequest syncCall(const std::string &host)
{
    proto::SyncRequest request;
    request.mutable_self()->set_id(host);
    request.mutable_self()->set_incarnation(7);
    request.mutable_self()->set_entry(true);
    request.mutable_self()->set_region("north");
    request.mutable_self()->set_state(proto::MEMBER_LIVE);
    request.set_wait_ms(400);
    return request;
}

proto::Command withdrawal(const std::string &id)
{
    proto::Command command;
    command.set_change_id("withdraw-" + id);
    command.set_actor("test");
    command.mutable_withdraw_key()->set_id(id);
    return command;
}

// Returns the state of a host in the reply, or MEMBER_JOINING when the reply does not hold the host.
proto::MemberState stateIn(const proto::SyncReply &reply, const std::string &host)
{
    for (const auto &member : reply.content().members()) {
        if (member.id() == host) {
            return member.state();
        }
    }
    return proto::MEMBER_JOINING;
}

} // namespace

// Guards against a partitioned leader that renews leases, so that a key withdrawn by its successor still works.
TEST_CASE("a leader that is cut off answers no Sync call that begins after the cut")
{
    NodeGroup group(3);
    const auto oldLeader = group.waitLeader();
    auto fixture = std::make_unique<SyncFixture>(group.node(oldLeader));
    const auto known = fixture->sync(syncCall("e1"));
    REQUIRE(known.content().members_size() == 1);
    group.isolate(oldLeader, true);
    // The host knows the whole table, so only the missing confirmation by a quorum may delay the reply.
    proto::SyncRequest again = syncCall("e1");
    again.set_known_revision(known.content().revision());
    std::vector<std::future<proto::SyncReply>> calls;
    calls.push_back(fixture->begin(again));
    calls.push_back(fixture->begin(syncCall("e1")));
    for (auto &call : calls) {
        CHECK(call.get().kind() == proto::ERROR_UNAVAILABLE);
    }
    // Answered by the new leader, which accepts changes.
    CHECK(group.propose(withdrawal("k1")).kind() == proto::ERROR_NOT_FOUND);
    CHECK(fixture->begin(again).get().kind() == proto::ERROR_UNAVAILABLE);
    fixture.reset();
}

// Guards against a host that serves again while the table still holds it as gone.
TEST_CASE("a silent host is declared gone, and its next answer shows it live")
{
    NodeGroup group(1);
    SyncFixture fixture(group.node(group.waitLeader()));
    proto::SyncReply reply = fixture.sync(syncCall("e1"));
    CHECK(stateIn(reply, "e1") == proto::MEMBER_LIVE);
    const Time silent = Clock::now();
    REQUIRE(eventually([&] { return stateIn(fixture.sync(syncCall("e2")), "e1") == proto::MEMBER_GONE; }));
    CHECK(Clock::now() - silent >= milliseconds(1500)); // its lease has ended by then
    CHECK(stateIn(fixture.sync(syncCall("e1")), "e1") == proto::MEMBER_LIVE);
}

// Guards against hosts that hear of a server's end only with their next Sync call.
TEST_CASE("the end of a server that one host saw answers the held Sync calls of the others")
{
    NodeGroup group(3);
    const auto leader = group.waitLeader();
    proto::Command put;
    put.set_change_id("put-s1");
    put.set_actor("test");
    auto &server = *put.mutable_put_server()->mutable_server();
    server.set_id("s1");
    server.set_service("video");
    server.set_region("north");
    server.set_address("10.0.0.1:80");
    REQUIRE(group.propose(put).kind() == proto::ERROR_NONE);
    SyncFixture fixture(group.node(leader));
    (void)fixture.sync(syncCall("e1"));
    const auto known = fixture.sync(syncCall("e2"));
    REQUIRE(known.content().servers_size() == 1);
    proto::SyncRequest held = syncCall("e2");
    held.set_known_revision(known.content().revision());
    auto answer = fixture.begin(held);
    proto::SyncRequest report = syncCall("e1");
    auto *processReport = report.add_process_reports();
    processReport->set_id("s1");
    processReport->set_incarnation(known.content().servers(0).incarnation());
    processReport->set_ended(true);
    const Time reported = Clock::now();
    (void)fixture.begin(report);
    const proto::SyncReply reply = answer.get();
    CHECK(Clock::now() - reported < milliseconds(held.wait_ms()));
    REQUIRE(reply.content().servers_size() == 1);
    CHECK(reply.content().servers(0).ended());
    CHECK(reply.content().servers(0).incarnation() != processReport->incarnation());
}

// Guards against an announcement that is lost, because it was decided on the same revision as an earlier one of the
// same host and the leader refuses the later of two such changes.
TEST_CASE("of two announcements of one host that are under way at once the later one is in force when it is answered")
{
    NodeGroup group(3);
    SyncFixture fixture(group.node(group.waitLeader()));
    (void)fixture.sync(syncCall("e1"));
    proto::SyncRequest live = syncCall("e2");
    proto::SyncRequest leaving = live;
    leaving.mutable_self()->set_state(proto::MEMBER_LEAVING);
    auto first = fixture.begin(live);
    auto second = fixture.begin(leaving);
    CHECK(first.get().kind() == proto::ERROR_NONE);
    const proto::SyncReply answer = second.get();
    CHECK(answer.kind() == proto::ERROR_NONE);
    CHECK(stateIn(answer, "e2") == proto::MEMBER_LEAVING);
}

TEST_CASE("a follower refuses Sync calls and names the leader")
{
    NodeGroup group(3);
    const auto leader = group.waitLeader();
    const std::string follower = leader == "c1" ? "c2" : "c1";
    SyncFixture fixture(group.node(follower));
    proto::SyncReply reply;
    REQUIRE(eventually([&] { return !(reply = fixture.begin(syncCall("e1")).get()).leader_address().empty(); }));
    CHECK(reply.kind() == proto::ERROR_UNAVAILABLE);
    CHECK(reply.content().members_size() == 0);
}

// Common parts are packed once for all hosts: compressing and copying a declaration for each host kept the leader busy
// for longer than a change may take.
TEST_CASE("common parts of an answer are merged, and damaged ones are refused")
{
    proto::SyncReply part;
    part.mutable_content()->set_revision(7);
    part.add_control_hosts("10.0.0.1:1");
    proto::SyncReply reply;
    reply.add_common(packCommon(part));
    proto::SyncReply other;
    other.add_servers()->set_server(3);
    reply.add_common(packCommon(other));
    proto::SyncReply damaged = reply;
    damaged.mutable_common(0)->resize(damaged.common(0).size() / 2);
    REQUIRE(unpackCommon(reply));
    CHECK(reply.content().revision() == 7);
    CHECK(reply.control_hosts_size() == 1);
    CHECK(reply.servers_size() == 1);
    CHECK(reply.common_size() == 0);
    CHECK_FALSE(unpackCommon(damaged));
}
