#include "control/host.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <optional>
#include <thread>

#include "base/error.h"
#include "base/log.h"
#include "base/settings.h"
#include "base/timer.h"
#include "control/api.h"
#include "control/contacts.h"
#include "control/declarations.h"
#include "control/join.h"
#include "control/leader.h"
#include "control/leadertasks.h"
#include "control/operatorserver.h"
#include "control/peers.h"
#include "control/service.h"
#include "control/sync.h"
#include "ledger/node.h"

namespace banyanledge
{

namespace
{

// Interval of the checks for held Sync calls, silent members and shifts.
constexpr milliseconds tickInterval{25};

// A voter that is unreachable for this long may be removed from the group. With two elections on the way it is still
// gone within the time after which its successor counts.
constexpr milliseconds removeUnreachableAfter{2000};

// With seeds, the gRPC address is the member's id, because the address is all that a host knows of the other members.
std::string memberId(const proto::Settings &settings)
{
    return settings.control().seeds().empty() ? settings.host().id() : settings.host().rpc_listen();
}

void addSeeds(const proto::ControlSettings &control, Node::Options &options)
{
    const auto seeds = withPort(control.seeds(), control.seed_rpc_port());
    options.join = !control.bootstrap() || std::find(seeds.begin(), seeds.end(), options.rpcAddress) == seeds.end();
    options.removeUnreachableAfter = removeUnreachableAfter;
    options.minQuorum = control.tolerated_losses() + 1;
    for (const std::string &seed : seeds) {
        auto *member = options.initialConfig.add_members();
        member->set_id(seed);
        member->set_rpc_address(seed);
        member->set_voter(true);
    }
}

Node::Options nodeOptions(const proto::Settings &settings, RaftPeers &peers)
{
    const auto &control = settings.control();
    Node::Options options;
    options.id = memberId(settings);
    options.rpcAddress = settings.host().rpc_listen();
    options.dataFolder = control.data_folder();
    options.join = control.join();
    options.heartbeatInterval = milliseconds(control.heartbeat_ms());
    options.electionTimeout = milliseconds(control.election_timeout_ms());
    options.snapshotEntries = control.snapshot_entries();
    options.snapshotBytes = control.snapshot_bytes();
    options.send = [&peers](const proto::RaftMessage &message) { peers.send(message); };
    if (!control.seeds().empty()) {
        addSeeds(control, options);
    }
    for (const std::string &text : control.initial_members()) {
        const auto equals = text.find('=');
        auto *member = options.initialConfig.add_members();
        member->set_id(text.substr(0, equals));
        member->set_rpc_address(text.substr(equals + 1));
        member->set_voter(true);
    }
    return options;
}

} // namespace

class ControlHost::Private
{
public:
    explicit Private(proto::Settings initialSettings)
        : settings(std::move(initialSettings))
        , peers(settings.host().rpc_listen())
        , contacts(settings.host().rpc_listen(),
                   withPort(settings.control().seeds(), settings.control().seed_rpc_port()))
    {
    }
    ~Private();

    bool open();
    bool start();
    void startPlatformPoller();
    void stop(Time deadline);
    void tick();
    void scheduleTick();
    void onNodeChange();

    const proto::Settings settings;
    asio::io_context loop;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard{loop.get_executor()};
    Timer timer{loop.get_executor()};
    std::atomic<bool> syncTickPosted = false;
    RaftPeers peers;
    GroupContacts contacts;
    std::optional<Node> node;
    std::unique_ptr<SyncHandler> sync;
    std::unique_ptr<LeaderTasks> leaderTasks;
    std::unique_ptr<TokenRelay> tokenRelay;
    std::unique_ptr<ControlServices> services;
    std::unique_ptr<PlatformPoller> platformPoller;
    std::unique_ptr<LeaderClient> leader;
    std::unique_ptr<Api> api;
    std::unique_ptr<OperatorServer> operators;
    std::unique_ptr<Declarations> declarations;
    std::unique_ptr<GroupJoiner> joiner;
    std::function<std::optional<PlatformList>(const PlatformPoller::Fetch &)> readPlatformList;
    std::thread thread;
    bool stopped = false;
};

bool ControlHost::Private::open()
{
    const Node::Options options = nodeOptions(settings, peers);
    for (const auto &member : options.initialConfig.members()) {
        peers.setAddress(member.id(), member.rpc_address());
    }
    node = Node::open(options);
    if (!node) {
        return false;
    }
    const RateTolerance tolerance{settings.control().rate_overshoot(), settings.control().rate_slack()};
    sync = std::make_unique<SyncHandler>(loop, *node, tolerance);
    leaderTasks = std::make_unique<LeaderTasks>(*node, *sync);
    tokenRelay = std::make_unique<TokenRelay>(loop, settings.host().rpc_listen(),
                                              [this] { return sync->status().leader_address(); });
    services = std::make_unique<ControlServices>(loop, *node, peers, *sync, *tokenRelay);
    node->onChange([this] { onNodeChange(); });
    scheduleTick();
    thread = std::thread([this] { loop.run(); });
    return true;
}

// Called on the node's thread. Posts at most one tick to the event loop, which handles all changes until then.
void ControlHost::Private::onNodeChange()
{
    if (!syncTickPosted.exchange(true)) {
        asio::post(loop, [this] {
            syncTickPosted = false;
            sync->tick(Clock::now());
        });
    }
}

void ControlHost::Private::scheduleTick()
{
    timer.start(tickInterval, [this] {
        tick();
        scheduleTick();
    });
}

void ControlHost::Private::tick()
{
    const Time now = Clock::now();
    sync->tick(now);
    leaderTasks->tick(now);
    if (!sync->leading()) {
        tokenRelay->tick(now);
    }
    for (const auto &member : sync->status().config().members()) {
        if (member.id() != memberId(settings)) {
            peers.setAddress(member.id(), member.rpc_address());
        }
    }
}

bool ControlHost::Private::start()
{
    const auto &control = settings.control();
    leader = std::make_unique<LeaderClient>([this] { return node->status().leader_address(); },
                                            [this] { return contacts.next(node->status().config()); });
    declarations = std::make_unique<Declarations>(*leader);
    if (!control.seeds().empty()) {
        joiner =
            std::make_unique<GroupJoiner>(settings.host().rpc_listen(), contacts, [this] { return node->status(); });
    }
    if (readPlatformList || !settings.platform().list_url().empty()) {
        startPlatformPoller();
    }
    if (control.operators_listen().empty()) {
        return true;
    }
    if (!readOperators(control.operators_file())) {
        return false;
    }
    Api::Options options;
    options.operatorsFile = control.operators_file();
    options.ownStatus = [this] { return node->status(); };
    api = std::make_unique<Api>(options, *leader);
    operators = OperatorServer::start(control.operators_listen(), *api);
    return operators != nullptr;
}

// Only the leader polls, because the calls to the platform are counted.
void ControlHost::Private::startPlatformPoller()
{
    PlatformPoller::Options options;
    options.interval = milliseconds(settings.platform().poll_ms());
    options.shouldPoll = [this] { return leaderTasks->shouldPollPlatform(); };
    options.readList = readPlatformList;
    if (!options.readList) {
        options.readList = [url = settings.platform().list_url()](const PlatformPoller::Fetch &fetch) {
            const auto body = fetch(url);
            return body ? parsePlatformList(*body) : std::nullopt;
        };
    }
    options.onList = [this](PlatformList list) {
        asio::post(loop, [this, list = std::move(list)] { leaderTasks->handlePlatformList(list, Clock::now()); });
    };
    platformPoller = std::make_unique<PlatformPoller>(std::move(options));
}

void ControlHost::Private::stop(Time deadline)
{
    if (stopped) {
        return;
    }
    stopped = true;
    platformPoller.reset();
    joiner.reset();
    if (operators) {
        operators->stop(deadline);
        operators.reset();
    }
    tokenRelay->stop();
    asio::post(loop, [this] { sync->stop(); });
}

// The gRPC server was shut down before, so no service uses the event loop any more.
ControlHost::Private::~Private()
{
    stop(Clock::now());
    if (services) {
        services->stop();
    }
    workGuard.reset();
    loop.stop();
    if (thread.joinable()) {
        thread.join();
    }
    node.reset();
    peers.stop();
}

ControlHost::ControlHost(std::unique_ptr<Private> priv)
    : d(std::move(priv))
{
}

ControlHost::~ControlHost() = default;

std::unique_ptr<ControlHost> ControlHost::create(const proto::Settings &settings)
{
    std::error_code error;
    std::filesystem::create_directories(settings.control().data_folder(), error);
    if (error) {
        fail(proto::ERROR_IO,
             "cannot create the data folder " + settings.control().data_folder() + ": " + error.message()
                 + "; create it or correct [control] data_folder");
        return nullptr;
    }
    auto priv = std::make_unique<Private>(settings);
    if (!priv->open()) {
        return nullptr;
    }
    return std::unique_ptr<ControlHost>(new ControlHost(std::move(priv)));
}

void ControlHost::setPlatformListReader(
    std::function<std::optional<PlatformList>(const PlatformPoller::Fetch &)> reader)
{
    d->readPlatformList = std::move(reader);
}

Declarations *ControlHost::declarations()
{
    return d->declarations.get();
}

void ControlHost::setSeeds(const std::vector<std::string> &addresses)
{
    d->contacts.setSeeds(addresses);
}

std::vector<grpc::Service *> ControlHost::services()
{
    return d->services->services();
}

bool ControlHost::start()
{
    return d->start();
}

void ControlHost::limitCalls(Time end)
{
    if (d->leader) {
        d->leader->limitCalls(end);
    }
}

void ControlHost::leave(Time deadline)
{
    if (d->joiner) {
        d->joiner.reset();
        leaveGroup(*d->node, *d->leader, d->settings.host().rpc_listen(), deadline);
    }
}

void ControlHost::stop(Time deadline)
{
    d->stop(deadline);
}

} // namespace banyanledge
