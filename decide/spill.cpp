#include "decide/spill.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Load of the region, in requests per slot, above which the fraction grows and below which it shrinks.
constexpr double highLoad = 0.85;
constexpr double lowLoad = 0.55;

// Capacity of a region relative to its slots. It is above 1 because requests for cached objects need less capacity than
// the slots suggest; a region with an equal share of the slots can serve this multiple of an equal share of the
// requests.
constexpr double capacityFactor = 1.4;

// Largest fraction that leaves a region that still has servers.
constexpr double maxFraction = 0.9;

} // namespace

void updateSpill(SpillState &spill, const SpillInput &input, Time now)
{
    const double equalSlots = input.allSlots / static_cast<double>(std::max<std::size_t>(input.regions, 1));
    const double initialFraction =
        equalSlots > 0 ? std::clamp(1 - capacityFactor * input.homeSlots / equalSlots, 0.0, maxFraction) : 0;
    if (!spill.initialized) {
        spill.initialized = true;
        spill.fraction = initialFraction;
        spill.updated = now;
        return;
    }
    const double maxChange = input.maxChangePerSecond * std::chrono::duration<double>(now - spill.updated).count();
    spill.updated = now;
    if (input.homeSlots <= 0) {
        return; // all requests leave in any case
    }
    if (input.homeLoad > highLoad && input.otherLoad < input.homeLoad) {
        spill.fraction = std::min(maxFraction, spill.fraction + maxChange);
    } else if (input.homeLoad < lowLoad) {
        spill.fraction = std::max(0.0, spill.fraction - maxChange);
    }
}

} // namespace banyanledge
