// Loads of pools and links as reported by their owners, with the age of each figure.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Reports older than this are dropped: their pool has no owner that reports.
constexpr milliseconds loadLifetime{10000};

// Rates of requests are used for this long; a host calls several times within it.
constexpr milliseconds requestRateLifetime{1500};

// A host counts as busy from this fraction of its requests at once.
constexpr double busyHostThreshold = 0.5;

struct FleetLoads
{
    struct Pool
    {
        proto::PoolLoad load; // with the age at `received`
        Time received{};
    };
    struct Link
    {
        double used = 0;
        Time received{};
    };
    struct Host
    {
        double load = 0;
        Time received{};
    };
    struct RequestRate
    {
        double rate = 0; // per second
        std::string region;
        Time received{};
    };
    std::map<std::string, Host> busyHosts; // by id
    std::map<std::string, RequestRate> requestRates; // by host
    std::map<std::pair<std::string, std::string>, Pool> pools; // by service and region
    std::map<std::pair<std::string, std::string>, Link> links; // by source and target region
};

// Takes the report of a Sync call; an older figure never replaces a newer one.
void recordLoads(FleetLoads &loads, const proto::SyncRequest &request, Time now);

// Loads of all pools with their ages at `now`.
std::vector<proto::PoolLoad> currentPoolLoads(FleetLoads &loads, Time now);

// The same for entry hosts, with the fractions rounded to 1/1024 and the latency to 1/64 ms: multiples of powers of two
// compress well, and routing needs no finer figures.
std::vector<proto::PoolLoad> roundedPoolLoads(FleetLoads &loads, Time now);

// Entry hosts whose load is at least busyHostThreshold, for look-ups. Idle hosts are left out, so that the answer stays
// small in a large fleet.
std::vector<proto::HostLoad> busyHostLoads(FleetLoads &loads, Time now);

// Mean rate of requests of the live hosts of a region that told theirs; 0 when none did.
double meanRequestRate(const FleetLoads &loads, const std::string &region, Time now);

// Used fraction of a directed link; 0 when nobody reports it.
double linkUtilization(const FleetLoads &loads, const std::string &from, const std::string &to, Time now);

} // namespace banyanledge
