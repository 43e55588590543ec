// Discrete-event simulation of callers, entry hosts, pools and backend servers for bench_decisions. It runs the
// decision code of the product.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyanledge::bench
{

// Size and network delays of a simulated deployment.
struct Deployment
{
    std::string name;
    double zoneDelayMs = 0; // one way, within a region
    double regionDelayMs = 0; // one way, between regions
    double clientDelayMs = 0; // one way, between a caller and its region
    unsigned minServers = 0; // of a service
    unsigned maxServers = 0;
    unsigned minSlots = 0; // of a server
    unsigned maxSlots = 0;
};

// Event that begins after a third of the simulated time.
enum class Scenario {
    Calm, // none
    Flood, // one customer sends a multiple of its rate until two thirds of the time have passed
    RegionFailure, // all hosts and servers of a region stop
    PartialDrain, // half of the servers of a region are drained
    ShiftToColdRegion, // a shift moves requests to servers whose caches are cold
    StaleLoadReports // load reports arrive late, and stop after two thirds of the time
};

// How requests are admitted and assigned to servers.
enum class Policy {
    Product, // the decisions of the product
    StaticRateSplit, // each host admits an equal share of a customer's rate; otherwise as Product
    RoundRobin, // in turn over the servers of the arrival region, each of which has a queue of its own
    LeastLoaded, // the server of the arrival region with the lowest load according to delayed reports
};

// Counts are in requests unless stated otherwise.
struct ModelResult
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t failed = 0; // lost because a server failed, and not retried
    std::uint64_t unservedWithinRate = 0; // refused or failed although within the customer's rate
    std::uint64_t refusedForRate = 0; // refused by the rate limit, whether or not the customer exceeded it
    std::uint64_t admittedOverRate = 0; // admitted beyond burst + rate x time
    std::uint64_t invariantViolations = 0; // failed BL_INVARIANT checks
    std::uint64_t crossRegion = 0; // attempts sent to a server of another region
    double medianMs = 0;
    double p99Ms = 0;
    double worstP99Ms = 0; // highest 99th percentile of any customer; in a flood, without the flooding customer
    double worstServedShare = 1; // lowest ratio, over the customers, of served requests to those within the rate
    double headroom = 0; // mean of the smallest free fraction of any pool; waiting requests count as used slots
    double overloadedFraction = 0; // of the samples in which a server had more work than slots
    double shiftSeconds = 0; // time until a shift was complete; 0 without one
    std::uint64_t decisionHash = 0; // of the regions tried, the refusals and the servers chosen
};

// Simulates `seconds` of a scenario. Equal arguments give equal results.
ModelResult runModel(const Deployment &deployment, Scenario scenario, Policy policy, std::uint64_t seed,
                     double seconds);

} // namespace banyanledge::bench
