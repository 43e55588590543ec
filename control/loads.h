// Loads of pools and links as reported by their owners, and loads and request rates of entry hosts, each with its age.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Loads older than this are dropped, because their pool or link has no owner that reports, or their host is silent.
constexpr milliseconds loadLifetime{10000};

// A reported request rate is used for this long. A host makes several Sync calls within it.
constexpr milliseconds requestRateLifetime{1500};

// A host counts as busy when its load, the used fraction of its limit of concurrent requests, reaches this value.
constexpr double busyHostThreshold = 0.5;

// The newest reports of the entry hosts.
struct FleetLoads
{
    struct Pool
    {
        proto::PoolLoad load; // age_ms is the age at `received`
        Time received{};
    };
    struct Link
    {
        double used = 0; // fraction of the capacity
        Time received{};
    };
    struct Host
    {
        double load = 0; // fraction of the limit of concurrent requests
        Time received{};
    };
    struct RequestRate
    {
        double rate = 0; // requests per second
        std::string region;
        Time received{};
    };
    std::map<std::string, Host> busyHosts; // by id
    std::map<std::string, RequestRate> requestRates; // by host
    std::map<std::pair<std::string, std::string>, Pool> pools; // by service and region
    std::map<std::pair<std::string, std::string>, Link> links; // by source and target region
};

// Records the loads reported in a Sync call. A pool's load never replaces one that was measured later.
void recordLoads(FleetLoads &loads, const proto::SyncRequest &request, Time now);

// Returns the loads of all pools with their ages at `now`, and drops outdated ones.
std::vector<proto::PoolLoad> currentPoolLoads(FleetLoads &loads, Time now);

// Returns the loads of all pools for the entry hosts, with fractions rounded to 1/1024 and latencies to 1/64 ms.
// Multiples of powers of two compress well, and routing needs no finer values.
std::vector<proto::PoolLoad> roundedPoolLoads(FleetLoads &loads, Time now);

// Returns the loads of entry hosts that reach busyHostThreshold, for look-ups. Other hosts are left out, so that the
// reply stays small in a large fleet.
std::vector<proto::HostLoad> busyHostLoads(FleetLoads &loads, Time now);

// Returns the mean request rate of the live hosts of a region that reported one; 0 when none did.
double meanRequestRate(const FleetLoads &loads, const std::string &region, Time now);

// Returns the used fraction of the link from one region to another; 0 when no host reports it.
double linkUtilization(const FleetLoads &loads, const std::string &from, const std::string &to, Time now);

} // namespace banyanledge
