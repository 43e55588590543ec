#include "gateway/host.h"

#include <asio/post.hpp>

#include <algorithm>
#include <mutex>
#include <thread>

#include "base/log.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "base/timer.h"
#include "fleet/controlclient.h"
#include "gateway/text.h"
#include "net/drain.h"

namespace banyanledge
{

namespace
{

// Interval between updates of the report that the next Sync call sends.
constexpr milliseconds reportInterval{100};

// A delay of the event loop above this is logged: requests and calls waited for as long.
constexpr milliseconds loopDelayLimit{250};

// Timeout of a call for tokens. No request waits longer for its token.
constexpr milliseconds tokenTimeout{600};

proto::Member localMember(const proto::Settings &settings)
{
    proto::Member self;
    self.set_id(settings.host().id());
    self.set_incarnation(randomId());
    self.set_entry(true);
    self.set_region(settings.host().region());
    self.set_availability_zone(settings.host().availability_zone());
    self.set_http_address(settings.gateway().listen());
    self.set_rpc_address(settings.host().rpc_listen());
    self.set_state(proto::MEMBER_LIVE);
    return self;
}

// Adds the time that a report has waited to the ages in it.
void addAge(proto::SyncRequest &request, Duration waited)
{
    const auto waitedMs = static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(waited).count());
    for (auto &suspect : *request.mutable_suspects()) {
        if (suspect.has_succeeded_age_ms()) {
            suspect.set_succeeded_age_ms(suspect.succeeded_age_ms() + waitedMs);
        }
        for (auto &crash : *suspect.mutable_crashes()) {
            crash.set_started_age_ms(crash.started_age_ms() + waitedMs);
            crash.set_ended_age_ms(crash.ended_age_ms() + waitedMs);
            crash.set_last_ended_age_ms(crash.last_ended_age_ms() + waitedMs);
        }
    }
    for (auto &limit : *request.mutable_limits()) {
        limit.set_age_ms(limit.age_ms() + waitedMs);
    }
}

} // namespace

class GatewayHost::Private
{
public:
    explicit Private(Options initialOptions)
        : options(std::move(initialOptions))
        , gateway(loop,
                  {options.settings.host(), options.settings.gateway(), options.headerNames,
                   [this](const proto::TakeTokensRequest &request, auto done) {
                       controlClient.takeTokens(request, tokenTimeout, [this, done](const auto &reply) {
                           asio::post(loop, [done, reply] { done(reply); });
                       });
                   },
                   [this] { reportNow(); }})
        , controlClient(
              {localMember(options.settings),
               withPort(options.settings.entry().control_hosts(), options.settings.entry().control_rpc_port()),
               [this](proto::SyncRequest &request) { addReport(request); },
               [this](const proto::SyncRequest &request, const proto::SyncReply &reply) {
                   asio::post(loop, [this, request, reply] { gateway.applySyncReply(request, reply); });
               },
               [this](Time confirmedAt) {
                   asio::post(loop, [this, confirmedAt] { gateway.confirmView(confirmedAt); });
               },
               true /* takesTokens */, true /* longTimeout: the gateway keeps serving without a lease */})
    {
    }

    bool listen();
    void addReport(proto::SyncRequest &request);
    void updateReport();
    void storeReport();
    void reportNow();
    void measureLoopDelay(Time now);
    void reportViewAge(Time now);
    bool ready() const;

    const Options options;
    asio::io_context loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> workGuard{loop.get_executor()};
    Timer timer{loop.get_executor()};
    Gateway gateway;
    ControlClient controlClient;
    std::unique_ptr<HttpServer> clientServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> lookupServer;
    std::mutex reportMutex;
    proto::SyncRequest lastReport; // guarded by reportMutex
    Time lastReportAt{}; // guarded by reportMutex
    Time reportDue{}; // used on the loop only
    bool leaving = false; // used on the loop only
    Duration lookupLifetime{}; // used on the loop only
    bool wasReady = false;
    bool viewWasOld = false;
    std::thread thread;
};

bool GatewayHost::Private::ready() const
{
    return gateway.ready() && !leaving;
}

void GatewayHost::Private::addReport(proto::SyncRequest &request)
{
    const std::lock_guard lock(reportMutex);
    *request.mutable_rates() = lastReport.rates();
    *request.mutable_servers() = lastReport.servers();
    request.set_host_load(lastReport.host_load());
    request.set_request_rate(lastReport.request_rate());
    *request.mutable_suspects() = lastReport.suspects();
    *request.mutable_limits() = lastReport.limits();
    *request.mutable_process_reports() = lastReport.process_reports();
    addAge(request, Clock::now() - lastReportAt);
    *request.mutable_refused_blocked() = lastReport.refused_blocked();
}

// The loop is late when the process got no processor time, was suspended or handled something for long.
void GatewayHost::Private::measureLoopDelay(Time now)
{
    if (reportDue == Time{}) {
        return;
    }
    const Duration delay = std::max(now - reportDue, Duration(0));
    observeMetric("banyanledge_loop_delay_seconds", {}, std::chrono::duration<double>(delay).count());
    if (delay > loopDelayLimit) {
        const auto delayMs = std::chrono::duration_cast<milliseconds>(delay).count();
        logWarning("the event loop stood still", {{"ms", std::to_string(delayMs)}});
    }
}

// Logs when the copy of the table has become older than freshnessLease, and when it is confirmed again.
void GatewayHost::Private::reportViewAge(Time now)
{
    const std::optional<Duration> age = gateway.viewAge(now);
    if (!age) {
        return;
    }
    setMetric("banyanledge_table_copy_age_seconds", {}, std::chrono::duration<double>(*age).count());
    const bool isOld = *age >= freshnessLease;
    if (isOld != std::exchange(viewWasOld, isOld)) {
        logInfo(isOld ? "the copy of the table is not confirmed any more" : "the copy of the table is confirmed again",
                {{"revision", std::to_string(controlClient.view()->revision())},
                 {"age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(*age).count())}});
    }
}

void GatewayHost::Private::storeReport()
{
    proto::SyncRequest report;
    gateway.report(report);
    report.set_host_load(static_cast<double>(gateway.inFlight()) / options.settings.gateway().largest_in_flight());
    const std::lock_guard lock(reportMutex);
    lastReport = std::move(report);
    lastReportAt = Clock::now();
}

void GatewayHost::Private::reportNow()
{
    storeReport();
    controlClient.syncNow();
}

void GatewayHost::Private::updateReport()
{
    measureLoopDelay(Clock::now());
    reportViewAge(Clock::now());
    storeReport();
    setMetric("banyanledge_requests_in_flight", {}, static_cast<double>(gateway.inFlight()));
    setMetric("banyanledge_response_bytes_held", {}, static_cast<double>(gateway.responseBudget()->held()));
    setMetric("banyanledge_gateway_callers", {}, static_cast<double>(clientServer->connections()));
    if (ready() != std::exchange(wasReady, ready())) {
        logInfo(wasReady ? "ready for clients" : "not ready for clients",
                {{"revision", std::to_string(controlClient.view()->revision())}, {"leaving", leaving ? "yes" : "no"}});
    }
    reportDue = Clock::now() + reportInterval;
    timer.start(reportDue, [this] { updateReport(); });
}

bool GatewayHost::Private::listen()
{
    const auto &settings = options.settings.gateway();
    HttpServer::Options clientOptions;
    clientOptions.address = settings.listen();
    clientOptions.limits = [this] { return gateway.limits(); };
    clientOptions.handle = [this](std::shared_ptr<HttpCall> call) { gateway.handle(std::move(call)); };
    clientOptions.mayPipeline = [this](const HttpHead &head) { return gateway.mayPipeline(head); };
    clientOptions.responseBudget = gateway.responseBudget();
    clientOptions.onRejected = [](int status) {
        countMetric("banyanledge_gateway_rejected_total", {{"status", std::to_string(status)}});
        logInfo("request rejected before routing", {{"status", std::to_string(status)}});
    };
    clientServer = HttpServer::start(loop, clientOptions);
    const auto startServer = [this](const std::string &address, const Handler &handler) {
        HttpServer::Options serverOptions;
        serverOptions.address = address;
        serverOptions.limits = [] { return HttpLimits(); };
        serverOptions.handle = [this, handler](const std::shared_ptr<HttpCall> &call) {
            handler(gateway, {ready(), lookupLifetime}, *call);
        };
        return HttpServer::start(loop, serverOptions);
    };
    if (clientServer) {
        readinessServer = startServer(settings.ready_listen(), options.handleReady);
    }
    if (readinessServer && !settings.directory_listen().empty()) {
        lookupServer = startServer(settings.directory_listen(), options.handleLookup);
        return lookupServer != nullptr;
    }
    return readinessServer != nullptr;
}

GatewayHost::GatewayHost(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

GatewayHost::~GatewayHost()
{
    d->controlClient.stop();
    d->workGuard.reset();
    d->loop.stop();
    if (d->thread.joinable()) {
        d->thread.join();
    }
    d->clientServer.reset();
    d->readinessServer.reset();
    d->lookupServer.reset();
    // Completions in the loop hold requests that were left at the stop deadline; these use the gateway, which ends
    // before the loop.
    d->timer.stop();
    d->loop.restart();
    d->loop.poll();
}

bool GatewayHost::start()
{
    if (!d->listen()) {
        return false;
    }
    applySettings(d->options.settings);
    d->updateReport();
    d->controlClient.onChange([priv = d.get()](const std::shared_ptr<const View> &view) {
        asio::post(priv->loop, [priv, view] { priv->gateway.setView(view); });
    });
    d->thread = std::thread([priv = d.get()] { priv->loop.run(); });
    d->controlClient.start();
    logInfo("gateway started", {{"address", d->options.settings.gateway().listen()}});
    return true;
}

void GatewayHost::stop(const StopSchedule &schedule)
{
    const Time acceptUntil = runOnLoop(d->loop, [priv = d.get(), schedule] {
        priv->leaving = true;
        priv->gateway.beginStop(schedule.answerBy);
        priv->clientServer->closeAfterResponses();
        return acceptDeadline(schedule, priv->lookupLifetime, Clock::now());
    });
    d->controlClient.setState(proto::MEMBER_LEAVING);
    std::this_thread::sleep_until(acceptUntil);
    runOnLoop(d->loop, [priv = d.get()] { priv->clientServer->stopAccepting(); });
    std::size_t left = closeConnections(d->loop, *d->clientServer, schedule.closeBy);
    left += runOnLoop(d->loop, [priv = d.get()] { return priv->gateway.inFlight(); });
    logInfo("gateway stopped; left is the number of requests and connections still open",
            {{"left", std::to_string(left)}, {"ms", millisecondsText(Clock::now() - schedule.begin)}});
}

void GatewayHost::applySettings(const proto::Settings &settings)
{
    d->controlClient.setControlHosts(withPort(settings.entry().control_hosts(), settings.entry().control_rpc_port()));
    asio::post(d->loop, [priv = d.get(), lifetime = fromSeconds(settings.gateway().lookup_lifetime_s())] {
        priv->lookupLifetime = lifetime;
    });
}

} // namespace banyanledge
