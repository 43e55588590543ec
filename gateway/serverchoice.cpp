// Selection of services and backend servers for requests. state.cpp implements what hosts know of servers.
#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"
#include "decide/hash.h"
#include "gateway/state.h"
#include "gateway/text.h"

namespace banyanledge
{

namespace
{

// Part of the rate limit of a server in warm-up that all hosts together use. Headroom is needed because the server
// counts requests as they arrive and the hosts as they send.
constexpr double warmupRateShare = 0.8;

// Interval between updates of the share of requests that go to other regions.
constexpr milliseconds spillUpdateInterval{250};

// Parts of largest_shift, the limit on load shifted between regions, that gradual changes and overflow may use.
constexpr double spillShiftShare = 0.5;
constexpr double overflowShiftShare = 0.25;

// Maximum of the overflow allowance that is saved for a burst, in requests.
constexpr double maxOverflowAllowance = 4;

// Window of the limit on load shifted between regions.
constexpr double shiftWindowSeconds = 2;

} // namespace

std::string GatewayState::chooseService(const proto::DeclaredRoute &route)
{
    if (route.split_size() == 1) {
        return route.split(0).weight() > 0 ? route.split(0).service() : std::string();
    }
    double total = 0;
    for (const auto &part : route.split()) {
        total += part.weight();
    }
    if (total <= 0) {
        return {};
    }
    // Smooth weighted round robin: every service gains its weight as credit, the one with the most credit is chosen and
    // loses the sum of all weights.
    SplitState &state = splits[route.name()];
    const proto::WeightedService *best = nullptr;
    for (const auto &part : route.split()) {
        double &credit = state.credit[part.service()];
        credit += part.weight();
        if (part.weight() > 0 && (best == nullptr || credit > state.credit[best->service()])) {
            best = &part;
        }
    }
    state.credit[best->service()] -= total;
    return best->service();
}

// This host's part, in requests per second, of the rate limit of a server in warm-up: the least by the present list of
// hosts and the former ones.
double GatewayState::warmupRate(const RoutedService &service, const RoutedServer &server) const
{
    double rate = warmupRateAmong(*routing, service, server);
    for (const FormerHosts &former : m_formerHosts) {
        rate = std::min(rate, warmupRateAmong(*former.routing, service, server));
    }
    return rate;
}

double GatewayState::warmupRateAmong(const Routing &hosts, const RoutedService &service,
                                     const RoutedServer &server) const
{
    const auto &settings = options.settings;
    const double bound = service.declared->warmup_per_second() * settings.warmup_overshoot() + settings.warmup_slack();
    const LimitSharers position = positionAmong(hosts, server, [](const proto::Member &) { return true; });
    const bool isLive = position.rank < position.hosts;
    return isLive ? coldRateShare(bound * warmupRateShare, position.hosts, position.rank) : 0;
}

// The hosts of the server's region share its limit, and those whose regions have no server of the service.
LimitSharers GatewayState::limitSharers(const RoutedService &service, const RoutedServer &server) const
{
    const LimitSharers nearby = positionAmong(*routing, server, [&](const proto::Member &host) {
        return host.region() == server.region || !service.serversByRegion.contains(host.region());
    });
    return nearby.hosts > 0 ? nearby : positionAmong(*routing, server, [](const proto::Member &) { return true; });
}

// This host's place among the live hosts that are included, in an order that differs from server to server.
LimitSharers GatewayState::positionAmong(const Routing &hosts, const RoutedServer &server,
                                         const std::function<bool(const proto::Member &)> &isIncluded) const
{
    const std::uint64_t ownHash = mixHashes(server.hash, hashText(options.host.id()));
    LimitSharers position{0, 0};
    bool isMember = false;
    for (std::size_t i = 0; i < hosts.hosts().size(); ++i) {
        if (!isIncluded(*hosts.hosts()[i])) {
            continue;
        }
        const std::uint64_t hash = mixHashes(server.hash, hosts.hostHashes()[i]);
        isMember = isMember || hash == ownHash;
        position.rank += hash > ownHash ? 1 : 0;
        ++position.hosts;
    }
    position.rank = isMember ? position.rank : position.hosts;
    return position;
}

void GatewayState::updateCandidates()
{
    m_candidates.clear();
    for (const auto &[name, service] : routing->services()) {
        auto &byRegion = m_candidates[&service];
        for (const auto &[region, regionServers] : service.serversByRegion) {
            RegionCandidates &list = byRegion[region];
            list.reserve(regionServers.size());
            for (const RoutedServer *server : regionServers) {
                list.push_back({&server->id, server->hash, server->slots, std::nullopt, &servers[server->id]});
            }
        }
    }
}

const GatewayState::RegionCandidates &GatewayState::candidates(const RoutedService &service, const std::string &region,
                                                               Time now)
{
    forgetFormerHosts(now);
    RegionCandidates &list = m_candidates[&service][region];
    for (std::size_t i = 0; i < list.size(); ++i) {
        if (!list[i].coldRate && isCold(*list[i].state, now)) {
            const RoutedServer &server = *service.serversByRegion.at(region)[i];
            list[i].coldRate = warmupRate(service, server);
            logInfo("share of a cold backend server's request rate",
                    {{"server", server.id},
                     {"per_second", std::to_string(*list[i].coldRate)},
                     {"hosts", std::to_string(routing->hosts().size())},
                     {"cold_ms", millisecondsText(std::max(list[i].state->coldUntil - now, Duration(0)))}});
        }
        if (!list[i].limitSharers && list[i].state->process.limit.perSecond(now)) {
            list[i].limitSharers = limitSharers(service, *service.serversByRegion.at(region)[i]);
        }
    }
    return list;
}

double GatewayState::loadPerSlot(const RoutedService &service, bool inHomeRegion, Time now)
{
    double load = 0;
    double slots = 0;
    for (const auto &[region, list] : m_candidates[&service]) {
        if ((region == options.host.region()) != inHomeRegion) {
            continue;
        }
        for (const Candidate &candidate : list) {
            const bool takesAny =
                takesRequests(*candidate.state, now) && !candidate.state->process.limit.perSecond(now);
            if (takesAny && !candidate.state->ended && healthy(*candidate.state, now)) {
                load += estimatedLoad(*candidate.state, now);
                slots += candidate.slots;
            }
        }
    }
    return slots > 0 ? load / slots : 0;
}

void GatewayState::updateServiceSpill(const RoutedService &service, ServiceState &state, Time now)
{
    if (state.spill.initialized && now < state.spill.updated + spillUpdateInterval) {
        return;
    }
    SpillInput input;
    const auto home = service.slotsByRegion.find(options.host.region());
    input.homeSlots = home == service.slotsByRegion.end() ? 0 : home->second;
    input.allSlots = service.totalSlots;
    input.regions = std::max(service.serversByRegion.size(), routing->regionCount());
    input.homeLoad = loadPerSlot(service, true, now);
    input.otherLoad = loadPerSlot(service, false, now);
    input.maxChangePerSecond = options.settings.largest_shift() * spillShiftShare / shiftWindowSeconds;
    updateSpill(state.spill, input, now);
    setMetric("banyanledge_gateway_spill", {{"service", service.declared->name()}}, state.spill.fraction);
}

PlacementStatus GatewayState::chooseServer(const ServerQuery &query, Time now, Target &target)
{
    const RoutedService &service = *query.service;
    updateServiceSpill(service, *query.state, now);
    const std::string &home = options.host.region();
    const auto allowed = [&query](const std::string &region) {
        return query.regions == nullptr || query.regions->contains(region);
    };
    // The other regions, ordered by a hash of the affinity key weighted by slots, so that requests with the same key go
    // to the same servers there.
    struct Region
    {
        double weight = 0;
        const std::string *name = nullptr;
    };
    std::vector<Region> others;
    for (const auto &[region, regionServers] : service.serversByRegion) {
        if (region != home && allowed(region)) {
            const double hashSample = hashFraction(mixHashes(query.request.object, hashText(region)));
            others.push_back({hashSample * service.slotsByRegion.at(region), &region});
        }
    }
    std::sort(others.begin(), others.end(), [](const Region &a, const Region &b) { return a.weight > b.weight; });
    const bool homeAvailable = service.serversByRegion.contains(home) && allowed(home);
    const double hashSample = hashFraction(mixHashes(query.request.object, hashText("spill")));
    const bool prefersOtherRegions = !homeAvailable || (hashSample < query.state->spill.fraction && !others.empty());
    std::vector<const std::string *> regionOrder;
    if (homeAvailable && !prefersOtherRegions) {
        regionOrder.push_back(&home);
    }
    for (const Region &region : others) {
        regionOrder.push_back(region.name);
    }
    if (homeAvailable && prefersOtherRegions) {
        regionOrder.push_back(&home);
    }
    query.state->overflowAllowance = std::min(
        maxOverflowAllowance, query.state->overflowAllowance + options.settings.largest_shift() * overflowShiftShare);
    PlacementStatus status = PlacementStatus::NoServer;
    bool onlyPauses = true; // no server is full for another reason
    for (const std::string *region : regionOrder) {
        // A request may always go to the next region when no server of the regions before is healthy. When servers
        // there are healthy but at capacity, the overflow allowance limits this.
        if (status == PlacementStatus::Full && region != regionOrder.front() && query.state->overflowAllowance < 1) {
            break;
        }
        const RegionCandidates &regionCandidates = candidates(service, *region, now);
        const Placement placement = placeRequest(regionCandidates, query.request, now);
        if (placement.status == PlacementStatus::Chosen) {
            if (status == PlacementStatus::Full) {
                query.state->overflowAllowance -= 1;
            }
            target.server = service.serversByRegion.at(*region)[placement.index];
            target.state = regionCandidates[placement.index].state;
            return PlacementStatus::Chosen;
        }
        const bool isFull = placement.status == PlacementStatus::Full;
        status = isFull ? PlacementStatus::Full : status;
        onlyPauses = onlyPauses && (!isFull || placement.pauseEnd);
        if (placement.pauseEnd) {
            target.pauseEnd = std::min(target.pauseEnd.value_or(*placement.pauseEnd), *placement.pauseEnd);
        }
    }
    if (!onlyPauses) {
        target.pauseEnd.reset();
    }
    return status;
}

} // namespace banyanledge
