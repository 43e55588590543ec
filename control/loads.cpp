#include "control/loads.h"

#include <cmath>
#include <iterator>

namespace banyanledge
{

namespace
{

Time measuredAt(const FleetLoads::Pool &pool)
{
    return pool.received - milliseconds(pool.load.age_ms());
}

double quantize(double value, double stepsPerUnit)
{
    return std::round(value * stepsPerUnit) / stepsPerUnit;
}

} // namespace

void recordLoads(FleetLoads &loads, const proto::SyncRequest &request, Time now)
{
    for (const auto &load : request.pools()) {
        const FleetLoads::Pool report{load, now};
        const auto key = std::make_pair(load.service(), load.region());
        const auto found = loads.pools.find(key);
        if (found == loads.pools.end() || measuredAt(found->second) <= measuredAt(report)) {
            loads.pools[key] = report;
        }
    }
    if (request.host_load() >= busyHostThreshold) {
        loads.busyHosts[request.self().id()] = {request.host_load(), now};
    } else {
        loads.busyHosts.erase(request.self().id());
    }
    if (request.self().state() == proto::MEMBER_LIVE) {
        loads.requestRates[request.self().id()] = {request.request_rate(), request.self().region(), now};
    } else {
        loads.requestRates.erase(request.self().id());
    }
    for (const auto &link : request.links()) {
        loads.links[{link.from_region(), link.to_region()}] = {link.used(), now};
    }
}

std::vector<proto::PoolLoad> currentPoolLoads(FleetLoads &loads, Time now)
{
    std::vector<proto::PoolLoad> result;
    for (auto next = loads.pools.begin(); next != loads.pools.end();) {
        const auto age = now - measuredAt(next->second);
        if (age > loadLifetime) {
            next = loads.pools.erase(next);
            continue;
        }
        result.push_back(next->second.load);
        result.back().set_age_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(age).count()));
        next = std::next(next);
    }
    return result;
}

std::vector<proto::PoolLoad> roundedPoolLoads(FleetLoads &loads, Time now)
{
    constexpr double fractionSteps = 1024;
    constexpr double latencySteps = 64;
    auto pools = currentPoolLoads(loads, now);
    for (auto &load : pools) {
        load.set_error_rate(quantize(load.error_rate(), fractionSteps));
        load.set_warm(quantize(load.warm(), fractionSteps));
        load.set_latency_ms(quantize(load.latency_ms(), latencySteps));
    }
    return pools;
}

std::vector<proto::HostLoad> busyHostLoads(FleetLoads &loads, Time now)
{
    constexpr double loadSteps = 64;
    std::erase_if(loads.busyHosts, [now](const auto &entry) { return now - entry.second.received > loadLifetime; });
    std::vector<proto::HostLoad> result;
    for (const auto &[id, host] : loads.busyHosts) {
        proto::HostLoad &load = result.emplace_back();
        load.set_id(id);
        load.set_load(quantize(host.load, loadSteps));
    }
    return result;
}

double meanRequestRate(const FleetLoads &loads, const std::string &region, Time now)
{
    double sum = 0;
    std::size_t hosts = 0;
    for (const auto &[id, hostRate] : loads.requestRates) {
        if (hostRate.region == region && now < hostRate.received + requestRateLifetime) {
            sum += hostRate.rate;
            ++hosts;
        }
    }
    return hosts > 0 ? sum / static_cast<double>(hosts) : 0;
}

double linkUtilization(const FleetLoads &loads, const std::string &from, const std::string &to, Time now)
{
    const auto found = loads.links.find({from, to});
    return found == loads.links.end() || now - found->second.received > loadLifetime ? 0 : found->second.used;
}

} // namespace banyanledge
