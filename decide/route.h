// Order of regions in which a request should be tried.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/view.h"

namespace banyanledge
{

// Counts of one shift and service on one host; moved <= cap x seen at every moment, also while the step changes.
struct ShiftCounters
{
    std::uint64_t credit = 0; // part of a request that may be moved, in units of 2^-32
    std::uint64_t granted = 0; // sum of the steps of all requests seen, in the same unit
    std::uint64_t seen = 0;
    std::uint64_t moved = 0;
};

// How long a request should queue in a region while others are left to try. The pool's owner knows its queue without
// lag, so trying the next region after a short wait corrects what lagging reports miss.
constexpr milliseconds regionQueueTimeout{50};

// A region that may take requests of a service, and its weight for a customer.
struct RegionWeight
{
    std::string region;
    std::uint32_t weight = 0;
};

// Accumulators of one host. Not thread-safe: the caller locks it together with the call.
struct RoutingState
{
    std::map<std::string, ShiftCounters> shifts; // by shift id and service
    std::map<std::string, std::uint64_t> spread; // requests spread over regions, by service and arrival region
    std::map<std::string, std::vector<RegionWeight>> regions; // by service and customer, of this revision
    Revision revision = 0; // of the view when ended shifts and regions were last dropped
};

struct RouteRequest
{
    std::string service;
    std::string customer;
    std::string region; // where the request arrived
};

struct RouteChoice
{
    std::string region;
    std::string shift; // shift that moves the request here, empty if none; takes a token of its resource
    bool crossRegion = false; // the body uses the link from the arrival region

    bool operator==(const RouteChoice &) const = default;
};

// Running and waiting requests of a pool as a multiple of its slots. A figure counts less the older it is and not at
// all from 5 s on; without one the result is 0.5, neither good nor bad.
double poolUtilization(const proto::PoolLoad *load);

// Free part of a pool, 0 (no free slot reported) to 1 (idle), weighed by age in the same way.
double poolHeadroom(const proto::PoolLoad *load);

// Regions to try, best first; empty when no region may take the request. `loads` are the pools' last known loads with
// their ages at `now`; `splits` is updated by the shifts that apply. The own region comes first unless it takes no work
// or its queue approaches the number of its slots while others have free ones; a growing part of its requests then goes
// to the others, shared by weight and headroom. It is also the last choice after others, since a request waits for the
// last one until its deadline, and a lease at home holds its slot for the shortest time. A shift
// applies to requests whose first choice is its source region, in every state but cancelled; while an operator's shift
// is in force, its target takes no spill-over from its source.
std::vector<RouteChoice> routeRegions(const RouteRequest &request, const View &view,
                                      const std::vector<proto::PoolLoad> &loads, RoutingState &splits, Time now);

} // namespace banyanledge
