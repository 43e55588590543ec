// Spill-over: the fraction of a region's requests for a service that is sent to other regions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Spill-over state of one service in one region, on one of the region's hosts.
struct SpillState
{
    double fraction = 0; // of the requests, sent to other regions
    bool initialized = false;
    Time updated{};
};

// Input of updateSpill().
struct SpillInput
{
    double homeSlots = 0; // of the region's servers that accept requests
    double allSlots = 0; // of the servers of all regions
    std::size_t regions = 1; // number of regions that have callers
    double homeLoad = 0; // estimated requests per slot in the region
    double otherLoad = 0; // estimated requests per slot in the other regions
    double maxChangePerSecond = 0.05; // of the fraction
};

// Moves the fraction towards what the region can't run itself, by at most `maxChangePerSecond`. The initial value
// follows from the slots alone.
void updateSpill(SpillState &spill, const SpillInput &input, Time now);

} // namespace banyanledge
