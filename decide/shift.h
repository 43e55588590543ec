// Decisions on the next step of a traffic shift and on the shifts that evacuate a failed region.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/view.h"

namespace banyanledge
{

// Input for the decision on a step. The loads carry their age at the time of the decision.
struct ShiftMeasurements
{
    std::optional<proto::PoolLoad> source;
    std::optional<proto::PoolLoad> target;
    std::optional<double> link; // utilization of the link from source to target, 0 to 1
};

// What to do with a shift.
enum class ShiftAction {
    Hold, // nothing changes
    Advance, // increase the step
    Pause, // keep the step and record the reason
    StepBack, // reduce the step
    Finish, // the cap is reached, or a failover has returned all requests
};

// Step and state to propose for the shift; those in force for Hold.
struct ShiftDecision
{
    ShiftAction action = ShiftAction::Hold;
    double step = 0; // fraction of the source's requests
    proto::ShiftState state = proto::SHIFT_RUNNING;
    std::string reason;

    bool operator==(const ShiftDecision &) const = default;
};

// Decides the next step of a shift. A shift that is done or cancelled is held. `stepSince` is when the step in force
// was set, or when this leader first saw it. A step grows by at most a tenth of the cap or 0.05, whichever is larger,
// while the target, the link and the caches can take it; a failover grows by a quarter of its cap. An overloaded target
// or link reduces the step. A missing or outdated load of the target pauses the shift.
ShiftDecision nextShiftStep(const proto::Shift &shift, const ShiftMeasurements &measurements, Time stepSince, Time now);

// Whether a pool has failed and its requests should be evacuated: no slot is usable or at least half of the requests
// fail. False for an outdated load.
bool poolFailed(const proto::PoolLoad &load);

// Shifts that evacuate a service from a failed region, one to each region with headroom, sized so that their targets
// stay below the utilization at which nextShiftStep() stops advancing. `cap` bounds the sum of their caps. Empty if the
// region has not failed, no other region can take requests, or a failover of the service from this region exists.
std::vector<proto::Shift> failoverShifts(const std::string &service, const std::string &region, double cap,
                                         const View &view, const std::vector<proto::PoolLoad> &loads);

} // namespace banyanledge
