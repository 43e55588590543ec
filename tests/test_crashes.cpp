// Evidence against requests that crash backend servers, and the leader's decisions on it.
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>

#include "control/blocks.h"
#include "decide/crashevidence.h"
#include "decide/fingerprint.h"
#include "gateway/blocker.h"

using namespace banyanledge;

namespace
{

const Time start = Time{} + std::chrono::hours(1);

Time at(int ms)
{
    return start + milliseconds(ms);
}

// An attempt that ended with a crash of server `id`, by its only report.
RequestCrash crash(std::uint32_t id, int startedMs, int endedMs)
{
    return {id, at(startedMs), at(endedMs), at(endedMs), {id}};
}

RequestCrash crash(std::uint32_t id, Time ended)
{
    return {id, ended - milliseconds(50), ended, ended, {id}};
}

unsigned count(const CrashEvidence &evidence, const std::string &fingerprint)
{
    const auto found = evidence.suspects().find(fingerprint);
    return found == evidence.suspects().end() ? 0 : crashesInSequence(found->second.crashes);
}

// As a gateway does with a request that a client sends.
bool admit(RequestBlocker &gateway, const std::string &fingerprint, Time now)
{
    if (gateway.isBlocked(fingerprint, now)) {
        gateway.recordRejection(fingerprint, now);
        return false;
    }
    gateway.recordSending(fingerprint);
    return true;
}

// A leader and the gateways that report to it. The table is applied at once.
class Fleet
{
public:
    explicit Fleet(std::size_t hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            gateways.emplace_back("h" + std::to_string(i));
        }
    }

    // One Sync call of each gateway, and the leader's decisions.
    void sync(Time now)
    {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            proto::SyncRequest request;
            request.mutable_self()->set_id("h" + std::to_string(i));
            gateways[i].addReport(request, now);
            largestReport = std::max(largestReport, request.ByteSizeLong());
            leader.recordReport(request, now);
        }
        for (const auto &command : leader.commands(objects, 0, now)) {
            apply(command);
        }
        proto::SyncReply reply;
        leader.addSuspects(reply, now);
        proto::TableContent content;
        content.set_revision(objects.revision);
        for (const auto &[id, request] : objects.blockedRequests) {
            *content.add_blocked_requests() = request;
        }
        const auto view = View::next(View(), content, true);
        for (auto &gateway : gateways) {
            gateway.setView(*view);
            gateway.applyReply(reply, now);
        }
    }

    void apply(const proto::Command &command)
    {
        ++objects.revision;
        if (command.has_block_request()) {
            const auto expected = command.block_request().expected_revision();
            const auto found = objects.blockedRequests.find(command.block_request().request().id());
            CHECK(expected == (found == objects.blockedRequests.end() ? 0 : found->second.revision()));
            auto request = command.block_request().request();
            request.set_revision(objects.revision);
            objects.blockedRequests[request.id()] = request;
        } else {
            objects.blockedRequests.erase(command.unblock_request().id());
        }
    }

    bool blocked(const std::string &fingerprint) const
    {
        return objects.blockedRequests.contains(fingerprint);
    }

    std::vector<RequestBlocker> gateways;
    RequestBlocks leader;
    TableObjects objects;
    std::size_t largestReport = 0; // bytes
};

} // namespace

TEST_CASE("a fingerprint depends on method, host, target, customer and body, and its prefix on the target")
{
    const RequestContent content{"POST", "h", "/a?q=1", "c", "body"};
    CHECK(fingerprintOf(content) == fingerprintOf(content));
    CHECK(fingerprintOf(content).size() == 48);
    CHECK(prefixOf(fingerprintOf(content)) == fingerprintPrefix("/a?q=1"));
    const std::vector<RequestContent> others{
        {"PUT", "h", "/a?q=1", "c", "body"},   {"POST", "i", "/a?q=1", "c", "body"},
        {"POST", "h", "/a?q=2", "c", "body"},  {"POST", "h", "/a?q=1", "d", "body"},
        {"POST", "h", "/a?q=1", "c", "other"}, {"POST", "h", "/a?q=1", "cb", "ody"}};
    for (const RequestContent &other : others) {
        CHECK(fingerprintOf(other) != fingerprintOf(content));
    }
}

// Guards against blocking a popular request that was running on many servers when these crashed together.
TEST_CASE("crashes of attempts that ran at the same time count as one")
{
    CHECK(crashesInSequence({}) == 0);
    CHECK(crashesInSequence({crash(1, 0, 100), crash(2, 10, 100), crash(3, 20, 100), crash(4, 99, 101)}) == 1);
    CHECK(crashesInSequence({crash(1, 0, 100), crash(2, 100, 110), crash(3, 105, 115), crash(4, 110, 120)}) == 3);
    CHECK(crashesInSequence({crash(1, 50, 60), crash(2, 0, 100), crash(3, 60, 120)}) == 2);
}

// Guards against evidence that many simultaneous copies of the request push out.
TEST_CASE("copies of one crash don't push out the earlier crashes of a request")
{
    CrashEvidence evidence(4);
    std::uint32_t id = 0;
    for (int round = 0; round < 3; ++round) {
        for (int copy = 0; copy < 40; ++copy) {
            const Time ended = at(round * 3000 + 90 + copy % 7);
            evidence.recordCrash("f", {}, {7, ended - milliseconds(50), ended, ended, {++id}}, at(9000));
        }
    }
    CHECK(count(evidence, "f") == 3);
    CHECK(evidence.suspects().at("f").crashes.size() == 3);
}

TEST_CASE("evidence counts a crash once, ends with a success and expires")
{
    CrashEvidence evidence(4);
    evidence.recordCrash("f", {}, crash(1, 0, 10), at(10));
    evidence.recordCrash("f", {}, crash(1, 0, 10), at(20));
    evidence.recordCrash("f", {}, crash(2, 30, 40), at(40));
    CHECK(count(evidence, "f") == 2);
    evidence.recordSuccess("f", at(35), at(50));
    CHECK(count(evidence, "f") == 1);
    evidence.recordCrash("f", {}, crash(1, 0, 10), at(60)); // reported late
    CHECK(count(evidence, "f") == 1);
    evidence.removeExpired(at(40) + crashLifetime - milliseconds(1));
    CHECK(count(evidence, "f") == 1);
    evidence.removeExpired(at(40) + crashLifetime);
    CHECK(evidence.suspects().empty());
}

// Guards against memory that grows with the number of different requests that crash servers.
TEST_CASE("evidence of more requests than fit drops the weakest")
{
    CrashEvidence evidence(3);
    evidence.recordCrash("strong", {}, crash(1, 0, 10), at(10));
    evidence.recordCrash("strong", {}, crash(2, 20, 30), at(30));
    for (std::uint32_t i = 0; i < 100; ++i) {
        evidence.recordCrash("f" + std::to_string(i), {}, crash(100 + i, 40, 50), at(50 + static_cast<int>(i)));
    }
    CHECK(evidence.suspects().size() == 3);
    CHECK(count(evidence, "strong") == 2);
    CHECK(count(evidence, "f99") == 1);
}

// Guards against one request that crashes a server at each host, none of which sees enough of it.
TEST_CASE(
    "crashes at three hosts block the request on all hosts, also on those that join, after a change of the leader")
{
    Fleet fleet(4);
    fleet.gateways[0].recordCrash("f", {"route", "c", "GET", "/p"}, crash(1, 0, 10), at(10));
    fleet.sync(at(20));
    fleet.gateways[1].recordCrash("f", {"route", "c", "GET", "/p"}, crash(2, 30, 40), at(40));
    fleet.sync(at(50));
    CHECK_FALSE(fleet.blocked("f"));
    fleet.leader = RequestBlocks(); // the next leader hears of the earlier crashes again
    fleet.gateways[2].recordCrash("f", {"route", "c", "GET", "/p"}, crash(3, 60, 70), at(70));
    fleet.sync(at(80));
    CHECK_FALSE(fleet.blocked("f"));
    fleet.sync(at(70) + evidenceDelay);
    REQUIRE(fleet.blocked("f"));
    const auto &blocked = fleet.objects.blockedRequests.at("f");
    CHECK(blocked.route() == "route");
    CHECK(blocked.customer() == "c");
    CHECK(blocked.path() == "/p");
    CHECK(blocked.crashes() == 3);
    for (auto &gateway : fleet.gateways) {
        CHECK(gateway.isBlocked("f", at(800)));
        CHECK_FALSE(gateway.isBlocked("g", at(800)));
    }
    fleet.leader = RequestBlocks();
    fleet.gateways.emplace_back("new");
    fleet.sync(at(900));
    CHECK(fleet.gateways.back().isBlocked("f", at(900)));
}

// Guards against a host that is out of touch with the leader and lets the request crash server after server.
TEST_CASE("a host without contact to the leader blocks a request by what it saw itself")
{
    RequestBlocker gateway("h");
    gateway.applyReply({}, at(0)); // the last contact
    for (int i = 0; i < 3; ++i) {
        CHECK(admit(gateway, "f", at(i * 100)));
        gateway.recordCrash("f", {}, crash(static_cast<std::uint32_t>(i), i * 100, i * 100 + 50), at(i * 100 + 50));
    }
    proto::SyncRequest report;
    gateway.addReport(report, at(300));
    CHECK_FALSE(gateway.isBlocked("f", at(400))); // the leader decides
    for (int ms = 400; ms <= 3000; ms += 100) {
        gateway.addReport(report, at(ms));
    }
    CHECK(gateway.isBlocked("f", at(3010)));
    CHECK_FALSE(admit(gateway, "f", at(3010)));
    // Guards against a host that decides alone right after a pause, before it can hear the leader.
    CHECK_FALSE(gateway.isBlocked("f", at(6000)));
    gateway.addReport(report, at(6010));
    CHECK_FALSE(gateway.isBlocked("f", at(6020)));
}

// Guards against blocking a request whose servers crash for another reason while other hosts see it succeed.
TEST_CASE("a success at another host clears a request that is suspected")
{
    Fleet fleet(3);
    fleet.gateways[0].recordCrash("f", {}, crash(1, 0, 10), at(10));
    fleet.gateways[1].recordCrash("f", {}, crash(2, 30, 40), at(40));
    fleet.sync(at(50));
    fleet.gateways[2].recordSuccess("f", at(60));
    fleet.sync(at(70));
    fleet.gateways[0].recordCrash("f", {}, crash(3, 80, 90), at(90));
    fleet.sync(at(1000));
    CHECK_FALSE(fleet.blocked("f"));
    CHECK_FALSE(fleet.gateways[0].isBlocked("f", at(1000)));
    // Later the earlier crashes stay void, also for the next leader.
    for (int ms = 2000; ms < 15000; ms += 500) {
        fleet.sync(at(ms));
    }
    SECTION("the same leader")
    {
    }
    SECTION("the next leader")
    {
        fleet.leader = RequestBlocks();
    }
    fleet.gateways[1].recordCrash("f", {}, crash(4, 15000, 15010), at(15010));
    for (int ms = 15100; ms < 18000; ms += 100) {
        fleet.sync(at(ms));
    }
    CHECK_FALSE(fleet.blocked("f"));
}

// Guards against a new leader that blocks the requests that a blocked one took along, because it does not know its
// crashes.
TEST_CASE("a new leader learns the crashes that a blocked request explains")
{
    Fleet fleet(2);
    for (std::uint32_t i = 0; i < 4; ++i) {
        const Time ended = at(static_cast<int>(i) * 1000);
        fleet.gateways[0].recordCrash("deadly", {}, {i, ended - milliseconds(20), ended, ended, {10 + i}}, ended);
        if (i < 3) {
            fleet.gateways[1].recordCrash("a", {}, {i, ended - milliseconds(60), ended, ended, {20 + i}}, ended);
        }
    }
    fleet.sync(at(4000));
    REQUIRE(fleet.blocked("deadly"));
    fleet.sync(at(4100));
    fleet.leader = RequestBlocks();
    for (int ms = 4200; ms < 8000; ms += 100) {
        fleet.sync(at(ms));
    }
    CHECK_FALSE(fleet.blocked("a"));
}

// Guards against trials on many hosts at once, and against a request that stays blocked after its servers were
// repaired.
TEST_CASE("a blocked request gets one trial at a time, ever more rarely, and is unblocked by a success")
{
    Fleet fleet(3);
    Time now = at(0);
    for (std::uint32_t i = 0; i < 3; ++i) {
        now += milliseconds(100);
        fleet.gateways[0].recordCrash("f", {}, crash(i, now), now);
    }
    now += evidenceDelay;
    fleet.sync(now);
    REQUIRE(fleet.blocked("f"));
    const Time blockedAt = now;
    std::vector<Time> trials;
    for (std::uint32_t id = 100; now < blockedAt + std::chrono::hours(5); now += std::chrono::seconds(1)) {
        for (auto &gateway : fleet.gateways) {
            if (admit(gateway, "f", now)) {
                trials.push_back(now);
                gateway.recordCrash("f", {}, crash(++id, now + milliseconds(10)), now + milliseconds(10));
            }
        }
        fleet.sync(now);
    }
    REQUIRE(trials.size() >= 5);
    CHECK(trials[0] - blockedAt >= firstTrialDelay);
    for (std::size_t i = 1; i < trials.size(); ++i) {
        CHECK(trials[i] - trials[i - 1] >= std::min<Duration>(longestTrialDelay, firstTrialDelay * (1 << i)));
    }
    for (const Time end = now + std::chrono::hours(2); fleet.blocked("f") && now < end;
         now += std::chrono::seconds(1)) {
        for (auto &gateway : fleet.gateways) {
            if (admit(gateway, "f", now)) {
                gateway.recordSuccess("f", now + milliseconds(10));
            }
        }
        fleet.sync(now + milliseconds(500));
    }
    CHECK_FALSE(fleet.blocked("f"));
    for (const auto &gateway : fleet.gateways) {
        CHECK_FALSE(gateway.isBlocked("f", now));
    }
}

// Guards against a trial that is left over and used long after it was granted.
TEST_CASE("a trial that is not used ends, and no trial begins while nobody sends the request")
{
    Fleet fleet(1);
    for (std::uint32_t i = 0; i < 3; ++i) {
        const int ms = static_cast<int>(i) * 100;
        fleet.gateways[0].recordCrash("f", {}, crash(i, ms, ms + 50), at(ms + 50));
    }
    fleet.sync(at(1000));
    fleet.sync(at(1010));
    Time now = at(1010) + firstTrialDelay * 2;
    fleet.sync(now);
    CHECK(fleet.objects.blockedRequests.at("f").trial_host().empty());
    fleet.gateways[0].recordRejection("f", now);
    fleet.sync(now);
    CHECK(fleet.objects.blockedRequests.at("f").trial_host() == "h0");
    fleet.sync(now + milliseconds(10));
    CHECK_FALSE(fleet.gateways[0].isBlocked("f", now + milliseconds(10)));
    now += trialTime + milliseconds(100);
    fleet.sync(now);
    fleet.sync(now + milliseconds(10));
    CHECK(fleet.objects.blockedRequests.at("f").trial_host().empty());
    CHECK(fleet.gateways[0].isBlocked("f", now + milliseconds(10)));
}

TEST_CASE("a request that an operator unblocked is sent again, and blocked again only by new crashes")
{
    Fleet fleet(2);
    for (std::uint32_t i = 0; i < 3; ++i) {
        const int ms = static_cast<int>(i) * 100;
        fleet.gateways[i % 2].recordCrash("f", {}, crash(i, ms, ms + 50), at(ms + 50));
    }
    fleet.sync(at(1000));
    REQUIRE(fleet.blocked("f"));
    fleet.sync(at(1100));
    fleet.objects.blockedRequests.clear();
    fleet.sync(at(1200));
    fleet.sync(at(2200));
    CHECK_FALSE(fleet.blocked("f"));
    for (auto &gateway : fleet.gateways) {
        CHECK(admit(gateway, "f", at(2300)));
    }
}

// Guards against a table or a report that grows without bound while a client sends many different such requests.
TEST_CASE("many different requests that crash servers stay within the bounds, and the oldest block makes room")
{
    Fleet fleet(2);
    std::uint32_t id = 0;
    std::string last;
    Time now = at(0);
    for (int request = 0; request < 1100; ++request) {
        last = fingerprintOf({"GET", "h", "/" + std::to_string(request), "c", ""});
        for (int i = 0; i < 3; ++i) {
            now += milliseconds(100);
            fleet.gateways[id % 2].recordCrash(last, {"route", "c", "GET", std::string(128, 'p')}, crash(id, now), now);
            ++id;
        }
        now += evidenceDelay;
        fleet.sync(now);
        fleet.sync(now);
        CHECK(fleet.objects.blockedRequests.size() <= 1000);
    }
    CHECK(fleet.blocked(last));
    CHECK_FALSE(fleet.blocked(fingerprintOf({"GET", "h", "/0", "c", ""})));
    CHECK(fleet.largestReport < 8192);
}

// Guards against reports that load the links of all hosts for as long as the evidence of an incident is kept.
TEST_CASE("reports of many crashes stay small, and those of older ones smaller")
{
    Fleet fleet(1);
    for (std::uint32_t i = 0; i < 300; ++i) {
        const RequestDescription description{"route", "customer", "GET", std::string(128, 'p')};
        const std::string fingerprint = fingerprintOf({"GET", "h", "/" + std::to_string(i), "c", ""});
        fleet.gateways[0].recordCrash(fingerprint, description, crash(i, at(100)), at(100));
    }
    fleet.sync(at(200));
    CHECK(fleet.largestReport < 4096);
    fleet.largestReport = 0;
    fleet.sync(at(60000));
    CHECK(fleet.largestReport < 800); // at 2.5 calls a second, half of the 4 KB/s that control may use
}

// Guards against blocking requests for the same object as the one that crashes servers: they run on the same servers
// and follow it from server to server.
TEST_CASE("requests that were running in the crashes of another one stay served")
{
    Fleet fleet(3);
    std::uint32_t id = 0;
    for (int round = 0; round < 4; ++round) {
        const auto server = static_cast<std::uint32_t>(round);
        const Time ended = at(round * 100 + 100);
        // The host that sent the deadly request is the last one that reports.
        if (round < 3) {
            for (const char *innocent : {"a", "b", "c"}) {
                fleet.gateways[0].recordCrash(innocent, {}, {server, ended - milliseconds(60), ended, ended, {++id}},
                                              ended);
            }
            fleet.sync(ended);
        }
        fleet.gateways[round > 0 ? 1 : 2].recordCrash("deadly", {},
                                                      {server, ended - milliseconds(20), ended, ended, {++id}}, ended);
    }
    for (int ms = 500; ms < 3000; ms += 25) {
        fleet.sync(at(ms));
    }
    CHECK(fleet.blocked("deadly"));
    for (const char *innocent : {"a", "b", "c"}) {
        CHECK_FALSE(fleet.blocked(innocent));
        CHECK(admit(fleet.gateways[0], innocent, at(3000)));
    }
}

TEST_CASE("of two requests that were running in the same crashes, none is blocked before further crashes")
{
    CrashEvidence evidence(4);
    for (std::uint32_t i = 0; i < 5; ++i) {
        const Time ended = at(static_cast<int>(i) * 2000);
        evidence.recordCrash("a", {}, {i, ended - milliseconds(60), ended, ended, {10 + i}}, ended);
        evidence.recordCrash("b", {}, {i, ended - milliseconds(60), ended, ended, {20 + i}}, ended);
        CHECK(evidence.culprits({}, ended + evidenceDelay).size() == (i == 4 ? 2 : 0));
    }
    // A crash with only one of them decides earlier.
    CrashEvidence decided(4);
    for (std::uint32_t i = 0; i < 4; ++i) {
        const Time ended = at(static_cast<int>(i) * 2000);
        decided.recordCrash("b", {}, {i, ended - milliseconds(60), ended, ended, {20 + i}}, ended);
        if (i < 3) {
            decided.recordCrash("a", {}, {i, ended - milliseconds(60), ended, ended, {10 + i}}, ended);
        }
    }
    CHECK(decided.culprits({}, at(9000)) == std::vector<std::string>{"b"});
}

// Guards against a request that is blocked because the report of the one that it followed is some ms later.
TEST_CASE("a crash that is not settled yet counts when two requests are compared")
{
    CrashEvidence evidence(4);
    for (std::uint32_t i = 0; i < 3; ++i) {
        const Time ended = at(static_cast<int>(i) * 100);
        const Time later = ended + milliseconds(3);
        evidence.recordCrash("a", {}, {i, ended - milliseconds(60), ended, ended, {10 + i}}, ended);
        evidence.recordCrash("deadly", {}, {i, later - milliseconds(20), later, later, {20 + i}}, later);
    }
    const RequestCrash next{7, at(230), at(240), at(240), {30}};
    evidence.recordCrash("deadly", {}, next, at(240));
    CHECK(evidence.culprits({}, at(901)).empty());
    CHECK(evidence.culprits({}, at(950)) == std::vector<std::string>{"deadly"});
}

// Guards against blocking an innocent request in place of two that crash servers in turn.
TEST_CASE("a request that was running in the crashes of two others does not hide them")
{
    CrashEvidence evidence(4);
    for (std::uint32_t i = 0; i < 4; ++i) {
        const Time ended = at(static_cast<int>(i) * 2000);
        const std::string deadly = i % 2 == 0 ? "d1" : "d2";
        evidence.recordCrash(deadly, {}, {i, ended - milliseconds(60), ended, ended, {10 + i}}, ended);
        evidence.recordCrash("i", {}, {i, ended - milliseconds(60), ended, ended, {20 + i}}, ended);
    }
    CHECK(evidence.culprits({}, at(9000)).empty());
    for (std::uint32_t i = 4; i < 6; ++i) {
        const Time ended = at(static_cast<int>(i) * 2000);
        const std::string deadly = i % 2 == 0 ? "d1" : "d2";
        evidence.recordCrash(deadly, {}, {i, ended - milliseconds(60), ended, ended, {10 + i}}, ended);
        evidence.recordCrash("i", {}, {i, ended - milliseconds(60), ended, ended, {20 + i}}, ended);
    }
    const auto culprits = evidence.culprits({}, at(13000));
    CHECK(std::find(culprits.begin(), culprits.end(), "d1") != culprits.end());
    CHECK(std::find(culprits.begin(), culprits.end(), "d2") != culprits.end());
}

// Guards against counting one moment as several crashes, because hosts report it with different delays.
TEST_CASE("crashes of several servers at one moment count once, also with reports that are late")
{
    CrashEvidence evidence(4);
    std::uint32_t id = 0;
    for (std::uint32_t server = 0; server < 3; ++server) {
        evidence.recordCrash("f", {}, {server, at(70), at(100), at(100), {++id}}, at(120));
        evidence.recordCrash("f", {}, {server, at(130), at(150), at(150), {++id}}, at(170)); // 50 ms late
    }
    CHECK(count(evidence, "f") == 1);
    // A report that was over half a second on its way, and its repetition.
    CrashEvidence repeated(4);
    repeated.recordCrash("f", {}, {1, at(0), at(100), at(100), {1}}, at(110));
    repeated.recordCrash("f", {}, {1, at(650), at(750), at(750), {2}}, at(760));
    repeated.recordCrash("f", {}, {1, at(20), at(100), at(100), {2}}, at(900));
    CHECK(count(repeated, "f") == 1);
}

// Guards against two requests that crash servers, of which only one is found.
TEST_CASE("two requests that crash different servers are both blocked")
{
    CrashEvidence evidence(4);
    for (std::uint32_t i = 0; i < 3; ++i) {
        const Time ended = at(static_cast<int>(i) * 2000);
        evidence.recordCrash("a", {}, {i, ended - milliseconds(60), ended, ended, {10 + i}}, ended);
        evidence.recordCrash("b", {}, {100 + i, ended - milliseconds(60), ended, ended, {20 + i}}, ended);
    }
    CHECK(evidence.culprits({}, at(9000)) == std::vector<std::string>{"a", "b"});
}
