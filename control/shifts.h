// Progress of traffic shifts and evacuation of failed regions, decided by the leader. Functions without I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "control/loads.h"
#include "control/tableobjects.h"
#include "decide/shift.h"

namespace banyanledge
{

// What the leader remembers about steps; a new leader starts at the recorded step with the time when it first saw it.
struct ShiftStepTimes
{
    struct ObservedStep
    {
        double step = 0;
        Time since{};
    };
    std::map<std::string, ObservedStep> steps; // by shift id
};

// Regions without a live entry host, or whose pools all fail. A region without any backend server is not counted.
std::set<std::string> failedRegions(const TableObjects &objects, const std::vector<proto::PoolLoad> &loads);

// Loads in which the pools of failed regions count as failed, so that a shift away from them does not return early.
std::vector<proto::PoolLoad> markFailedRegions(std::vector<proto::PoolLoad> loads, const std::set<std::string> &failed);

// What is known about the two pools of a shift. For a shift of all services the busiest target pool counts, with the
// highest error rate and the coldest cache of all of them.
ShiftMeasurements measureShift(const proto::Shift &shift, const std::vector<proto::PoolLoad> &loads,
                               const FleetLoads &fleet, Time now);

// Next steps of the running shifts.
std::vector<proto::Command> shiftCommands(const TableObjects &objects, const std::vector<proto::PoolLoad> &loads,
                                          const FleetLoads &fleet, ShiftStepTimes &stepTimes, Time now);

// Shifts to start for the failed regions; `view` is the whole table.
std::vector<proto::Command> failoverCommands(const std::set<std::string> &failed, const View &view,
                                             const std::vector<proto::PoolLoad> &loads);

} // namespace banyanledge
