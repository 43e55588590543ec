// Tests of the operators' API and of Sync on one real control host in a temporary folder.
#include <catch2/catch.hpp>

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>
#include <grpcpp/grpcpp.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "apps/client.h"
#include "apps/declaration.h"
#include "banyanledge.grpc.pb.h"
#include "base/digest.h"
#include "base/packing.h"
#include "control/api.h"
#include "control/host.h"
#include "control/operatorserver.h"

using namespace banyanledge;

namespace
{

// A control host with its gRPC server on a free port.
class ControlHostFixture
{
public:
    ControlHostFixture();
    ~ControlHostFixture();

    ApiResponse call(const std::string &method, const std::string &path, const std::string &body = "",
                     const std::string &changeId = "", const std::string &token = "secret");
    proto::SyncReply sync(const proto::SyncRequest &request);
    Api &api();

private:
    std::string m_folder;
    std::string m_address;
    std::unique_ptr<ControlHost> m_host;
    std::unique_ptr<grpc::Server> m_server;
    std::unique_ptr<LeaderClient> m_leader;
    std::unique_ptr<Api> m_api;
    std::unique_ptr<proto::Control::Stub> m_stub;
};

// Returns a port that is currently free.
int freePort()
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    static proto::Control::Service service;
    builder.RegisterService(&service);
    builder.BuildAndStart()->Shutdown();
    return port;
}

ControlHostFixture::ControlHostFixture()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "banyanledge-control-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    std::ofstream(m_folder + "/operators") << "# name and digest\nalice " << toHex(sha256("secret")) << "\n";
    m_address = "127.0.0.1:" + std::to_string(freePort());
    proto::Settings settings;
    settings.mutable_host()->set_id("c1");
    settings.mutable_host()->set_rpc_listen(m_address);
    auto &control = *settings.mutable_control();
    control.set_data_folder(m_folder + "/data");
    control.set_operators_file(m_folder + "/operators");
    control.add_initial_members("c1=" + m_address);
    control.set_heartbeat_ms(20);
    control.set_election_timeout_ms(60);
    control.set_snapshot_entries(1000);
    m_host = ControlHost::create(settings);
    REQUIRE(m_host);
    grpc::ServerBuilder builder;
    builder.AddListeningPort(m_address, grpc::InsecureServerCredentials());
    for (grpc::Service *service : m_host->services()) {
        builder.RegisterService(service);
    }
    m_server = builder.BuildAndStart();
    REQUIRE(m_server);
    m_leader = std::make_unique<LeaderClient>([this] { return m_address; });
    Api::Options options;
    options.operatorsFile = m_folder + "/operators";
    options.ownStatus = [] { return proto::ControlStatus(); };
    options.timeout = milliseconds(10000); // the host may still elect itself
    m_api = std::make_unique<Api>(options, *m_leader);
    m_stub = proto::Control::NewStub(grpc::CreateChannel(m_address, grpc::InsecureChannelCredentials()));
}

ControlHostFixture::~ControlHostFixture()
{
    m_host->stop(Clock::now());
    m_server->Shutdown();
    m_server->Wait();
    m_host.reset();
    std::filesystem::remove_all(m_folder);
}

ApiResponse ControlHostFixture::call(const std::string &method, const std::string &path, const std::string &body,
                                     const std::string &changeId, const std::string &token)
{
    ApiRequest request;
    request.method = method;
    request.path = path;
    request.authorization = "Bearer " + token;
    request.changeId = changeId;
    request.body = body;
    return m_api->handle(request);
}

proto::SyncReply ControlHostFixture::sync(const proto::SyncRequest &request)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(10));
    proto::SyncReply reply;
    REQUIRE(m_stub->Sync(&context, request, &reply).ok());
    REQUIRE(unpackCommon(reply));
    return reply;
}

Api &ControlHostFixture::api()
{
    return *m_api;
}

google::protobuf::Struct parsed(const ApiResponse &response)
{
    google::protobuf::Struct object;
    REQUIRE(google::protobuf::util::JsonStringToMessage(response.body, &object).ok());
    return object;
}

std::string text(const ApiResponse &response, const std::string &name)
{
    const auto object = parsed(response);
    const auto found = object.fields().find(name);
    return found == object.fields().end() ? "" : found->second.string_value();
}

std::string header(const ApiResponse &response, const std::string &name)
{
    for (const auto &[key, value] : response.headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

} // namespace

TEST_CASE("errors of the operators' API hold kind, message and remedy")
{
    ControlHostFixture fixture;
    const auto check = [](const ApiResponse &response, unsigned status, const std::string &kind) {
        CHECK(response.status == status);
        CHECK(text(response, "kind") == kind);
        CHECK_FALSE(text(response, "message").empty());
        CHECK_FALSE(text(response, "remedy").empty());
    };
    check(fixture.call("GET", "/v1/customers", "", "", "wrong"), 401, "unauthorized");
    check(fixture.call("GET", "/v1/nothing"), 404, "not_found");
    check(fixture.call("GET", "/"), 404, "not_found");
    check(fixture.call("PATCH", "/v1/customers"), 405, "invalid");
    CHECK(header(fixture.call("PATCH", "/v1/customers"), "Allow") == "GET, POST");
    check(fixture.call("POST", "/v1/customers", "{"), 400, "invalid");
    check(fixture.call("POST", "/v1/customers", R"({"nam":"a"})"), 400, "invalid");
    check(fixture.call("POST", "/v1/customers", std::string(maxApiBodyBytes + 1, ' ')), 413, "invalid");
    check(fixture.call("POST", "/v1/customers", "{}", "id with spaces"), 400, "invalid");
    check(fixture.call("POST", "/v1/customers/none/cancel"), 404, "not_found");
    check(fixture.call("POST", "/v1/shifts/none/cancel"), 404, "not_found");
}

// Guards against an edit that is applied twice when it is resent, or that overwrites a newer version.
TEST_CASE("a resent edit returns the first result and an old version conflicts")
{
    ControlHostFixture fixture;
    const std::string row =
        R"({"row":{"service":"lessons","region":"*","customer":"*","weight":5},"expectedVersion":0})";
    const auto first = fixture.call("PUT", "/v1/rows", row, "edit-1");
    REQUIRE(first.status == 200);
    CHECK(header(first, "Banyanledge-Change-Id") == "edit-1");
    const auto again = fixture.call("PUT", "/v1/rows", row, "edit-1");
    CHECK(again.status == 200);
    CHECK(parsed(again).fields().at("repeated").bool_value());
    const auto late = fixture.call("PUT", "/v1/rows", row, "edit-2");
    CHECK(late.status == 409);
    CHECK(text(late, "kind") == "conflict");
    CHECK(parsed(late).fields().at("version").number_value() == 1);
}

// Guards against a resent request that shows a key that is not in force, and against lists that reveal digests.
TEST_CASE("a key is shown once and lists hold no digest")
{
    ControlHostFixture fixture;
    REQUIRE(fixture.call("POST", "/v1/customers", R"({"name":"school"})").status == 200);
    const auto issued = fixture.call("POST", "/v1/keys", R"({"customer":"school"})", "issue-1");
    REQUIRE(issued.status == 200);
    CHECK(text(issued, "key").size() == 64);
    const auto resent = fixture.call("POST", "/v1/keys", R"({"customer":"school"})", "issue-1");
    CHECK(resent.status == 409);
    CHECK(text(resent, "key").empty());
    const auto list = fixture.call("GET", "/v1/keys");
    CHECK(list.status == 200);
    CHECK_THAT(list.body, Catch::Matchers::Contains(text(issued, "id")));
    CHECK_THAT(list.body, Catch::Matchers::Contains("\"digest\":\"\""));
    CHECK(fixture.call("DELETE", "/v1/keys/" + text(issued, "id")).status == 200);
}

TEST_CASE("a shift starts with nothing moved and can be cancelled")
{
    ControlHostFixture fixture;
    const auto started = fixture.call(
        "POST", "/v1/shifts",
        R"({"service":"lessons","fromRegion":"north","toRegion":"south","cap":0.5,"step":0.5,"failover":true})");
    REQUIRE(started.status == 200);
    const auto list = fixture.call("GET", "/v1/shifts");
    CHECK_THAT(list.body, Catch::Matchers::Contains("\"step\":0,") && Catch::Matchers::Contains("\"failover\":false"));
    CHECK_THAT(list.body, Catch::Matchers::Contains("\"from_region\":\"north\""));
    CHECK(fixture.call("POST", "/v1/shifts/" + text(started, "id") + "/cancel").status == 200);
    CHECK_THAT(fixture.call("GET", "/v1/shifts").body, Catch::Matchers::Contains("SHIFT_CANCELLED"));
}

TEST_CASE("Sync registers a host, holds a call while nothing changes and answers a change at once")
{
    ControlHostFixture fixture;
    REQUIRE(fixture.call("POST", "/v1/customers", R"({"name":"school"})").status == 200);
    proto::SyncRequest request;
    request.mutable_self()->set_id("e1");
    request.mutable_self()->set_incarnation(7);
    request.mutable_self()->set_entry(true);
    request.mutable_self()->set_state(proto::MEMBER_LIVE);
    request.set_wait_ms(400);
    CHECK(fixture.sync(request).kind()
          == proto::ERROR_INVALID); // a host without a region is no member and gets no lease
    request.mutable_self()->set_region("north");
    const auto first = fixture.sync(request);
    REQUIRE(first.kind() == proto::ERROR_NONE);
    CHECK(first.snapshot());
    REQUIRE(first.content().members_size() == 1);
    CHECK(first.content().members(0).state() == proto::MEMBER_LIVE);
    CHECK(first.content().customers_size() == 1);

    request.set_known_revision(first.content().revision());
    const Time begun = Clock::now();
    const auto quiet = fixture.sync(request);
    CHECK(Clock::now() - begun >= milliseconds(400));
    CHECK_FALSE(quiet.snapshot());
    CHECK(quiet.content().customers_size() == 0);

    std::thread editor(
        [&fixture] { CHECK(fixture.call("POST", "/v1/customers", R"({"name":"archive"})").status == 200); });
    proto::SyncReply changed;
    while (changed.content().customers_size() == 0) {
        changed = fixture.sync(request);
        request.set_known_revision(std::max(request.known_revision(), changed.content().revision()));
    }
    editor.join();
    CHECK(changed.content().customers(0).name() == "archive");
}

// Guards against a client that gives up, or repeats an edit with another change id, when the first control host is
// down.
TEST_CASE("the client goes on to the next control host with the same change id")
{
    ControlHostFixture fixture;
    const std::string down = "127.0.0.1:" + std::to_string(freePort());
    const std::string live = "127.0.0.1:" + std::to_string(freePort());
    const auto server = OperatorServer::start(live, fixture.api());
    REQUIRE(server);
    const OperatorClient client({{down, live}, "secret"});
    CHECK(client.send("POST", "/v1/customers", R"({"name":"school"})", "create-1").status == 200);
    const auto again = client.send("POST", "/v1/customers", R"({"name":"school"})", "create-1");
    CHECK(again.status == 200);
    CHECK_THAT(again.body, Catch::Matchers::Contains("\"repeated\":true"));
    const auto content = client.read("/v1/customers");
    REQUIRE(content);
    CHECK(content->customers_size() == 1);

    CHECK(client.send("PATCH", "/v1/customers", "", "").status == 405);
    CHECK(client.send("POST", "/v1/customers", std::string(maxApiBodyBytes + 1, ' '), "").status == 413);
    const auto unknown = client.send("POST", "/v1/customers/a%62c/cancel", "", "");
    CHECK(unknown.status == 404);
    CHECK_THAT(unknown.body, Catch::Matchers::Contains("abc"));
    // An encoded slash is part of the name, which the table refuses; it doesn't end the path's segment.
    CHECK(client.send("POST", "/v1/customers/a%2Fc/cancel", "", "").status == 400);
    const OperatorClient unauthorizedClient({{live}, "wrong"});
    const auto refused = unauthorizedClient.send("GET", "/v1/customers", "", "");
    CHECK(refused.status == 401);
    CHECK(errorFromReply(refused).kind == proto::ERROR_UNAUTHORIZED);
    const OperatorClient unconnectedClient({{down}, "secret", milliseconds(200), milliseconds(300)});
    CHECK(errorFromReply(unconnectedClient.send("GET", "/v1/customers", "", "")).kind == proto::ERROR_UNAVAILABLE);
}

// Guards against apply overwriting an edit that was made after the comparison.
TEST_CASE("an edit between comparison and apply is a conflict and stays in force")
{
    ControlHostFixture fixture;
    const auto row = [](int weight, int version) {
        return R"({"row":{"service":"lessons","region":"*","customer":"*","weight":)" + std::to_string(weight)
            + R"(},"expectedVersion":)" + std::to_string(version) + "}";
    };
    REQUIRE(fixture.call("PUT", "/v1/rows", row(5, 0)).status == 200);
    const std::string live = "127.0.0.1:" + std::to_string(freePort());
    const auto server = OperatorServer::start(live, fixture.api());
    REQUIRE(server);
    const OperatorClient client({{live}, "secret"});
    const auto declaration = parseDeclaration("[row lessons * *]\nweight = 7\n", "f.ini");
    const auto changes = planChanges(*declaration, *client.read("/v1/rows"));
    REQUIRE(changes.size() == 1);
    REQUIRE(fixture.call("PUT", "/v1/rows", row(6, 1)).status == 200);
    const auto refused = client.send(changes[0].method, changes[0].path, changes[0].body, "apply-1");
    CHECK(refused.status == 409);
    CHECK(errorFromReply(refused).kind == proto::ERROR_CONFLICT);
    CHECK(client.read("/v1/rows")->rows(0).weight() == 6);

    const auto again = planChanges(*declaration, *client.read("/v1/rows"));
    REQUIRE(again.size() == 1);
    CHECK(client.send(again[0].method, again[0].path, again[0].body, "apply-2").status == 200);
    CHECK(planChanges(*declaration, *client.read("/v1/rows")).empty());
}

TEST_CASE("an operators file with a malformed line is refused")
{
    const auto path = std::filesystem::temp_directory_path() / ("operators-" + std::to_string(randomId()));
    std::ofstream(path) << "alice " << toHex(sha256("a")) << "\nbob abc\n";
    REQUIRE_FALSE(readOperators(path.string()));
    CHECK_THAT(lastError().message, Catch::Matchers::Contains(":2:") && Catch::Matchers::Contains("SHA-256"));
    std::filesystem::remove(path);
}
