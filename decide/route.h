// Selection of the regions in which a request is tried, in order of preference.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/view.h"

namespace banyanledge
{

// Counters of one shift and service on one host. moved <= cap x seen holds at all times, also while the step changes.
struct ShiftCounters
{
    std::uint64_t credit = 0; // requests that may be moved, in units of 2^-32
    std::uint64_t granted = 0; // sum of the steps at all requests seen, in the same unit
    std::uint64_t seen = 0; // requests
    std::uint64_t moved = 0; // requests
};

// Longest time that a request queues in a region while other regions are left to try. Only the pool's owner knows its
// queue without delay; trying the next region after a short wait corrects what delayed load reports miss.
constexpr milliseconds regionQueueTimeout{50};

// A region that may take requests of a service, and its weight for a customer.
struct RegionWeight
{
    std::string region;
    std::uint32_t weight = 0;
};

// Routing state of one host. Not thread-safe: the caller holds a lock during routeRegions().
struct RoutingState
{
    std::map<std::string, ShiftCounters> shifts; // by shift id and service
    std::map<std::string, std::uint64_t> spreadCounts; // requests spread over regions, by service and arrival region
    std::map<std::string, std::vector<RegionWeight>> regions; // by service and customer, for `revision`
    Revision revision = 0; // of the view for which outdated entries were last dropped
};

// The properties of a request that determine its regions.
struct RouteRequest
{
    std::string service;
    std::string customer;
    std::string region; // where the request arrived
};

// A region to try.
struct RouteChoice
{
    std::string region;
    std::string shift; // id of the shift that moves the request here and must grant a token for it; empty if none
    bool crossRegion = false; // whether the body uses the link from the arrival region

    bool operator==(const RouteChoice &) const = default;
};

// Running and waiting requests of a pool as a multiple of its slots. The weight of a report falls with its age to zero
// at 5 s; without a report the result is the neutral value 0.5.
double poolUtilization(const proto::PoolLoad *load);

// Free fraction of a pool, 0 (no free slot reported) to 1 (idle), weighted by age in the same way.
double poolHeadroom(const proto::PoolLoad *load);

// Regions to try, best first; empty if no region may take the request. `loads` are the pools' last known loads with
// their ages at `now`; `state` is updated by the shifts that apply.
//
// The arrival region comes first unless it accepts no requests or its running and waiting requests exceed a multiple of
// its slots while other regions have free ones. Then a growing fraction of its requests goes to the others, in
// proportion to weight and headroom. The arrival region is also the last choice after others: a request waits for the
// last choice until its deadline, and a lease in the arrival region holds its slot for the shortest time.
//
// A shift applies to requests whose first choice is its source region, in every state but cancelled. While an
// operator's shift is in force, its target takes no spill-over from its source.
std::vector<RouteChoice> routeRegions(const RouteRequest &request, const View &view,
                                      const std::vector<proto::PoolLoad> &loads, RoutingState &state, Time now);

} // namespace banyanledge
