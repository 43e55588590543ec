#include "decide/spill.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Load of the region, in requests for each slot, above which more requests leave it and below which they return.
constexpr double highLoad = 0.85;
constexpr double lowLoad = 0.55;

// Part of its equal share of all requests for which a region has enough slots if it has its equal share of the slots.
// Objects that are warm take less than the slots suggest.
constexpr double roomFactor = 1.4;

// Largest part that leaves a region that still has servers.
constexpr double largestPart = 0.9;

} // namespace

void updateSpill(SpillState &spill, const SpillInput &input, Time now)
{
    const double equal = input.allSlots / static_cast<double>(std::max<std::size_t>(input.regions, 1));
    const double base = equal > 0 ? std::clamp(1 - roomFactor * input.homeSlots / equal, 0.0, largestPart) : 0;
    if (!spill.started) {
        spill.started = true;
        spill.fraction = base;
        spill.updated = now;
        return;
    }
    const double step = input.maxChangePerSecond * std::chrono::duration<double>(now - spill.updated).count();
    spill.updated = now;
    if (input.homeSlots <= 0) {
        return; // everything leaves in any case
    }
    if (input.homeLoad > highLoad && input.otherLoad < input.homeLoad) {
        spill.fraction = std::min(largestPart, spill.fraction + step);
    } else if (input.homeLoad < lowLoad) {
        spill.fraction = std::max(0.0, spill.fraction - step);
    }
}

} // namespace banyanledge
