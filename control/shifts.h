// Decisions of the leader on the progress of traffic shifts and on the evacuation of failed regions. The functions do
// no I/O.
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

// When the leader first saw the current step of each shift. A new leader continues at the recorded step, but counts the
// time from when it first saw it.
struct ShiftStepTimes
{
    struct ObservedStep
    {
        double step = 0;
        Time since{};
    };
    std::map<std::string, ObservedStep> steps; // by shift id
};

// Returns the regions whose entry hosts are all gone or whose pools have all failed. A region without backend servers
// is left out.
std::set<std::string> failedRegions(const TableObjects &objects, const std::vector<proto::PoolLoad> &loads);

// Sets the error rate of the pools of failed regions to 1, so that a shift away from them does not return early.
std::vector<proto::PoolLoad> markFailedRegions(std::vector<proto::PoolLoad> loads, const std::set<std::string> &failed);

// Returns the loads of the source and the target of a shift. For a shift of all services, each is the load of the
// busiest pool of the region, with the highest error rate, lowest cache warmth and greatest age of all its pools.
ShiftMeasurements measureShift(const proto::Shift &shift, const std::vector<proto::PoolLoad> &loads,
                               const FleetLoads &fleet, Time now);

// Returns the commands for the next steps of the running and paused shifts.
std::vector<proto::Command> shiftCommands(const TableObjects &objects, const std::vector<proto::PoolLoad> &loads,
                                          const FleetLoads &fleet, ShiftStepTimes &stepTimes, Time now);

// Returns the commands that start shifts away from the failed regions; `view` is the whole table.
std::vector<proto::Command> failoverCommands(const std::set<std::string> &failed, const View &view,
                                             const std::vector<proto::PoolLoad> &loads);

} // namespace banyanledge
