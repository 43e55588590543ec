// Orders that were given up and newer ones that contradict them, on real control hosts whose links hold bytes back.
#include <fstream>
#include <thread>

#include "base/digest.h"
#include "control/declarations.h"
#include "control/operatorserver.h"
#include "control_group.h"
#include "platform/endpoints.h"
#include "platform/protocol.h"
#include "relay.h"

using namespace banyanledge;

namespace
{

// Time for an order; one that gets no answer is given up then.
constexpr milliseconds orderTimeout{850};

// Time that bytes take to be delivered and handled after a cut.
constexpr milliseconds deliveryTime{500};

// A control group, and two ways to its leader: a direct one, and one through a link that can be cut.
class CutLink
{
public:
    CutLink()
        : m_leaderAddress(m_group.address(m_group.waitLeader()))
        , m_relay(m_leaderAddress)
    {
    }

    // Bytes wait at both ends of the link, as the kernels of the hosts keep them.
    void cut()
    {
        m_relay.change([](standin::Relay &link) { link.hold(); });
    }

    // Delivers what waits and gives the leader time to handle it.
    void heal()
    {
        m_relay.change([](standin::Relay &link) { link.release(); });
        std::this_thread::sleep_for(deliveryTime);
    }

    proto::TableContent content()
    {
        const proto::ReadReply reply = direct.read({}, Clock::now() + orderTimeout);
        REQUIRE(reply.kind() == proto::ERROR_NONE);
        return reply.content();
    }

    bool isEvacuated(const std::string &zone)
    {
        const auto table = content();
        const auto &evacuations = table.evacuations();
        return std::any_of(evacuations.begin(), evacuations.end(), [&zone](const auto &evacuation) {
            return evacuation.availability_zone() == zone && evacuation.active();
        });
    }

private:
    ControlGroup m_group{3};
    const std::string m_leaderAddress;
    standin::RelayThread m_relay;

public:
    LeaderClient direct{[this] { return m_leaderAddress; }};
    LeaderClient throughLink{[this] { return m_relay.address(); }};
};

// Both interfaces for operators on free ports, which reach the leader through a client of the test.
class OperatorInterfaces
{
public:
    explicit OperatorInterfaces(LeaderClient &leader)
        : m_api(options(m_folder.path() + "/operators"), leader)
        , m_objectServer(OperatorServer::start("127.0.0.1:" + std::to_string(m_objectPort), m_api))
        , m_declarations(leader)
        , m_declarationServer(
              platform::DeclarationServer::start("127.0.0.1:" + std::to_string(m_declarationPort), m_declarations))
    {
        REQUIRE(m_objectServer);
        REQUIRE(m_declarationServer);
    }

    // These send an order and return the connection, on which no response was read yet.
    asio::ip::tcp::socket createCustomer(const std::string &name)
    {
        return send(m_objectPort, "/v1/customers", "{\"name\":\"" + name + "\"}");
    }
    // Creates and cancels a customer by two requests sent at once, and waits for both responses.
    void createAndCancel(const std::string &name)
    {
        const std::string body = "{\"name\":\"" + name + "\"}";
        asio::ip::tcp::socket socket = connect(m_objectPort);
        asio::write(socket, asio::buffer(post("/v1/customers", body) + post("/v1/customers/" + name + "/cancel", "")));
        std::string responses;
        for (int i = 0; i < 2; ++i) {
            const std::size_t size = asio::read_until(socket, asio::dynamic_buffer(responses), "}\n");
            responses.erase(0, size);
        }
    }
    asio::ip::tcp::socket evacuate(const std::string &zone)
    {
        return send(m_declarationPort, platform::evacuationPath + zone + "/start", "");
    }

    void stop(Time deadline)
    {
        m_objectServer->stop(deadline);
        m_declarationServer->stop(deadline);
    }

private:
    static Api::Options options(const std::string &operatorsFile)
    {
        std::ofstream(operatorsFile) << "alice " << toHex(sha256("secret")) << "\n";
        Api::Options options;
        options.operatorsFile = operatorsFile;
        options.ownStatus = [] { return proto::ControlStatus(); };
        return options;
    }

    asio::ip::tcp::socket send(unsigned short port, const std::string &path, const std::string &body)
    {
        asio::ip::tcp::socket socket = connect(port);
        asio::write(socket, asio::buffer(post(path, body)));
        return socket;
    }

    asio::ip::tcp::socket connect(unsigned short port)
    {
        asio::ip::tcp::socket socket(m_loop);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        return socket;
    }

    static std::string post(const std::string &path, const std::string &body)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: control\r\nAuthorization: Bearer secret\r\n"
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static unsigned short freePort()
    {
        asio::io_context loop;
        return asio::ip::tcp::acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
    }

    const unsigned short m_objectPort = freePort();
    const unsigned short m_declarationPort = freePort();
    TemporaryFolder m_folder;
    Api m_api;
    std::unique_ptr<OperatorServer> m_objectServer;
    Declarations m_declarations;
    std::unique_ptr<platform::DeclarationServer> m_declarationServer;
    asio::io_context m_loop;
};

proto::Command evacuation(bool active)
{
    proto::Command command;
    command.set_change_id(std::to_string(randomId()));
    command.set_actor("test");
    command.mutable_set_evacuation()->set_availability_zone("swansea");
    command.mutable_set_evacuation()->set_active(active);
    return command;
}

proto::ErrorKind evacuate(LeaderClient &leader, bool active)
{
    return Declarations(leader).evacuate("swansea", active, {Clock::now() + orderTimeout, {}}).kind();
}

} // namespace

// Guards against an order that waits in a cut connection and is applied when the cut ends: it would undo the newer
// orders that were acknowledged meanwhile.
TEST_CASE("an end of an evacuation that was given up does not end a newer evacuation")
{
    CutLink link;
    REQUIRE(evacuate(link.throughLink, true) == proto::ERROR_NONE);
    link.cut();
    REQUIRE(evacuate(link.throughLink, false) == proto::ERROR_UNAVAILABLE);
    REQUIRE(evacuate(link.direct, false) == proto::ERROR_NONE);
    REQUIRE(evacuate(link.direct, true) == proto::ERROR_NONE);
    link.heal();
    CHECK(link.isEvacuated("swansea"));
}

// Guards against the same where the newer order changes nothing, so that no revision of the zone shows it.
TEST_CASE("an evacuation that was given up does not begin after its end was acknowledged, though that changed nothing")
{
    CutLink link;
    REQUIRE(evacuate(link.throughLink, false) == proto::ERROR_NONE);
    link.cut();
    REQUIRE(evacuate(link.throughLink, true) == proto::ERROR_UNAVAILABLE);
    REQUIRE(evacuate(link.direct, false) == proto::ERROR_NONE);
    link.heal();
    CHECK_FALSE(link.isEvacuated("swansea"));
}

// Guards against an order that was decided in time and waits in a cut connection on its way to the leader.
TEST_CASE("an order that the cut delays after its revision was read does not follow a newer one")
{
    CutLink link;
    auto order = evacuation(true);
    const auto revision = link.throughLink.newestRevision(Clock::now() + orderTimeout);
    REQUIRE(revision);
    order.set_seen_revision(*revision);
    link.cut();
    REQUIRE(link.throughLink.propose(order, Clock::now() + orderTimeout).kind() == proto::ERROR_UNAVAILABLE);
    REQUIRE(evacuate(link.direct, false) == proto::ERROR_NONE);
    link.heal();
    CHECK_FALSE(link.isEvacuated("swansea"));
}

// Guards against an order that is decided on the state after a newer one, as its caller has given it up meanwhile.
TEST_CASE("an order whose caller waits no more when the newest revision is known is not sent")
{
    CutLink link;
    bool connected = true;
    const OrderCaller caller{Clock::now() + milliseconds(5000), [&] { return std::exchange(connected, false); }};
    CHECK(link.direct.proposeOrder(evacuation(true), caller).kind() == proto::ERROR_NONE);
    const auto givenUp = link.direct.proposeOrder(evacuation(false), caller);
    CHECK(givenUp.kind() == proto::ERROR_UNAVAILABLE);
    CHECK_THAT(givenUp.message(), Catch::Matchers::Contains("is not in force"));
    CHECK(link.isEvacuated("swansea"));
}

// Guards against a refusal of all orders through a link that was cut for a while.
TEST_CASE("an order succeeds through a link that was cut before")
{
    CutLink link;
    link.cut();
    REQUIRE(evacuate(link.throughLink, true) == proto::ERROR_UNAVAILABLE);
    link.heal();
    CHECK(evacuate(link.throughLink, true) == proto::ERROR_NONE);
    CHECK(link.isEvacuated("swansea"));
}

// Guards against an order of a client that has gone, and may have sent a newer one elsewhere, while an interface waits
// for the leader.
TEST_CASE("the operators' interfaces send no order on once its client has disconnected")
{
    CutLink link;
    OperatorInterfaces operators(link.throughLink);
    link.cut();
    const auto waitingCustomer = operators.createCustomer("waits");
    const auto waitingEvacuation = operators.evacuate("waits");
    operators.createCustomer("gone").close();
    operators.evacuate("gone").close();
    std::this_thread::sleep_for(milliseconds(300));
    link.heal();
    CHECK(eventually([&] { return link.content().customers_size() > 0; }));
    CHECK(eventually([&] { return link.isEvacuated("waits"); }));
    std::this_thread::sleep_for(deliveryTime);
    const auto content = link.content();
    REQUIRE(content.customers_size() == 1);
    CHECK(content.customers(0).name() == "waits");
    CHECK_FALSE(link.isEvacuated("gone"));
}

// Guards against two requests of one connection that are handled at once, so that the later order is carried out first.
TEST_CASE("orders that a client sends on one connection without waiting are carried out in their order")
{
    constexpr int customers = 30;
    CutLink link;
    OperatorInterfaces operators(link.direct);
    for (int i = 0; i < customers; ++i) {
        operators.createAndCancel("c" + std::to_string(i));
    }
    const auto content = link.content();
    REQUIRE(content.customers_size() == customers);
    for (const auto &customer : content.customers()) {
        INFO(customer.name());
        CHECK_FALSE(customer.active());
    }
}

// Guards against a planned stop that drops the responses to orders in progress, or that waits for a leader beyond its
// end.
TEST_CASE("orders in progress at a planned stop are answered by the time at which calls to the leader end")
{
    CutLink link;
    OperatorInterfaces operators(link.throughLink);
    link.cut();
    auto customer = operators.createCustomer("late");
    auto evacuation = operators.evacuate("late");
    std::this_thread::sleep_for(milliseconds(100));
    const Time callsEnd = Clock::now() + milliseconds(300);
    link.throughLink.limitCalls(callsEnd);
    operators.stop(callsEnd + milliseconds(1600)); // the timeout of one call that is in progress
    CHECK(Clock::now() < callsEnd + milliseconds(1600));
    for (asio::ip::tcp::socket *socket : {&customer, &evacuation}) {
        std::string response;
        asio::error_code error;
        asio::read_until(*socket, asio::dynamic_buffer(response), "\r\n\r\n", error);
        CHECK(response.find("HTTP/1.1 503 ") == 0);
    }
}
