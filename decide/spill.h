// Which part of a region's requests for a service other regions run.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// State of one service in one region, as one of the region's hosts sees it.
struct SpillState
{
    double fraction = 0; // of the requests that go to other regions
    bool started = false;
    Time updated{};
};

struct SpillInput
{
    double homeSlots = 0; // of servers in the region that take work
    double allSlots = 0; // of servers in all regions
    std::size_t regions = 1; // that have callers
    double homeLoad = 0; // estimated requests for each slot in the region
    double otherLoad = 0; // the same in the other regions
    double maxChangePerSecond = 0.05; // largest change of the part in a second
};

// Moves the part towards what the region can't run itself, at most `fastest` a second. The first value follows from the
// slots alone.
void updateSpill(SpillState &spill, const SpillInput &input, Time now);

} // namespace banyanledge
