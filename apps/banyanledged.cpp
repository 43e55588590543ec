// banyanledged, the daemon of all roles: entry, gateway and control.
#include <getopt.h>
#include <signal.h>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "apps/metricsserver.h"
#include "apps/settingswatch.h"
#include "base/crash.h"
#include "base/error.h"
#include "base/invariant.h"
#include "base/log.h"
#include "base/settings.h"
#include "control/host.h"
#include "decide/stopschedule.h"
#ifdef BANYAN_WITH_ENTRY
#include "entry/host.h"
#endif
#include "gateway/host.h"
#include "gateway/text.h"
#include "platform/decode.h"
#include "platform/endpoints.h"
#include "platform/protocol.h"

using namespace banyanledge;

namespace
{

constexpr const char *usage =
    "Usage: banyanledged --config FILE [--check]\n"
    "\n"
    "  -c, --config FILE     settings file of this host\n"
    "      --check           check the settings and exit\n"
    "      --help-settings   list all settings and exit\n"
    "  -h, --help            show this help and exit\n"
    "  -V, --version         show the version and exit\n"
    "\n"
    "SIGTERM and SIGINT start a graceful shutdown, which ends within [host] stop_grace_s. SIGHUP or a change of the\n"
    "file reloads the settings that --help-settings shows as reloaded; the log names changes that need a restart.\n"
    "Signals during the shutdown have no effect.\n"
    "Exit codes: 0 after a graceful shutdown, 1 if the host cannot start, 2 for a usage error.\n";

enum ExitCode {
    ExitOk = 0,
    ExitFailed = 1,
    ExitUsage = 2,
};

struct Arguments
{
    std::string config;
    bool check = false;
};

enum LongOption {
    OptionCheck = 256,
    OptionHelpSettings,
};

// Parses the arguments. Returns an exit code if the program is to exit without starting the host.
std::optional<int> parseArguments(int argc, char **argv, Arguments &arguments)
{
    const option options[] = {
        {"config", required_argument, nullptr, 'c'},
        {"check", no_argument, nullptr, OptionCheck},
        {"help-settings", no_argument, nullptr, OptionHelpSettings},
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'V'},
        {nullptr, 0, nullptr, 0},
    };
    for (int found = 0; (found = getopt_long(argc, argv, "c:hV", options, nullptr)) != -1;) {
        switch (found) {
        case 'c':
            arguments.config = optarg;
            break;
        case OptionCheck:
            arguments.check = true;
            break;
        case OptionHelpSettings:
            std::cout << settingsHelp();
            return ExitOk;
        case 'h':
            std::cout << usage;
            return ExitOk;
        case 'V':
            std::cout << "banyanledged " << BANYAN_VERSION << "\n";
            return ExitOk;
        default:
            std::cerr << usage;
            return ExitUsage;
        }
    }
    if (optind < argc || arguments.config.empty()) {
        std::cerr << (optind < argc ? "unexpected argument " + std::string(argv[optind]) : "--config is missing")
                  << "\n"
                  << usage;
        return ExitUsage;
    }
    return std::nullopt;
}

// Interval at which the settings file is looked at for a change.
constexpr milliseconds settingsInterval{250};

// The roles of this process and its servers.
struct Host
{
    std::unique_ptr<ControlHost> control;
#ifdef BANYAN_WITH_ENTRY
    std::unique_ptr<EntryHost> entry;
#endif
    std::unique_ptr<GatewayHost> gateway;
    std::unique_ptr<platform::DeclarationServer> declarationServer;
    std::unique_ptr<grpc::Server> server;
    std::unique_ptr<MetricsServer> metrics;
};

// Maps availability zones to regions, from settings of the form ZONE=REGION.
std::map<std::string, std::string> zoneRegions(const proto::PlatformSettings &settings)
{
    std::map<std::string, std::string> regions;
    for (const std::string &text : settings.zone_regions()) {
        const auto equals = text.find('=');
        if (equals != std::string::npos) {
            regions[text.substr(0, equals)] = text.substr(equals + 1);
        }
    }
    return regions;
}

std::function<std::optional<PlatformList>(const PlatformPoller::Fetch &)>
createListReader(const proto::PlatformSettings &settings)
{
    return [address = settings.list_address(), regions = zoneRegions(settings)](const PlatformPoller::Fetch &fetch) {
        return platform::fetchServerList(address, regions, fetch);
    };
}

std::unique_ptr<GatewayHost> createGateway(const proto::Settings &settings)
{
    GatewayHost::Options options;
    options.settings = settings;
    options.headerNames = platform::headerNames();
    options.handleReady = platform::serveReady;
    options.handleLookup = platform::serveLookup;
    return std::make_unique<GatewayHost>(std::move(options));
}

bool createRoles(Host &host, const proto::Settings &settings)
{
    if (settings.control().enabled()) {
        host.control = ControlHost::create(settings);
        if (!host.control) {
            return false;
        }
        if (!settings.platform().list_address().empty()) {
            host.control->setPlatformListReader(createListReader(settings.platform()));
        }
    }
    if (settings.entry().enabled()) {
#ifdef BANYAN_WITH_ENTRY
        host.entry = EntryHost::create(settings);
        return host.entry != nullptr;
#else
        fail(proto::ERROR_INVALID, "this build has no entry role; set enabled = false under [entry]");
        return false;
#endif
    }
    if (settings.gateway().enabled()) {
        host.gateway = createGateway(settings);
    }
    return true;
}

// Starts one gRPC server for the services of all roles; the gateway role has none.
bool startServer(Host &host, const proto::Settings &settings)
{
    if (!settings.control().enabled() && !settings.entry().enabled()) {
        return true;
    }
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(settings.host().rpc_listen(), grpc::InsecureServerCredentials(), &port);
    // Snapshots of the table and of the log exceed the default limit of 4 MB.
    builder.SetMaxReceiveMessageSize(-1);
    builder.SetMaxSendMessageSize(-1);
    // With SO_REUSEPORT, a second process could share the port; it must fail instead.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    if (host.control) {
        for (grpc::Service *service : host.control->services()) {
            builder.RegisterService(service);
        }
    }
#ifdef BANYAN_WITH_ENTRY
    if (host.entry) {
        for (grpc::Service *service : host.entry->services()) {
            builder.RegisterService(service);
        }
    }
#endif
    host.server = builder.BuildAndStart();
    if (!host.server || port == 0) {
        fail(proto::ERROR_IO,
             "cannot serve gRPC on " + settings.host().rpc_listen() + "; free the address or change [host] rpc_listen");
        return false;
    }
    return true;
}

bool startRoles(Host &host, const proto::Settings &settings)
{
    if (!settings.host().metrics_listen().empty()) {
        host.metrics = MetricsServer::start(settings.host().metrics_listen());
        if (!host.metrics) {
            return false;
        }
    }
    if (host.control && !host.control->start()) {
        return false;
    }
    if (host.control && !settings.control().declaration_listen().empty()) {
        host.declarationServer =
            platform::DeclarationServer::start(settings.control().declaration_listen(), *host.control->declarations());
        if (!host.declarationServer) {
            return false;
        }
    }
    if (host.gateway && !host.gateway->start()) {
        return false;
    }
#ifdef BANYAN_WITH_ENTRY
    if (host.entry && !host.entry->start()) {
        return false;
    }
#endif
    return true;
}

// Logs when a part of the host has stopped, so that the log shows which one takes the time of a shutdown.
void logStopped(const char *part, const StopSchedule &schedule)
{
    logInfo("stopped", {{"part", part}, {"ms", millisecondsText(Clock::now() - schedule.begin)}});
}

void stopServer(Host &host, const StopSchedule &schedule)
{
    const auto left = std::chrono::duration_cast<std::chrono::system_clock::duration>(schedule.closeBy - Clock::now());
    host.server->Shutdown(std::chrono::system_clock::now() + left);
    host.server->Wait();
    host.server.reset();
    logStopped("gRPC server", schedule);
}

// Stops the control role, and before it is closed the gRPC server of its services.
void stopControl(Host &host, const StopSchedule &schedule)
{
    host.control->leave(leaveDeadline(schedule, Clock::now()));
    logStopped("membership of the control group", schedule);
    if (host.declarationServer) {
        host.declarationServer->stop(schedule.closeBy);
        host.declarationServer.reset();
        logStopped("declaration interface", schedule);
    }
    host.control->stop(schedule.closeBy);
    if (host.server) {
        stopServer(host, schedule);
    }
    host.control.reset();
    logStopped("control role", schedule);
}

// Stops the entry role first, because its requests still need the control role and the other hosts.
void stopHost(Host &host, const StopSchedule &schedule)
{
    if (host.control) {
        host.control->limitCalls(schedule.answerBy);
    }
#ifdef BANYAN_WITH_ENTRY
    if (host.entry) {
        host.entry->stop(schedule);
        logStopped("entry role", schedule);
    }
#endif
    if (host.gateway) {
        host.gateway->stop(schedule);
        host.gateway.reset();
        logStopped("gateway role", schedule);
    }
    if (host.control) {
        stopControl(host, schedule);
    }
    if (host.server) {
        stopServer(host, schedule);
    }
    host.metrics.reset();
}

Duration stopGrace(const proto::Settings &settings)
{
    const double seconds = settings.host().stop_grace_s();
    return seconds > 0 ? fromSeconds(seconds) : defaultStopGrace;
}

void warnWithoutGrace(const proto::Settings &settings)
{
    if (settings.host().stop_grace_s() <= 0) {
        logWarning("the settings state no grace of a shutdown; write [host] stop_grace_s",
                   {{"assumed_ms", std::to_string(defaultStopGrace.count())}});
    }
}

void applySettings(Host &host, const proto::Settings &settings)
{
    if (host.gateway) {
        host.gateway->applySettings(settings);
    }
#ifdef BANYAN_WITH_ENTRY
    if (host.entry) {
        host.entry->applySettings(settings);
    }
#endif
    if (host.control) {
        host.control->setSeeds(withPort(settings.control().seeds(), settings.control().seed_rpc_port()));
    }
}

// Returns the signal, or 0 if none came within the timeout.
int waitForSignal(const sigset_t &signals, Duration timeout)
{
    const Duration remaining = std::max(timeout, Duration(0));
    const auto seconds = std::chrono::floor<std::chrono::seconds>(remaining);
    const timespec limit{seconds.count(), std::chrono::nanoseconds(remaining - seconds).count()};
    return std::max(0, sigtimedwait(&signals, nullptr, &limit));
}

// Waits for the signal that ends the host and applies changed settings meanwhile. Returns the begin of the grace.
Time serveUntilStopSignal(Host &host, SettingsWatch &watch)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    Time due = Clock::now() + settingsInterval;
    while (true) {
        int signal = waitForSignal(signals, due - Clock::now());
        if (signal == 0) {
            // A process that stood still sees the end of the timeout before a signal that came meanwhile.
            signal = waitForSignal(signals, Duration(0));
        }
        if (signal == SIGTERM || signal == SIGINT) {
            const Time begin = stopBegin(due, Clock::now());
            logInfo("graceful shutdown started",
                    {{"signal", strsignal(signal)}, {"late_ms", millisecondsText(Clock::now() - begin)}});
            return begin;
        }
        if (signal == 0) {
            due = Clock::now() + settingsInterval;
        }
        if (watch.check(signal == SIGHUP)) {
            applySettings(host, watch.settings());
            warnWithoutGrace(watch.settings());
        }
    }
}

// The file may have changed since it was last looked at, and the change may be that of the grace.
StopSchedule readStopSchedule(SettingsWatch &watch, Time begin)
{
    watch.check(true);
    const Duration grace = stopGrace(watch.settings());
    logInfo("grace of this shutdown", {{"ms", millisecondsText(grace)}});
    return stopSchedule(begin, grace);
}

int run(const proto::Settings &settings, const std::string &path)
{
    Host host;
    if (!createRoles(host, settings) || !startServer(host, settings) || !startRoles(host, settings)) {
        logError("host failed to start", {{"reason", lastError().message}});
        stopHost(host, stopSchedule(Clock::now(), stopGrace(settings)));
        return ExitFailed;
    }
    logInfo("host started", {{"rpc", settings.host().rpc_listen()}});
    warnWithoutGrace(settings);
    SettingsWatch watch(path, settings);
    const Time begin = serveUntilStopSignal(host, watch);
    stopHost(host, readStopSchedule(watch, begin));
    logInfo("graceful shutdown finished", {{"ms", millisecondsText(Clock::now() - begin)}});
    return ExitOk;
}

// Blocks the signals in all threads, so that only sigwait() receives them. Called before the first thread starts: if
// one thread doesn't block a signal, its default action ends the process, for example during a graceful shutdown.
void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
}

} // namespace

int main(int argc, char **argv)
{
    blockSignals();
    Arguments arguments;
    if (const auto code = parseArguments(argc, argv, arguments)) {
        return *code;
    }
    const auto settings = readSettings(arguments.config);
    if (!settings) {
        std::cerr << lastError().message << "\n";
        return ExitFailed;
    }
    if (arguments.check) {
        std::cout << arguments.config << ": the settings are valid\n";
        return ExitOk;
    }
    if (!startLog(settings->host().log_level(), settings->host().id())) {
        std::cerr << arguments.config << ": [host] log_level: write debug, info, warning or error\n";
        return ExitFailed;
    }
    installCrashHandlers(settings->host().id());
    setInvariantsFatal(settings->host().fatal_invariants());
    const int code = run(*settings, arguments.config);
    stopLog();
    return code;
}
