// Next step of a traffic shift, and the shifts that evacuate a failed region.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/view.h"

namespace banyanledge
{

// What is known when a step is decided. Loads carry their age at the time of the decision.
struct ShiftMeasurements
{
    std::optional<proto::PoolLoad> source;
    std::optional<proto::PoolLoad> target;
    std::optional<double> link; // used fraction of the link from source to target
};

enum class ShiftAction {
    Hold, // nothing changes
    Advance, // a larger step
    Pause, // the step stays and the reason is recorded
    StepBack, // a smaller step
    Finish, // the cap is reached, or a failover has moved everything back
};

// Step and state to propose for the shift; equal to those in force for Hold.
struct ShiftDecision
{
    ShiftAction action = ShiftAction::Hold;
    double step = 0;
    proto::ShiftState state = proto::SHIFT_RUNNING;
    std::string reason;

    bool operator==(const ShiftDecision &) const = default;
};

// Decides the next step of a shift that is neither done nor cancelled. `stepSince` is when the step in force was set,
// or when this leader first saw it. Steps grow by at most a tenth of the cap or 0.05, whichever is larger, while the
// target, the link and the caches can take it; an overloaded target sends the shift a step back. Missing or old figures
// of the target pause it.
ShiftDecision nextShiftStep(const proto::Shift &shift, const ShiftMeasurements &measurements, Time stepSince, Time now);

// Whether a pool fails so badly that its requests should be evacuated: no server takes work or most requests fail.
bool poolFailed(const proto::PoolLoad &load);

// Shifts that evacuate a service from a region that failed, one to each region with headroom, sized so that their
// targets stay below the gate of nextShiftStep. `cap` bounds the sum of their fractions. Empty when the region did not
// fail, when no other region can take requests, or when a failover of the service from this region exists.
std::vector<proto::Shift> failoverShifts(const std::string &service, const std::string &region, double cap,
                                         const View &view, const std::vector<proto::PoolLoad> &loads);

} // namespace banyanledge
