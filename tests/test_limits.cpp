// Limits that backend servers name for themselves in their responses.
#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "control/namedlimits.h"
#include "gateway/notice.h"
#include "gateway/state.h"
#include "gateway_fixture.h"

using namespace banyanledge;

namespace
{

// Requests that a server may get in the window although it takes only `limit` a second: one and a half times what that
// allows, and five.
constexpr double windowSeconds = 4;

double allowedRequests(double limit)
{
    return 1.5 * limit * windowSeconds + 5;
}

// Lets a server name a limit in each response; an empty one names none.
void nameLimit(ScriptedServer &server, const std::string &limit)
{
    server.onRequest = [limit](const auto &connection, const ReceivedRequest &request) {
        connection->respond(request, 200, "ok", limit.empty() ? "" : "Limit: " + limit + "\r\n");
    };
}

// A request for an object of its own.
std::string requestFor(int number)
{
    std::string request = GatewayFixture::request("safe", "r" + std::to_string(number));
    const std::string object = "Object: 17";
    return request.replace(request.find(object), object.size(), "Object: o" + std::to_string(number));
}

// Sends requests of many objects for a time and returns how many were answered with 200.
int sendRequests(GatewayFixture &fixture, int count, milliseconds pause, int &refused)
{
    int answered = 0;
    for (int i = 0; i < count; ++i) {
        const Time sent = Clock::now();
        const auto response = fixture.call(requestFor(i));
        answered += response.status() == 200 ? 1 : 0;
        if (response.status() == 503) {
            ++refused;
            CHECK_FALSE(response.header("Retry-After").empty());
            CHECK(Clock::now() - sent < milliseconds(200));
        }
        fixture.runFor(pause);
    }
    return answered;
}

} // namespace

// Guards against a server that gets its usual requests although it said how many it takes.
TEST_CASE("a server gets no more requests than the limit that it names, and the others are refused at once")
{
    GatewayFixture fixture(1);
    nameLimit(fixture.servers[0], "2");
    int refused = 0;
    const int answered = sendRequests(fixture, 100, milliseconds(20), refused);
    CHECK(static_cast<double>(fixture.servers[0].received.size()) <= allowedRequests(2));
    CHECK(answered >= 4);
    CHECK(answered + refused == 100);
}

// Guards against refusals although other servers of the service have room.
TEST_CASE("requests beyond a server's limit go to the other servers")
{
    GatewayFixture fixture(3);
    nameLimit(fixture.servers[0], "2");
    int refused = 0;
    CHECK(sendRequests(fixture, 100, milliseconds(20), refused) == 100);
    CHECK(static_cast<double>(fixture.servers[0].received.size()) <= allowedRequests(2));
}

// Guards against a statement that is read wrongly, such as a limit of 0 for a value that is no number.
TEST_CASE("limits are read as decimal numbers, and other values state nothing")
{
    HeaderNames names;
    names.serverLimit = "Limit";
    names.serverLeaving = "Leaving";
    const auto parse = [&names](const std::vector<std::string> &values) {
        HttpHead head;
        head.headers = {{"Other", "1"}};
        for (const std::string &value : values) {
            head.headers.emplace_back("limit", value);
        }
        return parseNotice(head, names);
    };
    CHECK(parse({}) == ServerNotice{});
    CHECK(parse({"7.8"}).limitPerSecond == 7.8);
    CHECK(parse({"0"}).limitPerSecond == 0);
    CHECK(parse({"3", "3"}).limitPerSecond == 3);
    for (const std::string text :
         {"", " ", "-1", "nan", "inf", "1e400", "0x10", "7,8", "7.8/s", "99999999999999999999e"}) {
        CAPTURE(text);
        CHECK(parse({text}) == ServerNotice{{}, false, {}, {"Limit"}});
    }
    CHECK(parse({"3", "4"}) == ServerNotice{{}, false, {}, {"Limit"}});
}

// Guards against a limit that outlives the server's need, and against one that ends because a response can't be read.
TEST_CASE("a limit ends with a normal response that names none, and only with such a response")
{
    GatewayFixture fixture(1);
    auto &server = fixture.servers[0];
    const auto limited = [&fixture] {
        proto::SyncRequest report;
        fixture.gateway->report(report);
        return report.limits_size() == 1 && report.limits(0).has_per_second();
    };
    const auto respond = [&](int status, const std::string &headers) {
        server.onRequest = [status, headers](const auto &connection, const ReceivedRequest &request) {
            connection->respond(request, status, "x", headers);
        };
        fixture.runFor(milliseconds(120)); // until the limit lets another request through
        static int number = 0;
        fixture.call(requestFor(++number));
    };
    respond(200, "Limit: 50\r\n");
    CHECK(limited());
    respond(200, "Limit: many\r\n");
    CHECK(limited());
    respond(503, "Not-Run: 1\r\n");
    CHECK(limited());
    respond(421, "");
    CHECK(limited());
    respond(200, "");
    CHECK_FALSE(limited());
    respond(503, "Not-Run: 1\r\nLimit: 40\r\n");
    CHECK(limited());
}

// Guards against bursts and shares that add up to more than the server takes.
TEST_CASE("the hosts' parts of a limit add up to what the server takes")
{
    for (const double limit : {0.0, 0.1, 1.0, 4.1, 7.8, 50.0, 1000.0}) {
        for (const std::size_t hosts : {1, 3, 10, 71, 295}) {
            CAPTURE(limit, hosts);
            LimitShare sum;
            for (std::size_t rank = 0; rank < hosts; ++rank) {
                const LimitShare share = limitShare(limit, {hosts, rank});
                sum.perSecond += share.perSecond;
                sum.burst += share.burst;
            }
            CHECK(sum.burst + windowSeconds * sum.perSecond <= allowedRequests(limit));
            CHECK(sum.perSecond >= limit * 0.999);
            CHECK(limitShare(limit, {hosts, hosts}) == LimitShare{});
        }
    }
}

// Guards against hosts that keep to the limit each by itself, and against a limit that hardly any request may use.
TEST_CASE("ten hosts together send a server no more than its limit, and most of that")
{
    constexpr std::size_t hosts = 10;
    constexpr double limit = 4.5;
    std::vector<NamedLimit> states(hosts);
    std::mt19937 random(27);
    std::vector<Time> sent;
    const Time start = Time{} + std::chrono::hours(1);
    for (int ms = 0; ms < 30000; ++ms) {
        const Time now = start + milliseconds(ms);
        for (std::size_t rank = 0; rank < hosts; ++rank) {
            states[rank].recordOwn({limit, now}, now);
            const bool arrives = std::uniform_real_distribution<double>()(random) < 0.02; // 20 requests a second
            if (arrives && states[rank].allows({hosts, rank}, now)) {
                states[rank].count();
                sent.push_back(now);
            }
        }
    }
    for (std::size_t i = 0; i < sent.size(); ++i) {
        const auto end = std::lower_bound(sent.begin(), sent.end(), sent[i] + std::chrono::seconds(4));
        CHECK(static_cast<double>(end - sent.begin()) - static_cast<double>(i) <= allowedRequests(limit));
    }
    CHECK(static_cast<double>(sent.size()) >= 0.8 * limit * 30);
}

// Guards against hosts that each have to be told by the server, and that don't learn when the limit ends.
TEST_CASE("a host learns from the leader what servers told the others")
{
    const Time start = Time{} + std::chrono::hours(1);
    const auto report = [](NamedLimits &leader, const std::optional<double> &limit, Duration age, Time now) {
        proto::SyncRequest request;
        auto *added = request.add_limits();
        added->set_server(7);
        added->set_age_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()));
        if (limit) {
            added->set_per_second(*limit);
        }
        leader.recordReport(request, now);
    };
    const auto reply = [](NamedLimits &leader, Time now) {
        proto::SyncReply result;
        leader.addStatements(result, now);
        return result;
    };
    NamedLimits leader;
    report(leader, 4.5, milliseconds(100), start);
    REQUIRE(reply(leader, start).limits_size() == 1);
    CHECK(reply(leader, start + milliseconds(50)).limits(0).per_second() == 4.5);
    CHECK(reply(leader, start + milliseconds(50)).limits(0).age_ms() == 150);
    report(leader, std::nullopt, milliseconds(500), start + milliseconds(100)); // older than the limit
    CHECK(reply(leader, start + milliseconds(100)).limits(0).has_per_second());
    report(leader, std::nullopt, milliseconds(0), start + milliseconds(200));
    CHECK_FALSE(reply(leader, start + milliseconds(200)).limits(0).has_per_second());
    CHECK(reply(leader, start + milliseconds(200) + namedLimitLifetime).limits().empty());

    GatewayFixture fixture(1);
    proto::SyncReply told;
    told.add_limits()->set_server(shortServerHash("s0"));
    told.mutable_limits(0)->set_per_second(2);
    fixture.gateway->applySyncReply({}, told);
    nameLimit(fixture.servers[0], "2");
    int refused = 0;
    sendRequests(fixture, 20, milliseconds(1), refused);
    CHECK(fixture.servers[0].received.size() <= 4);
    proto::SyncReply ended;
    ended.add_limits()->set_server(shortServerHash("s0"));
    fixture.gateway->applySyncReply({}, ended);
    nameLimit(fixture.servers[0], "");
    CHECK(sendRequests(fixture, 20, milliseconds(1), refused) == 20);
}

// Guards against requests to a server that said in a response that it leaves, while the list still shows it as ready.
TEST_CASE("a server that says that it leaves gets no further request, whatever the list says")
{
    GatewayFixture fixture(2);
    for (std::size_t i = 0; i < fixture.servers.size(); ++i) {
        fixture.servers[i].onRequest = [i](const auto &connection, const ReceivedRequest &request) {
            connection->respond(request, 200, "ok", i == 0 ? "Leaving: 1\r\n" : "Leaving: 0\r\n");
        };
    }
    int refused = 0;
    CHECK(sendRequests(fixture, 40, milliseconds(1), refused) == 40);
    CHECK(fixture.servers[0].received.size() == 1);
    fixture.publishView(); // the list still shows it as ready
    CHECK(sendRequests(fixture, 20, milliseconds(1), refused) == 20);
    CHECK(fixture.servers[0].received.size() == 1);
    // Once the list has shown it as leaving and then as ready, it has started anew under its id.
    fixture.leavingServers = {"s0"};
    fixture.publishView();
    fixture.leavingServers.clear();
    fixture.publishView();
    fixture.runFor(milliseconds(1100)); // until it is warm
    sendRequests(fixture, 20, milliseconds(1), refused);
    CHECK(fixture.servers[0].received.size() == 2);
}

// Guards against requests that wait until their time limit although every server has left.
TEST_CASE("a service whose servers all leave refuses at once")
{
    GatewayFixture fixture(1);
    fixture.servers[0].onRequest = [](const auto &connection, const ReceivedRequest &request) {
        connection->respond(request, 200, "ok", "Leaving: 1\r\n");
    };
    int refused = 0;
    CHECK(sendRequests(fixture, 5, milliseconds(1), refused) == 1);
    CHECK(refused == 4);
}

// Guards against a retry on the server that has just said that it leaves, and on one that asked for a pause.
TEST_CASE("a server that asks for a pause gets no request until its end, and clients are told when that is")
{
    GatewayFixture fixture(1);
    auto &server = fixture.servers[0];
    const auto pause = [&server](const std::string &seconds) {
        server.onRequest = [seconds](const auto &connection, const ReceivedRequest &request) {
            connection->respond(request, 503, "busy", "Not-Run: 1\r\nRetry-After: " + seconds + "\r\n");
        };
    };
    pause("1.2");
    int refused = 0;
    CHECK(sendRequests(fixture, 1, milliseconds(1), refused) == 0);
    nameLimit(server, "");
    const Time paused = Clock::now();
    while (Clock::now() < paused + milliseconds(1100)) {
        const auto response = fixture.call(requestFor(1));
        REQUIRE(response.status() == 503);
        const auto left = std::chrono::duration<double>(paused + milliseconds(1200) - Clock::now()).count();
        CHECK(std::stod(response.header("Retry-After")) >= std::max(left, 0.2) - 0.05);
        CHECK(std::stod(response.header("Retry-After")) <= left + 0.6);
        fixture.runFor(milliseconds(50));
    }
    CHECK(server.received.size() == 1);
    fixture.runFor(milliseconds(700));
    CHECK(fixture.call(requestFor(2)).status() == 200);
    for (const std::string value : {"Wed, 21 Oct 2026 07:28:00 GMT", "-1", "soon", "inf"}) {
        pause(value);
        fixture.call(requestFor(3));
        fixture.runFor(milliseconds(100));
        nameLimit(server, "");
        CHECK(fixture.call(requestFor(4)).status() == 200);
    }
}

// Guards against a pause that takes away more than the server that asked for it.
TEST_CASE("while one server pauses, its requests go to the others")
{
    GatewayFixture fixture(3);
    fixture.servers[0].onRequest = [](const auto &connection, const ReceivedRequest &request) {
        connection->respond(request, 503, "busy", "Not-Run: 1\r\nRetry-After: 30\r\n");
    };
    int refused = 0;
    CHECK(sendRequests(fixture, 60, milliseconds(1), refused) == 60);
    CHECK(fixture.servers[0].received.size() == 1);
}

// Guards against a host that takes a part of a server's rate although the others don't count it among those that share.
TEST_CASE("a host that the table does not show as live sends nothing to a cold server")
{
    GatewayFixture fixture(1);
    fixture.declaration.mutable_services(0)->set_warmup_per_second(100);
    proto::TableContent content;
    content.set_revision(9);
    *content.mutable_declaration() = fixture.declaration;
    auto *server = content.add_servers();
    server->set_id("cold");
    server->set_service("s");
    server->set_region("r");
    server->set_address(fixture.servers[0].address());
    server->set_slots(4);
    server->set_warmup_left_ms(60000);
    auto *other = content.add_members();
    other->set_id("other");
    other->set_entry(true);
    other->set_region("r");
    other->set_http_address("127.0.0.1:1");
    other->set_state(proto::MEMBER_LIVE);
    fixture.gateway->setView(View::next(View(), content, true));
    int refused = 0;
    CHECK(sendRequests(fixture, 10, milliseconds(1), refused) == 0);
    CHECK(fixture.servers[0].received.empty());
}

// Guards against reports and replies that grow with the number of servers.
TEST_CASE("the limits of many servers are reported in messages of bounded size")
{
    const Time start = Time{} + std::chrono::hours(1);
    NamedLimits leader;
    for (std::uint32_t server = 1; server <= 2000; ++server) {
        proto::SyncRequest request;
        request.add_limits()->set_server(server);
        request.mutable_limits(0)->set_per_second(4.5);
        leader.recordReport(request, start + milliseconds(server));
    }
    proto::SyncReply reply;
    leader.addStatements(reply, start + milliseconds(2000));
    CHECK(reply.limits_size() == 256);
    CHECK(reply.ByteSizeLong() <= std::size_t{256} * 24);
}
