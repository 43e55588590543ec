// State machine: row versions, resent edits, claims, shift caps, deltas and images.
#include <catch2/catch.hpp>
#include <google/protobuf/text_format.h>
#include <rapidcheck.h>

#include "decide/view.h"
#include "ledger/table.h"
#include "ledger/validation.h"

using namespace banyanledge;

namespace
{

constexpr std::int64_t hour = 60LL * 60 * 1000; // in ms

// Applies commands at consecutive log indexes, each with a unique change id unless one is given.
class TestLog
{
public:
    Table table;
    std::int64_t now = 1000; // command time in ms

    proto::CommandResult operator()(proto::Command command, const std::string &changeId = "")
    {
        const auto revision = table.revision() + 1;
        command.set_change_id(changeId.empty() ? "change" + std::to_string(revision) : changeId);
        command.set_actor("operator");
        command.set_time_ms(now);
        return table.apply(revision, command);
    }
};

// Parses a command in protobuf text format.
proto::Command parse(const std::string &text)
{
    proto::Command command;
    REQUIRE(google::protobuf::TextFormat::ParseFromString(text, &command));
    return command;
}

proto::Command create(const std::string &name)
{
    return parse("create_customer { name: '" + name + "' }");
}

proto::Command putRow(const std::string &service, const std::string &region, const std::string &customer,
                      std::uint64_t expected, std::optional<std::uint32_t> weight = std::nullopt)
{
    return parse("put_row { expected_version: " + std::to_string(expected) + " row { service: '" + service
                 + "' region: '" + region + "' customer: '" + customer + "' "
                 + (weight ? "weight: " + std::to_string(*weight) : "") + " } }");
}

proto::Command deleteRow(const std::string &service, std::uint64_t expected)
{
    return parse("delete_row { service: '" + service
                 + "' region: '*' customer: '*' expected_version: " + std::to_string(expected) + " }");
}

proto::Command issueKey(const std::string &id, const std::string &customer)
{
    return parse("issue_key { id: '" + id + "' customer: '" + customer + "' digest: '" + id
                 + std::string(32 - id.size(), 'd') + "' }");
}

proto::Command putServer(const std::string &id, std::uint32_t slots = 4)
{
    return parse("put_server { server { id: '" + id
                 + "' service: 'video' region: 'north' address: '10.0.0.1:80' slots: " + std::to_string(slots)
                 + " } }");
}

proto::Command removeServer(const std::string &id)
{
    return parse("remove_server { id: '" + id + "' }");
}

proto::Command putMember(const std::string &id, std::uint64_t incarnation, const std::string &state)
{
    return parse("put_member { member { id: '" + id + "' region: 'north' incarnation: " + std::to_string(incarnation)
                 + " state: " + state + " } }");
}

proto::Command drain(const std::string &id, bool drained)
{
    return parse("drain_server { id: '" + id + "' drained: " + (drained ? "true" : "false") + " }");
}

proto::Command startShift(const std::string &id, double cap, double step = 0)
{
    return parse("start_shift { shift { id: '" + id + "' service: '*' from_region: 'north' to_region: 'south' cap: "
                 + std::to_string(cap) + " step: " + std::to_string(step) + " } }");
}

proto::Command advance(const std::string &id, double from, double step, const std::string &state = "SHIFT_RUNNING")
{
    return parse("advance_shift { id: '" + id + "' from_step: " + std::to_string(from)
                 + " step: " + std::to_string(step) + " state: " + state + " }");
}

proto::Command claimCommand(const std::string &kind, const std::string &request, const std::string &host,
                            std::uint64_t incarnation, const std::string &extraFields = "")
{
    return parse(kind + " { customer: 'coffi' request_id: '" + request + "' host: '" + host
                 + "' incarnation: " + std::to_string(incarnation) + extraFields + " }");
}

proto::Command claim(const std::string &request, const std::string &host, std::uint64_t incarnation = 1)
{
    return claimCommand("claim", request, host, incarnation);
}

proto::Command complete(const std::string &request, const std::string &host, std::uint64_t incarnation = 1)
{
    return claimCommand("complete_claim", request, host, incarnation, " status: 201");
}

proto::Command release(const std::string &request, const std::string &host, std::uint64_t incarnation = 1)
{
    return claimCommand("release_claim", request, host, incarnation);
}

// Returns a random number from 0 to `limit` - 1. Without the nominal size, RapidCheck would generate mostly small ones.
int randomBelow(int limit)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

// Returns a random command that uses few names, so that commands often affect the same objects.
proto::Command randomCommand()
{
    const std::string name = "n" + std::to_string(randomBelow(4));
    const auto version = static_cast<std::uint64_t>(randomBelow(4));
    const double step = randomBelow(5) / 4.0;
    const std::vector<proto::Command> commands{
        create(name),
        parse("cancel_customer { name: '" + name + "' }"),
        issueKey(name, "n1"),
        parse("withdraw_key { id: '" + name + "' }"),
        putRow(name, "*", "*", version, 7),
        deleteRow(name, version),
        putServer(name, 3),
        removeServer(name),
        drain(name, version > 1),
        startShift(name, 0.5, step / 4),
        advance(name, step, 0.25),
        putMember(name, version, randomBelow(2) == 0 ? "MEMBER_GONE" : "MEMBER_LIVE"),
        parse("remove_member { id: '" + name + "' incarnation: " + std::to_string(version) + " }"),
        claim(name, "e1", version),
        complete(name, "e1", version),
        release(name, "e1", version)};
    return commands[static_cast<std::size_t>(randomBelow(static_cast<int>(commands.size())))];
}

template<typename Object>
bool equalMaps(const std::map<std::string, Object> &a, const std::map<std::string, Object> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) {
        return x.first == y.first && x.second.SerializeAsString() == y.second.SerializeAsString();
    });
}

} // namespace

// Guards against an edit that overwrites a concurrent one.
TEST_CASE("only the first of two edits with the same expected version succeeds")
{
    TestLog log;
    CHECK(log(putRow("video", "*", "*", 0, 10)).version() == 1);
    CHECK(log(putRow("video", "*", "*", 1, 20)).version() == 2);
    const auto late = log(putRow("video", "*", "*", 1, 30));
    CHECK(late.kind() == proto::ERROR_CONFLICT);
    CHECK(late.version() == 2);
    CHECK(late.message().find("read the row again") != std::string::npos);
    CHECK(log.table.rows().at("video/*/*").weight() == 20);
}

// Guards against a stale edit that succeeds because the versions of a recreated row start from 1 again.
TEST_CASE("versions of a removed row continue when it is created again")
{
    TestLog log;
    (void)log(putRow("video", "*", "*", 0, 10));
    (void)log(deleteRow("video", 1));
    CHECK(log(putRow("video", "*", "*", 1, 20)).kind() == proto::ERROR_CONFLICT);
    CHECK(log(putRow("video", "*", "*", 0, 30)).version() == 2);
    CHECK(log(putRow("video", "*", "*", 1, 40)).kind() == proto::ERROR_CONFLICT);
    CHECK(log.table.rows().at("video/*/*").weight() == 30);
}

// Guards against a stale edit of a recreated row whose removal is so old that its tombstone was dropped, and against a
// delta that omits such a removal.
TEST_CASE("versions continue after tombstones were dropped, and old copies receive the whole table")
{
    TestLog log;
    for (int i = 0; i < 3; ++i) {
        (void)log(putRow("video", "*", "*", static_cast<std::uint64_t>(i), 10));
    }
    const auto old = log.table.revision();
    (void)log(deleteRow("video", 3));
    for (std::size_t i = 0; i < maxTombstones; ++i) {
        const auto name = "s" + std::to_string(i);
        (void)log(putRow(name, "*", "*", 0, 1));
        (void)log(deleteRow(name, 1));
    }
    bool snapshot = false;
    (void)log.table.contentSince(old, &snapshot);
    CHECK(snapshot);
    Table restored;
    restored.restore(log.table.image());
    log.table = restored;
    CHECK(log(putRow("video", "*", "*", 0, 30)).version() > 3);
}

// Guards against an edit that is applied twice because its first response was lost.
TEST_CASE("a resent edit returns the first result for 24 hours")
{
    TestLog log;
    const auto first = log(create("coffi"), "id");
    CHECK(first.kind() == proto::ERROR_NONE);
    log.now += 23 * hour;
    const auto again = log(create("coffi"), "id");
    CHECK(again.kind() == proto::ERROR_NONE);
    CHECK(again.repeated());
    CHECK(again.revision() == first.revision());
    CHECK(log.table.audit(0, 10).size() == 1);
    log.now += 2 * hour;
    CHECK(log(create("coffi"), "id").kind() == proto::ERROR_EXISTS);
}

// Guards against results that expire early because a new leader's clock is behind.
TEST_CASE("command time never decreases")
{
    TestLog log;
    log.now = 100 * hour;
    (void)log(create("coffi"), "id");
    log.now = 1 * hour;
    (void)log(create("other"), "id2");
    log.table.restore(Table(log.table).image());
    log.now = 101 * hour;
    CHECK(log(create("coffi"), "id").repeated());
    CHECK(log(create("other"), "id2").repeated());
}

// Guards against accepting values that would break routing or limits.
TEST_CASE("invalid edits are rejected with an error message")
{
    TestLog log;
    (void)log(create("coffi"));
    const auto checkRejected = [&log](const proto::Command &command, proto::ErrorKind kind) {
        const auto result = log(command);
        INFO(command.ShortDebugString() << " -> " << result.ShortDebugString());
        CHECK(result.kind() == kind);
        CHECK(!result.message().empty());
    };
    for (const std::string name : {"", "a b", "a/b", "*", "\xc3\xa4"}) {
        checkRejected(create(name), proto::ERROR_INVALID);
    }
    checkRejected(create(std::string(129, 'a')), proto::ERROR_INVALID);
    CHECK(log(create(std::string(128, 'a'))).kind() == proto::ERROR_NONE);
    checkRejected(create("coffi"), proto::ERROR_EXISTS);
    checkRejected(putRow("video", "*", "*", 0, 1001), proto::ERROR_INVALID);
    checkRejected(putRow("*", "north", "*", 0, 10), proto::ERROR_INVALID);
    checkRejected(putRow("video", "*", "nobody", 0, 10), proto::ERROR_NOT_FOUND);
    checkRejected(deleteRow("video", 0), proto::ERROR_NOT_FOUND);
    checkRejected(issueKey("k1", "nobody"), proto::ERROR_NOT_FOUND);
    checkRejected(removeServer("s1"), proto::ERROR_NOT_FOUND);
    checkRejected(startShift("s", 1.5), proto::ERROR_INVALID);
    checkRejected(startShift("s", -0.1), proto::ERROR_INVALID);
    checkRejected(startShift("s", 0.5, 0.6), proto::ERROR_INVALID);
    checkRejected(startShift("s", std::nan("")), proto::ERROR_INVALID);
    checkRejected(proto::Command(), proto::ERROR_INVALID);
    checkRejected(parse("start_shift { shift { id: 's' service: '*' from_region: 'n' to_region: 'n' } }"),
                  proto::ERROR_INVALID);
    const std::string customerRow = "put_row { row { service: '*' region: '*' customer: 'coffi' rate: ";
    checkRejected(parse("put_row { row { service: 'video' region: '*' customer: '*' rate: 5 } }"),
                  proto::ERROR_INVALID);
    checkRejected(parse(customerRow + "-5 } }"), proto::ERROR_INVALID);
    CHECK(log(parse(customerRow + "5 } }")).kind() == proto::ERROR_NONE);
    checkRejected(parse("put_server { server { id: 's1' service: 'video' region: 'north' address: 'host:80' } }"),
                  proto::ERROR_INVALID);
}

// Guards against a cancelled customer that loses its settings, or whose withdrawn keys become valid when it returns.
TEST_CASE("a customer that returns finds its rows, and withdrawn keys stay withdrawn")
{
    TestLog log;
    (void)log(create("coffi"));
    (void)log(issueKey("k1", "coffi"));
    (void)log(issueKey("k2", "coffi"));
    (void)log(putRow("video", "*", "coffi", 0, 10));
    (void)log(parse("withdraw_key { id: 'k1' }"));
    (void)log(parse("cancel_customer { name: 'coffi' }"));
    CHECK_FALSE(log.table.customers().at("coffi").active());
    CHECK(log(issueKey("k3", "coffi")).kind() == proto::ERROR_INVALID);
    (void)log(parse("return_customer { name: 'coffi' }"));
    CHECK(log.table.customers().at("coffi").active());
    CHECK(log.table.rows().contains("video/*/coffi"));
    CHECK(log.table.keys().at("k1").withdrawn());
    CHECK_FALSE(log.table.keys().at("k2").withdrawn());
    CHECK(log(issueKey("k1", "coffi")).kind() == proto::ERROR_EXISTS);
}

// Guards against an update from the platform's list that puts a drained server back into service.
TEST_CASE("an update from the platform's list keeps an operator's drain")
{
    TestLog log;
    (void)log(putServer("s1"));
    (void)log(drain("s1", true));
    (void)log(putServer("s1", 6));
    CHECK(log.table.servers().at("s1").drained());
    CHECK(log.table.servers().at("s1").slots() == 6);
    const auto before = log.table.contentRevision();
    (void)log(putServer("s1", 6));
    CHECK(log.table.contentRevision() == before);
}

// Guards against a shift above its cap, and against two leaders that both advance the same step.
TEST_CASE("a shift stays within its cap and advances from the recorded step only")
{
    TestLog log;
    (void)log(startShift("s", 0.5));
    CHECK(log(advance("s", 0, 0.25)).kind() == proto::ERROR_NONE);
    CHECK(log(advance("s", 0, 0.4)).kind() == proto::ERROR_CONFLICT);
    CHECK(log(advance("s", 0.25, 0.75)).kind() == proto::ERROR_INVALID);
    CHECK(log(advance("s", 0.25, 0.5, "SHIFT_CANCELLED")).kind() == proto::ERROR_NONE);
    CHECK(log(advance("s", 0.5, 0.25)).kind() == proto::ERROR_CONFLICT);
    CHECK(log.table.shifts().at("s").step() == 0.5);
}

// Guards against a request that runs twice: on two hosts, on one host, or after a restart of the host.
TEST_CASE("a claim belongs to one command of one incarnation of one host")
{
    TestLog log;
    const auto first = log(claim("r", "e1"), "claim1");
    CHECK(first.kind() == proto::ERROR_NONE);
    CHECK(log(claim("r", "e1"), "claim1").kind() == proto::ERROR_NONE);
    CHECK(log(claim("r", "e1"), "claim2").kind() == proto::ERROR_EXISTS);
    CHECK(log(claim("r", "e2")).kind() == proto::ERROR_EXISTS);
    CHECK(log(complete("r", "e2")).kind() == proto::ERROR_CONFLICT);
    CHECK(log(release("r", "e1", 2)).kind() == proto::ERROR_CONFLICT);
    CHECK(log(complete("r", "e1")).kind() == proto::ERROR_NONE);
    CHECK(log(release("r", "e1")).kind() == proto::ERROR_CONFLICT);
    const auto resent = log(claim("r", "e1"), "claim1");
    CHECK(resent.kind() == proto::ERROR_EXISTS);
    CHECK(resent.claim().status() == 201);
    CHECK(log.table.claim("coffi", "r")->state() == proto::CLAIM_COMPLETED);
    log.now += 25 * hour;
    CHECK(log(claim("r", "e3")).kind() == proto::ERROR_NONE);
}

// Guards against a request that can never run after its claim was released.
TEST_CASE("a released claim can be taken again")
{
    TestLog log;
    (void)log(claim("r", "e1"));
    CHECK(log(release("r", "e1")).kind() == proto::ERROR_NONE);
    CHECK(log(release("r", "e1")).kind() == proto::ERROR_NONE);
    CHECK(log.table.claim("coffi", "r") == nullptr);
    CHECK(log(claim("r", "e2")).kind() == proto::ERROR_NONE);
    CHECK(log(complete("q", "e2")).kind() == proto::ERROR_NOT_FOUND);
}

// Guards against an audit log that differs from what was applied.
TEST_CASE("each edit leaves an audit record, also a rejected one")
{
    TestLog log;
    (void)log(putRow("video", "*", "*", 0, 10));
    (void)log(putRow("video", "*", "*", 0, 20));
    (void)log(claim("r", "e1"));
    const auto audit = log.table.audit(0, 10);
    REQUIRE(audit.size() == 2);
    CHECK(audit[0].actor() == "operator");
    CHECK(audit[0].action() == "put_row");
    CHECK(audit[0].before().empty());
    CHECK(audit[0].after().find("\"weight\":10") != std::string::npos);
    CHECK(audit[1].outcome().kind() == proto::ERROR_CONFLICT);
    CHECK(audit[1].before() == audit[1].after());
    CHECK(log.table.audit(1, 10).size() == 1);
    CHECK(log.table.audit(0, 1).size() == 1);
}

// Guards against deltas that omit a change or a removal, and against images that lose state.
TEST_CASE("deltas rebuild the table and images restore it")
{
    const bool passed = rc::check("deltas and images", [] {
        TestLog log;
        TestLog copy; // restored from an image during the run, then given the same commands
        auto view = std::make_shared<const View>();
        const auto length = 1 + randomBelow(120);
        const auto restoreAt = randomBelow(120);
        for (int i = 0; i < length; ++i) {
            log.now += *rc::gen::weightedElement<std::int64_t>({{20, 1}, {20, hour}, {1, 25 * hour}});
            copy.now = log.now;
            if (i == restoreAt) {
                copy.table.restore(log.table.image());
            }
            const auto command = randomCommand();
            const auto changeId = "id" + std::to_string(randomBelow(60)); // some ids repeat, as for resent commands
            const auto result = log(command, changeId);
            RC_ASSERT(result.SerializeAsString() == copy(command, changeId).SerializeAsString());
            if (randomBelow(4) == 0) {
                bool snapshot = false;
                const auto content = log.table.contentSince(view->revision(), &snapshot);
                view = View::next(*view, content, snapshot);
            }
        }
        bool snapshot = false;
        const auto content = log.table.contentSince(view->revision(), &snapshot);
        view = View::next(*view, content, snapshot);
        RC_ASSERT(log.table.image().SerializeAsString() == copy.table.image().SerializeAsString());
        RC_ASSERT(equalMaps(view->customers(), log.table.customers()));
        RC_ASSERT(equalMaps(view->rows(), log.table.rows()));
        RC_ASSERT(equalMaps(view->servers(), log.table.servers()));
        RC_ASSERT(equalMaps(view->shifts(), log.table.shifts()));
        RC_ASSERT(equalMaps(view->members(), log.table.members()));
    });
    REQUIRE(passed);
}

// Guards against a decision about the previous incarnation of a host that removes the host after it has returned.
TEST_CASE("a member is removed only in the incarnation that is gone")
{
    TestLog log;
    const auto remove = parse("remove_member { id: 'e1' incarnation: 1 }");
    CHECK(log(remove).kind() == proto::ERROR_NOT_FOUND);
    log(putMember("e1", 1, "MEMBER_LIVE"));
    CHECK(log(remove).kind() == proto::ERROR_CONFLICT);
    log(putMember("e1", 1, "MEMBER_GONE"));
    log(putMember("e1", 2, "MEMBER_LIVE"));
    CHECK(log(remove).kind() == proto::ERROR_CONFLICT);
    log(putMember("e1", 1, "MEMBER_GONE"));
    CHECK(log(remove).kind() == proto::ERROR_NONE);
    CHECK(log.table.members().empty());
}

// Guards against replacing the declaration by an older one, or by another one with the same version.
TEST_CASE("the highest version of a declaration applies and survives an image")
{
    TestLog log;
    const auto put = [&](std::uint64_t version, const std::string &host) {
        return log(parse("put_declaration { declaration { version: " + std::to_string(version) + " original: '" + host
                         + "' services { name: 's' } routes { name: 'r' host: '" + host
                         + "' path_prefix: '/' max_attempts: 1 split { service: 's' weight: 1 } } } }"));
    };
    CHECK(put(5, "a").kind() == proto::ERROR_NONE);
    const auto older = put(4, "b");
    CHECK(older.kind() == proto::ERROR_NONE);
    CHECK(older.version() == 5);
    CHECK(put(5, "c").repeated());
    CHECK(log.table.declaration().routes(0).host() == "a");
    CHECK(put(0, "d").kind() == proto::ERROR_INVALID);
    CHECK(put(9, "e").kind() == proto::ERROR_NONE);
    log(parse("set_evacuation { availability_zone: 'z' active: true }"));
    Table restored;
    restored.restore(log.table.image());
    CHECK(restored.declaration().version() == 9);
    CHECK(restored.declaration().original() == "e");
    CHECK(restored.evacuations().at("z").active());
    CHECK(restored.image().SerializeAsString() == log.table.image().SerializeAsString());
    bool snapshot = false;
    const auto delta = log.table.contentSince(log.table.revision() - 2, &snapshot);
    CHECK_FALSE(snapshot);
    CHECK(delta.has_declaration());
    CHECK(delta.evacuations_size() == 1);
    const auto view = View::next(View(), log.table.contentSince(0, &snapshot), true);
    CHECK(view->declaration().version() == 9);
    CHECK(view->evacuations().at("z").active());
}

// Guards against a block that is lost with a control host or by a host that missed its change.
TEST_CASE("blocked requests are stored, replicated, unblocked and limited in number")
{
    TestLog log;
    const auto block = [&](const std::string &id, int trials = 0, Revision expected = 0) {
        return log(parse("block_request { request { id: '" + id + "' route: 'r' path: '/p' crashes: 3 trials: "
                         + std::to_string(trials) + " } expected_revision: " + std::to_string(expected) + " }"));
    };
    const auto revisionOf = [&](const std::string &id) { return log.table.blockedRequests().at(id).revision(); };
    CHECK(block("a").kind() == proto::ERROR_NONE);
    CHECK(block("").kind() == proto::ERROR_INVALID);
    bool snapshot = false;
    const auto first = View::next(View(), log.table.contentSince(0, &snapshot), true);
    CHECK(first->blockedRequests().at("a").crashes() == 3);
    CHECK(block("a", 1).kind() == proto::ERROR_NONE); // blocked already: unchanged
    CHECK(log.table.blockedRequests().at("a").trials() == 0);
    CHECK(block("a", 1, revisionOf("a")).kind() == proto::ERROR_NONE);
    const auto second = View::next(*first, log.table.contentSince(first->revision(), &snapshot), snapshot);
    CHECK(second->blockedRequests().at("a").trials() == 1);
    Table restored;
    restored.restore(log.table.image());
    CHECK(restored.blockedRequests().size() == 1);
    CHECK(restored.image().SerializeAsString() == log.table.image().SerializeAsString());
    CHECK(log(parse("unblock_request { id: 'a' }")).kind() == proto::ERROR_NONE);
    CHECK(log(parse("unblock_request { id: 'a' }")).kind() == proto::ERROR_NOT_FOUND);
    // A trial that was decided before the request was unblocked.
    CHECK(block("a", 2, second->blockedRequests().at("a").revision()).kind() == proto::ERROR_CONFLICT);
    const auto third = View::next(*second, log.table.contentSince(second->revision(), &snapshot), snapshot);
    CHECK(third->blockedRequests().empty());
    CHECK(block("a").kind() == proto::ERROR_NONE);
    const auto fourth = View::next(*third, log.table.contentSince(third->revision(), &snapshot), snapshot);
    CHECK(fourth->blockedRequests().size() == 1);
    for (std::size_t i = 1; i < maxBlockedRequests; ++i) {
        CHECK(block("b" + std::to_string(i)).kind() == proto::ERROR_NONE);
    }
    CHECK(block("one-too-many").kind() == proto::ERROR_INVALID);
    CHECK(block("a", 2, revisionOf("a")).kind() == proto::ERROR_NONE);
    CHECK(log.table.blockedRequests().size() == maxBlockedRequests);
}
