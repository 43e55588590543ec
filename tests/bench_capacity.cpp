// Memory per object, and bytes and processor time per message, as JSON lines for docs/CAPACITY.md.
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

#include <malloc.h>
#include <sys/resource.h>

#include <asio.hpp>

#include <atomic>
#include <cstdio>
#include <functional>
#include <random>
#include <thread>

#include "banyanledge.grpc.pb.h"
#include "decide/lookup.h"
#include "decide/owner.h"
#include "decide/view.h"
#include "ledger/table.h"

using namespace banyanledge;

namespace
{

constexpr unsigned seed = 1;

void printResult(const std::string &name, const std::string &unit, double value, const std::string &extraFields = "")
{
    std::printf("{\"bench\":\"capacity\",\"name\":\"%s\",\"value\":%.4g,\"unit\":\"%s\"%s}\n", name.c_str(), value,
                unit.c_str(), extraFields.c_str());
    std::fflush(stdout);
}

std::string jsonField(const std::string &name, double value)
{
    char text[96];
    std::snprintf(text, sizeof(text), ",\"%s\":%.6g", name.c_str(), value);
    return text;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double cpuSeconds()
{
    struct rusage usage = {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Returns the mean processor time of one call in microseconds.
double microsecondsEach(unsigned repetitions, const std::function<void()> &function)
{
    const double start = cpuSeconds();
    for (unsigned i = 0; i < repetitions; ++i) {
        function();
    }
    return (cpuSeconds() - start) / repetitions * 1e6;
}

// Least-squares slope of y over x.
double slope(const std::vector<std::pair<double, double>> &points)
{
    double meanX = 0;
    double meanY = 0;
    for (const auto &point : points) {
        meanX += point.first / static_cast<double>(points.size());
        meanY += point.second / static_cast<double>(points.size());
    }
    double numerator = 0;
    double denominator = 0;
    for (const auto &point : points) {
        numerator += (point.first - meanX) * (point.second - meanY);
        denominator += (point.first - meanX) * (point.first - meanX);
    }
    return numerator / denominator;
}

// Adds object number `i` of one type to the content.
using AddObject = std::function<void(proto::TableContent &, unsigned)>;

void addRow(proto::TableContent &content, unsigned i)
{
    proto::Row *row = content.add_rows();
    row->set_service("service-" + std::to_string(i % 40));
    row->set_region("region-" + std::to_string(i % 16));
    row->set_customer("customer-" + std::to_string(i));
    row->set_version(3);
    row->set_weight(100);
    row->set_max_in_flight(50);
    row->set_revision(i);
}

void addServer(proto::TableContent &content, unsigned i)
{
    proto::Server *server = content.add_servers();
    server->set_id("server-" + std::to_string(i));
    server->set_service("service-" + std::to_string(i % 40));
    server->set_region("region-" + std::to_string(i % 16));
    server->set_availability_zone("region-" + std::to_string(i % 16) + "-a");
    server->set_address("10.12.13.14:8080");
    server->set_slots(4);
    server->set_connections(330);
    server->set_revision(i);
}

void addMember(proto::TableContent &content, unsigned i)
{
    proto::Member *member = content.add_members();
    member->set_id("entry-" + std::to_string(i));
    member->set_incarnation(0x123456789abcdef0ULL + i);
    member->set_entry(true);
    member->set_region("region-" + std::to_string(i % 16));
    member->set_availability_zone("region-" + std::to_string(i % 16) + "-a");
    member->set_http_address("10.12.13.14:8080");
    member->set_rpc_address("10.12.13.14:7080");
    member->set_state(proto::MEMBER_LIVE);
    member->set_revision(i);
}

void addCustomer(proto::TableContent &content, unsigned i)
{
    proto::Customer *customer = content.add_customers();
    customer->set_name("customer-" + std::to_string(i));
    customer->set_active(true);
    customer->set_revision(i);
    proto::Key *key = content.add_keys();
    key->set_id("key-" + std::to_string(i));
    key->set_digest(std::string(28, 'd') + std::to_string(1000 + i));
    key->set_customer(customer->name());
    key->set_revision(i);
}

proto::TableContent makeContent(const AddObject &addObject, unsigned count)
{
    proto::TableContent content;
    for (unsigned i = 1; i <= count; ++i) {
        addObject(content, i);
    }
    content.set_revision(count);
    return content;
}

void benchObjects()
{
    const std::vector<std::pair<std::string, AddObject>> objectTypes{
        {"row", addRow}, {"server", addServer}, {"member", addMember}, {"customer_with_key", addCustomer}};
    for (const auto &[name, addObject] : objectTypes) {
        std::vector<std::pair<double, double>> memory;
        std::vector<std::pair<double, double>> bytes;
        std::vector<std::pair<double, double>> delta;
        for (const unsigned count : {1000U, 4000U, 16000U}) {
            const auto content = makeContent(addObject, count);
            const double before = heapBytes();
            const auto view = View::next(View(), content, true);
            memory.emplace_back(count, heapBytes() - before);
            bytes.emplace_back(count, static_cast<double>(content.ByteSizeLong()));
            auto change = makeContent(addObject, 1);
            change.set_revision(count + 1);
            delta.emplace_back(count, microsecondsEach(20, [&] { View::next(*view, change, false); }));
        }
        printResult("view_memory_per_" + name, "bytes", slope(memory));
        printResult("snapshot_bytes_per_" + name, "bytes", slope(bytes));
        printResult("delta_apply_us_per_held_" + name, "us", slope(delta),
                    jsonField("at_16000_us", delta.back().second));
    }
}

void benchTable()
{
    std::vector<std::pair<double, double>> memory;
    for (const unsigned count : {1000U, 4000U, 16000U}) {
        const double before = heapBytes();
        Table table;
        for (unsigned i = 1; i <= count; ++i) {
            proto::Command command;
            command.set_change_id("change-" + std::to_string(i));
            command.set_actor("operator");
            command.set_time_ms(1000);
            proto::TableContent content;
            addRow(content, i);
            *command.mutable_put_row()->mutable_row() = content.rows(0);
            command.mutable_put_row()->mutable_row()->set_customer("*");
            command.mutable_put_row()->mutable_row()->set_service("service-" + std::to_string(i));
            table.apply(i, command);
        }
        memory.emplace_back(count, heapBytes() - before);
    }
    printResult("control_memory_per_edited_row_with_audit", "bytes", slope(memory));

    Table table;
    unsigned next = 0;
    const double claimTime = microsecondsEach(20000, [&] {
        proto::Command command;
        command.set_change_id("c" + std::to_string(++next));
        command.set_time_ms(1000);
        auto *change = command.mutable_claim();
        change->set_customer("customer-1");
        change->set_request_id("request-" + std::to_string(next));
        change->set_host("entry-1");
        table.apply(next, command);
    });
    const double before = heapBytes();
    Table claims;
    for (unsigned i = 1; i <= 20000; ++i) {
        proto::Command command;
        command.set_change_id("c" + std::to_string(i));
        command.set_time_ms(1000);
        auto *change = command.mutable_claim();
        change->set_customer("customer-1");
        change->set_request_id("request-" + std::to_string(i));
        change->set_host("entry-1");
        claims.apply(i, command);
    }
    printResult("claim_apply", "us", claimTime);
    printResult("control_memory_per_claim", "bytes", (heapBytes() - before) / 20000);
}

void benchLookups()
{
    const auto members = makeContent(addMember, 1500);
    auto content = members;
    for (unsigned i = 1; i <= 290; ++i) {
        addServer(content, i);
    }
    const auto view = View::next(View(), content, true);
    std::mt19937_64 random(seed);
    std::map<std::string, double> hostLoads;
    std::vector<std::pair<double, double>> memory;
    ClientBlocks blocks;
    for (const unsigned count : {100000U, 300000U, 1000000U}) {
        blocks = ClientBlocks();
        const double before = heapBytes();
        std::vector<ClientBlocks::Block> blockList;
        for (unsigned i = 0; i < count; ++i) {
            blockList.push_back({static_cast<std::uint32_t>(i) << 12U, 20, static_cast<std::uint16_t>(i % 290)});
        }
        std::vector<std::string> regions;
        for (unsigned i = 0; i < 290; ++i) {
            regions.push_back("region-" + std::to_string(i % 16));
        }
        blocks = ClientBlocks(std::move(blockList), std::move(regions));
        memory.emplace_back(count, heapBytes() - before);
    }
    printResult("memory_per_block", "bytes", slope(memory), jsonField("at_1000000_bytes", memory.back().second));
    const double searchTime =
        microsecondsEach(1000000, [&] { (void)blocks.regionOf(static_cast<std::uint32_t>(random())); });
    printResult("block_search", "us", searchTime, jsonField("per_core_per_second", 1e6 / searchTime));
    const double lookupTime = microsecondsEach(2000, [&] {
        const auto region = blocks.regionOf(static_cast<std::uint32_t>(random()));
        lookupHosts({"service-1", region.value_or(""), random()}, *view, hostLoads, 5);
    });
    printResult("lookup_decision_1500_members", "us", lookupTime, jsonField("per_core_per_second", 1e6 / lookupTime));
    std::vector<std::pair<double, double>> ownerTimes;
    for (const unsigned count : {10U, 100U, 1500U}) {
        const auto memberView = View::next(View(), makeContent(addMember, count), true);
        ownerTimes.emplace_back(count,
                                microsecondsEach(2000, [&] { ownerOf("customer:customer-1", memberView->members()); }));
    }
    printResult("owner_decision_per_member", "us", slope(ownerTimes),
                jsonField("at_1500_us", ownerTimes.back().second));
}

// Sends the same reply to each call immediately, so that only the cost of the message itself is measured.
class StaticReplyService : public proto::Control::CallbackService
{
public:
    proto::SyncReply reply;
    grpc::ServerUnaryReactor *Sync(grpc::CallbackServerContext *context, const proto::SyncRequest * /*request*/,
                                   proto::SyncReply *response) override
    {
        *response = reply;
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }
};

// Forwards one TCP connection and counts the bytes of both directions.
class CountingRelay
{
public:
    explicit CountingRelay(unsigned short targetPort)
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_serverSocket(m_context)
        , m_clientSocket(m_context)
        , m_targetPort(targetPort)
    {
        m_acceptor.async_accept(m_clientSocket, [this](const auto &error) {
            if (!error) {
                m_serverSocket.connect({asio::ip::address_v4::loopback(), m_targetPort});
                forward(m_clientSocket, m_serverSocket, m_clientBuffer);
                forward(m_serverSocket, m_clientSocket, m_serverBuffer);
            }
        });
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~CountingRelay()
    {
        m_context.stop();
        m_thread.join();
    }
    CountingRelay(const CountingRelay &) = delete;
    CountingRelay &operator=(const CountingRelay &) = delete;
    unsigned short port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    double bytes() const
    {
        return static_cast<double>(m_byteCount);
    }

private:
    using Buffer = std::array<char, 65536>;

    void forward(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, Buffer &buffer)
    {
        from.async_read_some(asio::buffer(buffer), [this, &from, &to, &buffer](const auto &error, std::size_t size) {
            if (error) {
                return;
            }
            m_byteCount += size;
            asio::write(to, asio::buffer(buffer.data(), size));
            forward(from, to, buffer);
        });
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_serverSocket;
    asio::ip::tcp::socket m_clientSocket;
    unsigned short m_targetPort;
    Buffer m_clientBuffer{};
    Buffer m_serverBuffer{};
    std::atomic<std::uint64_t> m_byteCount{0};
    std::thread m_thread;
};

proto::PoolLoad poolLoad(unsigned i)
{
    proto::PoolLoad load;
    load.set_service("service-" + std::to_string(i % 40));
    load.set_region("region-" + std::to_string(i % 16));
    load.set_slots(60);
    load.set_in_use(31);
    load.set_waiting(2);
    load.set_error_rate(0.01);
    load.set_latency_ms(12.5);
    load.set_warm(1);
    load.set_age_ms(250);
    return load;
}

void benchSync()
{
    StaticReplyService service;
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    const auto server = builder.BuildAndStart();
    for (const unsigned poolCount : {0U, 12U, 1160U}) {
        service.reply.Clear();
        for (unsigned i = 0; i < poolCount; ++i) {
            *service.reply.add_pools() = poolLoad(i);
        }
        const CountingRelay relay(static_cast<unsigned short>(port));
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        const auto stub = proto::Control::NewStub(grpc::CreateCustomChannel(
            "127.0.0.1:" + std::to_string(relay.port()), grpc::InsecureChannelCredentials(), arguments));
        proto::SyncRequest request;
        *request.mutable_self() = makeContent(addMember, 1).members(0);
        request.set_known_revision(123456);
        request.set_wait_ms(400);
        const auto call = [&] {
            grpc::ClientContext context;
            proto::SyncReply reply;
            stub->Sync(&context, request, &reply);
        };
        call();
        const double before = relay.bytes();
        constexpr unsigned calls = 2000;
        const double cpu = microsecondsEach(calls, call);
        const std::string suffix = "_with_" + std::to_string(poolCount) + "_pool_loads";
        printResult("sync_call_bytes" + suffix, "bytes", (relay.bytes() - before) / calls);
        printResult("sync_call_cpu_both_sides_and_relay" + suffix, "us", cpu);
    }
    server->Shutdown();
}

} // namespace

int main()
{
    benchObjects();
    benchTable();
    benchLookups();
    benchSync();
    return 0;
}
