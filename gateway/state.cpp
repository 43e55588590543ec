// What a gateway knows of servers and hosts. serverchoice.cpp implements the selection of servers.
#include "gateway/state.h"

#include <algorithm>
#include <unordered_map>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/text.h"

namespace banyanledge
{

namespace
{

// Part of a customer's rate that all hosts together may use while the leader does not reply. Applies only to customers
// whose rate the leader keeps pooled, so that this host has no share of it.
constexpr double fallbackRateShare = 0.4;

// Servers whose limits are reported in one Sync call, those heard from last.
constexpr std::size_t maxReportedLimits = 128;

// Longest time by which a host returns later than a server asked for.
constexpr double maxPauseSpreadSeconds = 0.5;

// Time until a larger share of a cold server's rate is used after the list of hosts has changed. The requests of the
// hosts that had it before count in the same second.
constexpr milliseconds shareChangeDelay{1000};

// Least time between two checks of a server, unless one crashed. Some servers close idle connections early.
constexpr milliseconds checkInterval{500};

// `requestId` is empty when the leader sent the statement.
void logLimit(const std::string &server, const std::optional<double> &perSecond, const std::string &requestId)
{
    logInfo(perSecond ? "backend server named a limit" : "backend server names no limit any more",
            {{"server", server},
             {"per_second", perSecond ? std::to_string(*perSecond) : ""},
             {"request", requestId},
             {"source", requestId.empty() ? "leader" : "response"}});
}

void logNewProcess(const std::string &server, const ServerState &state, const std::string &source, Time now)
{
    logInfo("new process of a backend server",
            {{"server", server},
             {"source", source},
             {"cold_ms", millisecondsText(std::max(state.coldUntil - now, Duration(0)))}});
}

void logEnd(const std::string &server, const std::string &source)
{
    logInfo("process of a backend server has ended", {{"server", server}, {"source", source}});
}

} // namespace

GatewayState::GatewayState(asio::io_context &eventLoop, Gateway::Options gatewayOptions)
    : loop(eventLoop)
    , options(std::move(gatewayOptions))
    , responseBudget(std::make_shared<ByteBudget>(std::size_t{options.settings.response_buffer_mb()} << 20))
    , upstream(eventLoop,
               {.requestIdHeader = options.headerNames.requestId,
                .onIdleLost = [this](const std::string &server) { onIdleLost(server); },
                .responseBudget = responseBudget})
    , tokens(options.host.id(), options.takeTokens)
    , processCheck(eventLoop, upstream, options.headerNames)
    , blocker(options.host.id())
    , random(randomId())
{
}

RetryBudgetConfig GatewayState::retryBudgetConfig() const
{
    const auto &settings = options.settings;
    const auto window = std::chrono::duration<double>(settings.retry_window_s());
    return {settings.retry_ratio(), std::chrono::duration_cast<milliseconds>(window), settings.retry_slack()};
}

void GatewayState::setView(const std::shared_ptr<const View> &view, Time now)
{
    const auto previous = routing;
    routing = Routing::build(view);
    if (routing->version() != previous->version()) {
        logInfo("declaration in force",
                {{"version", std::to_string(routing->version())},
                 {"previous", std::to_string(previous->version())},
                 {"revision", std::to_string(view->revision())}});
    }
    recordHostChange(previous, now);
    updateServers(now);
    updateCandidates();
    blocker.setView(*view);
    for (const auto &customer : view->declaration().customers()) {
        const bool pooled = buckets[customer.name()].share() <= 0;
        const double part = customer.rate() * fallbackRateShare
            / static_cast<double>(std::max<std::size_t>(1, routing->hosts().size()));
        buckets[customer.name()].setFallbackRate(pooled ? part : 0);
    }
}

void GatewayState::updateFleetLoads(const proto::SyncRequest &request, const proto::SyncReply &reply, Time now)
{
    std::unordered_map<std::uint32_t, std::uint32_t> others;
    for (const auto &load : reply.servers()) {
        others[load.server()] = load.in_flight();
    }
    for (const auto &load : request.servers()) {
        auto &sum = others[load.server()];
        sum -= std::min(sum, load.in_flight());
    }
    for (auto &[id, state] : servers) {
        const auto found = others.find(shortServerHash(id));
        state.process.otherHostsInFlight = found == others.end() ? 0 : found->second;
        state.process.othersUpdatedAt = now;
    }
}

void GatewayState::recordNotice(const Target &target, const ServerNotice &notice, bool isWhole,
                                const std::string &requestId, Time now)
{
    for (const std::string &header : notice.unreadable) {
        countMetric("banyanledge_gateway_notices_unreadable_total", {{"header", header}});
        logWarning("a backend server's statement about itself can't be read and is ignored",
                   {{"server", target.server->id}, {"header", header}, {"request", requestId}});
    }
    if (notice.leaving && !std::exchange(target.state->process.leaving, true)) {
        upstream.closeIdleConnections(target.server->id);
        logInfo("backend server said that it leaves", {{"server", target.server->id}, {"request", requestId}});
    }
    if (notice.pause) {
        // Hosts return at different moments, so that the server gets no wave of requests.
        const std::chrono::duration<double> spread(
            std::uniform_real_distribution<double>(0, maxPauseSpreadSeconds)(random));
        target.state->process.pausedUntil = std::max(
            target.state->process.pausedUntil, now + *notice.pause + std::chrono::duration_cast<Duration>(spread));
        logInfo("backend server asked for a pause",
                {{"server", target.server->id},
                 {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(*notice.pause).count())},
                 {"request", requestId}});
    }
    NamedLimit &limit = target.state->process.limit;
    const bool endsLimit = isWhole && notice.unreadable.empty() && limit.perSecond(now);
    if (!notice.limitPerSecond && !endsLimit) {
        return;
    }
    if (limit.recordOwn({notice.limitPerSecond, now}, now)) {
        logLimit(target.server->id, limit.perSecond(now), requestId);
    }
}

void GatewayState::applyNamedLimits(const proto::SyncReply &reply, Time now)
{
    std::unordered_map<std::uint32_t, LimitStatement> statements;
    for (const auto &limit : reply.limits()) {
        statements[limit.server()] = receivedStatement(limit, now);
    }
    std::size_t limited = 0;
    for (auto &[id, state] : servers) {
        const auto found = statements.find(shortServerHash(id));
        if (found != statements.end() && state.process.limit.recordFleet(found->second, now)) {
            logLimit(id, state.process.limit.perSecond(now), {});
        }
        limited += state.process.limit.perSecond(now) ? 1 : 0;
    }
    setMetric("banyanledge_gateway_limited_servers", {}, static_cast<double>(limited));
}

void GatewayState::addNamedLimits(proto::SyncRequest &request, Time now) const
{
    std::vector<std::pair<std::uint32_t, LimitStatement>> statements; // by server
    for (const auto &[id, state] : servers) {
        if (const auto statement = state.process.limit.ownStatement(now)) {
            statements.emplace_back(shortServerHash(id), *statement);
        }
    }
    for (auto &limit : statementMessages(std::move(statements), maxReportedLimits, now)) {
        *request.add_limits() = std::move(limit);
    }
}

milliseconds GatewayState::declaredWarmup(const std::string &service) const
{
    const RoutedService *found = routing->service(service);
    return milliseconds(found != nullptr && found->declared != nullptr ? found->declared->warmup_ms() : 0);
}

// Reports at once, because the other hosts send to the server what they think it can handle until they hear of it.
// Reports of the same moment are sent together.
void GatewayState::sendReport()
{
    if (!options.reportNow || std::exchange(*m_reportDue, true)) {
        return;
    }
    asio::post(loop, [this, due = std::weak_ptr(m_reportDue)] {
        if (const auto flag = due.lock()) {
            *flag = false;
            options.reportNow();
        }
    });
}

void GatewayState::recordServerEnd(const std::string &server, Time now)
{
    const auto found = servers.find(server);
    if (found == servers.end() || !recordEnd(found->second, now)) {
        return;
    }
    upstream.closeIdleConnections(server);
    logEnd(server, "refused connection");
    sendReport();
}

void GatewayState::recordServerResponse(const RoutedServer &server, Time now)
{
    const auto found = servers.find(server.id);
    if (found == servers.end()) {
        return;
    }
    const bool neededCheck = std::exchange(found->second.needsCheck, false);
    if (recordResponse(found->second, declaredWarmup(server.service), now)) {
        logNewProcess(server.id, found->second, "response", now);
        sendReport();
    } else if (neededCheck && now >= found->second.checkAllowedAt) {
        found->second.checkAllowedAt = now + checkInterval;
        checkProcess(server, {});
    }
}

void GatewayState::checkProcess(const RoutedServer &server, const ProcessCheck::Done &done)
{
    const RoutedService *service = routing->service(server.service);
    const std::string path =
        service != nullptr && service->declared != nullptr ? service->declared->health_path() : std::string();
    processCheck.start({server.id, server.address, path}, [this, server, done](const auto &result) {
        onProcessChecked(server, result, Clock::now());
        if (done) {
            done(result);
        }
    });
}

void GatewayState::onProcessChecked(const RoutedServer &server, const ProcessCheckResult &result, Time now)
{
    if (result.refused) {
        recordServerEnd(server.id, now);
        return;
    }
    const auto found = servers.find(server.id);
    const milliseconds stated = std::min(result.warmupLeft.value_or(milliseconds(0)), declaredWarmup(server.service));
    if (found != servers.end() && recordStatedWarmup(found->second, stated, now)) {
        logNewProcess(server.id, found->second, "health check", now);
        sendReport();
    }
    if (result.answered) {
        recordServerResponse(server, now);
    }
}

// The server may have closed just this connection, or its process has ended. A server that leaves closes connections on
// purpose.
void GatewayState::onIdleLost(const std::string &server)
{
    const Time now = Clock::now();
    const auto state = servers.find(server);
    const bool isWanted = mayReceiveRequests(server) && state != servers.end() && !state->second.ended;
    if (!isWanted || now < state->second.checkAllowedAt) {
        return;
    }
    state->second.checkAllowedAt = now + checkInterval;
    const auto routed = std::find_if(routing->servers().begin(), routing->servers().end(),
                                     [&](const RoutedServer &candidate) { return candidate.id == server; });
    if (routed != routing->servers().end()) {
        checkProcess(*routed, {});
    }
}

void GatewayState::addProcessReports(proto::SyncRequest &request) const
{
    for (const auto &[id, state] : servers) {
        if (const auto news = unlistedNews(state)) {
            auto *message = request.add_process_reports();
            message->set_id(id);
            message->set_incarnation(news->incarnation);
            message->set_ended(news->ended);
            message->set_warmup_left_ms(static_cast<std::uint32_t>(news->warmupLeft.count()));
        }
    }
}

// Drops what is known of processes that have ended by the table. Servers that get no requests now may get some later.
void GatewayState::updateProcesses(Time now)
{
    const bool isFirstCopy = servers.empty();
    for (const auto &[id, server] : routing->view().servers()) {
        ServerState &state = servers[id];
        const ListedProcess listed{server.incarnation(), server.ended(), milliseconds(server.warmup_left_ms()),
                                   server.revision()};
        const bool wasEnded = state.ended;
        const bool dropped = applyListedProcess(state, listed, declaredWarmup(server.service()), now);
        if (dropped) {
            upstream.closeIdleConnections(id);
        }
        if (isFirstCopy && isCold(state, now)) {
            // This host's process before, if there was one, may have used its share just now.
            state.coldLimiter.pauseUntil(now + shareChangeDelay);
        }
        if (state.ended && !wasEnded) {
            logEnd(id, "table");
        } else if (!state.ended && (dropped || wasEnded)) {
            logNewProcess(id, state, "table", now);
        }
    }
}

void GatewayState::updateServers(Time now)
{
    updateProcesses(now);
    std::set<std::string> present;
    for (const RoutedServer &server : routing->servers()) {
        present.insert(server.id);
        ServerState &state = servers[server.id];
        const auto [fingerprint, added] = m_fingerprints.try_emplace(server.id, std::string());
        if (fingerprint->second == server.fingerprint) {
            continue;
        }
        if (!added && fingerprint->second.empty()) {
            // The server is back after a drain or an evacuation, and may need a new warm-up.
            state.coldUntil = std::max(state.coldUntil, now + declaredWarmup(server.service));
        }
        fingerprint->second = server.fingerprint;
        logInfo("backend server may receive requests",
                {{"server", server.id},
                 {"service", server.service},
                 {"zone", server.zone},
                 {"revision", std::to_string(routing->view().revision())},
                 {"cold_ms", millisecondsText(std::max(state.coldUntil - now, Duration(0)))}});
    }
    for (auto &[id, fingerprint] : m_fingerprints) {
        if (!fingerprint.empty() && !present.contains(id)) {
            fingerprint.clear();
            upstream.closeIdleConnections(id);
            logInfo("backend server receives no more requests",
                    {{"server", id}, {"revision", std::to_string(routing->view().revision())}});
        }
    }
    // A server that the table shows as ready again, after it showed it as leaving, has started anew under its id.
    for (auto &[id, state] : servers) {
        const auto found = routing->view().servers().find(id);
        if (!state.process.leaving || found == routing->view().servers().end()) {
            continue;
        }
        state.process.listedAsLeaving = state.process.listedAsLeaving || found->second.leaving();
        if (state.process.listedAsLeaving && !found->second.leaving()) {
            state.process.leaving = false;
            state.process.listedAsLeaving = false;
        }
    }
    // Drops the state of servers that left the table once none of their requests is in flight.
    std::erase_if(servers, [this](const auto &entry) {
        const bool gone = !routing->view().servers().contains(entry.first) && entry.second.inFlight == 0;
        if (gone) {
            m_fingerprints.erase(entry.first);
        }
        return gone;
    });
}

bool GatewayState::mayReceiveRequests(const std::string &server) const
{
    const auto found = m_fingerprints.find(server);
    return found != m_fingerprints.end() && !found->second.empty();
}

std::optional<Duration> GatewayState::viewAge(Time now) const
{
    return viewConfirmedAt == Time{} ? std::nullopt : std::optional(now - viewConfirmedAt);
}

bool GatewayState::shouldRebalance(Time now)
{
    return std::uniform_real_distribution<double>()(random)
        < rebalanceFraction(requestRate.perSecond(now), meanRegionRequestRate);
}

void GatewayState::recordHostChange(const std::shared_ptr<const Routing> &previous, Time now)
{
    if (!previous->hosts().empty() && previous->hostHashes() != routing->hostHashes()) {
        m_formerHosts.push_back({previous, now + shareChangeDelay});
    }
}

void GatewayState::forgetFormerHosts(Time now)
{
    const bool changed = std::erase_if(m_formerHosts, [now](const auto &former) { return now >= former.until; }) > 0;
    if (!changed) {
        return;
    }
    for (auto &[service, byRegion] : m_candidates) {
        for (auto &[region, list] : byRegion) {
            for (Candidate &candidate : list) {
                candidate.coldRate.reset();
            }
        }
    }
}

} // namespace banyanledge
