#include "entry/host.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "entry/path.h"

namespace banyanledge
{

namespace
{

// Polling interval during a graceful shutdown.
constexpr milliseconds shutdownPollInterval{20};

// How long a graceful shutdown waits until the control hosts have recorded that this host leaves.
constexpr milliseconds leavingTimeout{2000};

proto::Member ownMember(const proto::Settings &settings)
{
    proto::Member self;
    self.set_id(settings.host().id());
    self.set_incarnation(randomId());
    self.set_entry(true);
    self.set_control(settings.control().enabled());
    self.set_region(settings.host().region());
    self.set_availability_zone(settings.host().availability_zone());
    self.set_http_address(settings.entry().listen());
    self.set_rpc_address(settings.host().rpc_listen());
    self.set_state(proto::MEMBER_LIVE);
    return self;
}

std::optional<Error> invalidSetting(const proto::Settings &settings)
{
    if (!isAddress(settings.entry().listen())) {
        return Error{proto::ERROR_INVALID,
                     "the entry role needs an address for clients; set listen = IP:PORT in [entry]"};
    }
    if (settings.entry().control_hosts().empty()) {
        return Error{proto::ERROR_INVALID,
                     "the entry role needs control hosts; set control_hosts = IP:PORT,IP:PORT in [entry]"};
    }
    return std::nullopt;
}

// Reads the blocks of client addresses; there are none when no file is set. Returns nullopt if the file can't be read
// or is invalid; lastError() then names the file.
std::optional<ClientBlocks> readClientBlocks(const std::string &path)
{
    if (path.empty()) {
        return ClientBlocks();
    }
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return fail(proto::ERROR_IO, path + ": cannot be read; check [entry] client_blocks_file");
    }
    auto blocks = ClientBlocks::parse(text.str());
    if (!blocks) {
        return fail(proto::ERROR_INVALID, path + ": " + lastError().message);
    }
    return blocks;
}

} // namespace

class EntryHost::Private
{
public:
    Private(const proto::Settings &settings, ClientBlocks blocks);
    ~Private();

    RequestPathDependencies deps();
    void report(proto::SyncRequest &request);
    void waitUntilLeaving(Time deadline);
    void handOver(Time deadline);
    void drain(Time deadline);

    const proto::Settings settings;
    const proto::Member self;
    ControlClient controlClient;
    ResourceManager resourceManager;
    std::unique_ptr<BackendClient> backend;
    std::unique_ptr<RequestPath> path;
    std::unique_ptr<EntryServer> server;
    bool started = false;
};

EntryHost::Private::Private(const proto::Settings &given, ClientBlocks blocks)
    : settings(given)
    , self(ownMember(given))
    , controlClient({self,
                     {given.entry().control_hosts().begin(), given.entry().control_hosts().end()},
                     [this](proto::SyncRequest &request) { report(request); }})
    , resourceManager({self, given.platform(), given.entry().link_bytes_per_second()}, controlClient)
    , backend(std::make_unique<BackendClient>(std::max(1U, given.host().workers() / 2)))
{
    EntryServer::Options options;
    options.address = given.entry().listen();
    options.threads = given.host().workers();
    options.maxBodyBytes = given.entry().max_body_bytes();
    options.handle = [this](Request request, ResponseWriter response) {
        path->handle(std::move(request), std::move(response));
    };
    server = std::make_unique<EntryServer>(std::move(options));
    path = std::make_unique<RequestPath>(deps(), given.entry(), self, *backend, server->context(), std::move(blocks));
}

// Adds this host's report to a Sync request and updates the gauges. Runs before each attempt to call Sync, so the
// gauges stay current also while no control host responds.
void EntryHost::Private::report(proto::SyncRequest &request)
{
    resourceManager.addReport(request);
    request.set_host_load(static_cast<double>(path->inFlight()) / settings.entry().max_in_flight());
    const Time now = Clock::now();
    const Duration lease = controlClient.isFresh(now) ? controlClient.freshUntil() - now : Duration(0);
    setMetric("banyanledge_freshness_lease_seconds", {}, std::chrono::duration<double>(lease).count());
    setMetric("banyanledge_requests_in_flight", {}, path->inFlight());
}

// Stops the threads that run requests before it destroys what the requests use.
EntryHost::Private::~Private()
{
    server->stop();
    backend.reset();
    server.reset();
    controlClient.stop();
}

RequestPathDependencies EntryHost::Private::deps()
{
    RequestPathDependencies deps;
    deps.view = [this] { return controlClient.view(); };
    deps.fresh = [this](Time now) { return controlClient.isFresh(now); };
    deps.whenFresh = [this](Time deadline, auto done) { controlClient.whenFresh(deadline, std::move(done)); };
    deps.poolLoads = [this] { return controlClient.poolLoads(); };
    deps.hostLoads = [this] { return controlClient.hostLoads(); };
    deps.propose = [this](const proto::Command &command, Time deadline, auto done) {
        controlClient.propose(command, deadline, std::move(done));
    };
    deps.takeTokens = [this](const std::string &resource, double amount, Time deadline, auto done) {
        resourceManager.takeTokens(resource, amount, deadline, std::move(done));
    };
    deps.returnTokens = [this](const std::string &resource, double amount) {
        resourceManager.returnTokens(resource, amount);
    };
    deps.acquireSlot = [this](const SlotRequest &request, auto done) {
        resourceManager.acquireSlot(request, std::move(done));
    };
    deps.releaseSlot = [this](const SlotLease &lease, proto::Outcome outcome, Duration latency) {
        resourceManager.releaseSlot(lease, outcome, latency);
    };
    return deps;
}

// Waits until this host's copy of the table marks it as leaving. Other hosts may use an older copy, and name this host
// in look-ups, until their freshness lease of that copy ends.
void EntryHost::Private::waitUntilLeaving(Time deadline)
{
    const auto markedLeaving = [this] {
        const auto view = controlClient.view();
        const auto found = view->members().find(self.id());
        return found != view->members().end() && found->second.state() != proto::MEMBER_LIVE;
    };
    while (!markedLeaving() && Clock::now() < deadline) {
        std::this_thread::sleep_for(shutdownPollInterval);
    }
}

// Hands over the resources of this host and waits until that is done.
void EntryHost::Private::handOver(Time deadline)
{
    auto done = std::make_shared<std::promise<void>>();
    auto finished = done->get_future();
    resourceManager.handOver([done] { done->set_value(); });
    finished.wait_until(deadline);
}

// Waits until all responses have been written and all claims settled, or the deadline has passed.
void EntryHost::Private::drain(Time deadline)
{
    while (path->inFlight() > 0 && Clock::now() < deadline) {
        std::this_thread::sleep_for(shutdownPollInterval);
    }
    if (path->inFlight() > 0) {
        logWarning(
            "graceful shutdown ends with requests in flight; raise [host] stop_grace_s if the platform allows it",
            {{"in_flight", std::to_string(path->inFlight())}});
    }
}

std::unique_ptr<EntryHost> EntryHost::create(const proto::Settings &settings)
{
    if (const auto error = invalidSetting(settings)) {
        fail(error->kind, error->message);
        return nullptr;
    }
    auto blocks = readClientBlocks(settings.entry().client_blocks_file());
    if (!blocks) {
        return nullptr;
    }
    return std::unique_ptr<EntryHost>(new EntryHost(std::make_unique<Private>(settings, std::move(*blocks))));
}

EntryHost::EntryHost(std::unique_ptr<Private> priv)
    : d(std::move(priv))
{
}

EntryHost::~EntryHost() = default;

std::vector<grpc::Service *> EntryHost::services()
{
    return {&d->resourceManager.service()};
}

bool EntryHost::start()
{
    if (!d->server->start()) {
        return false;
    }
    d->resourceManager.start();
    d->controlClient.start();
    d->started = true;
    logInfo("entry role started", {{"address", d->settings.entry().listen()}});
    return true;
}

void EntryHost::stop(const StopSchedule &schedule)
{
    if (!std::exchange(d->started, false)) {
        return;
    }
    d->controlClient.setState(proto::MEMBER_LEAVING);
    d->waitUntilLeaving(std::min(schedule.acceptUntil, Clock::now() + leavingTimeout));
    d->handOver(std::min(schedule.acceptUntil, Clock::now() + 2 * leavingTimeout));
    const milliseconds lifetime(d->settings.entry().lookup_lifetime_ms());
    std::this_thread::sleep_until(acceptDeadline(schedule, lifetime, Clock::now()));
    d->server->closeAfterResponses();
    d->drain(schedule.closeBy);
    d->server->stop();
    d->controlClient.stop();
    logInfo("entry role stopped", {{"in_flight", std::to_string(d->path->inFlight())}});
}

void EntryHost::applySettings(const proto::Settings &settings)
{
    d->controlClient.setControlHosts(withPort(settings.entry().control_hosts(), settings.entry().control_rpc_port()));
}

} // namespace banyanledge
