#include "control/shifts.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// An evacuation may move all requests; the headroom of the other regions limits it further.
constexpr double failoverCap = 1.0;

double utilization(const proto::PoolLoad &load)
{
    const double used = static_cast<double>(load.in_use()) + static_cast<double>(load.waiting());
    return load.slots() == 0 ? 1 : used / load.slots();
}

// Returns the load of the busiest pool of a service in a region, or of all services for "*", with the highest error
// rate, lowest cache warmth and greatest age of all these pools.
std::optional<proto::PoolLoad> worstLoad(const std::string &service, const std::string &region,
                                         const std::vector<proto::PoolLoad> &loads)
{
    std::optional<proto::PoolLoad> worst;
    for (const auto &load : loads) {
        if (load.region() != region || (service != "*" && load.service() != service)) {
            continue;
        }
        if (!worst) {
            worst = load;
            continue;
        }
        const proto::PoolLoad previous = *worst;
        if (utilization(load) > utilization(previous)) {
            worst = load;
        }
        worst->set_error_rate(std::max(previous.error_rate(), load.error_rate()));
        worst->set_warm(std::min(previous.warm(), load.warm()));
        worst->set_age_ms(std::max(previous.age_ms(), load.age_ms()));
    }
    return worst;
}

bool isActive(const proto::Shift &shift)
{
    return shift.state() == proto::SHIFT_RUNNING || shift.state() == proto::SHIFT_PAUSED;
}

// Returns when this leader first saw the current step of the shift, which it records if the step is new.
Time stepSince(const proto::Shift &shift, ShiftStepTimes &stepTimes, Time now)
{
    const auto [found, added] =
        stepTimes.steps.try_emplace(shift.id(), ShiftStepTimes::ObservedStep{shift.step(), now});
    if (!added && found->second.step != shift.step()) {
        found->second = {shift.step(), now};
    }
    return found->second.since;
}

// Whether the region has pools and all of them have failed according to their loads.
bool allPoolsFail(const std::string &region, const TableObjects &objects, const std::vector<proto::PoolLoad> &loads)
{
    std::set<std::string> services;
    for (const auto &[id, server] : objects.servers) {
        if (server.region() == region) {
            services.insert(server.service());
        }
    }
    return !services.empty() && std::all_of(services.begin(), services.end(), [&](const std::string &service) {
        return std::any_of(loads.begin(), loads.end(), [&](const proto::PoolLoad &load) {
            return load.service() == service && load.region() == region && poolFailed(load);
        });
    });
}

bool allEntryHostsGone(const std::string &region, const TableObjects &objects)
{
    bool any = false;
    for (const auto &[id, member] : objects.members) {
        if (member.entry() && member.region() == region) {
            if (member.state() != proto::MEMBER_GONE) {
                return false;
            }
            any = true;
        }
    }
    return any;
}

} // namespace

std::set<std::string> failedRegions(const TableObjects &objects, const std::vector<proto::PoolLoad> &loads)
{
    std::set<std::string> regions;
    for (const auto &[id, server] : objects.servers) {
        regions.insert(server.region());
    }
    std::erase_if(regions, [&](const std::string &region) {
        return !allEntryHostsGone(region, objects) && !allPoolsFail(region, objects, loads);
    });
    return regions;
}

std::vector<proto::PoolLoad> markFailedRegions(std::vector<proto::PoolLoad> loads, const std::set<std::string> &failed)
{
    for (auto &load : loads) {
        if (failed.contains(load.region())) {
            load.set_error_rate(1);
        }
    }
    return loads;
}

ShiftMeasurements measureShift(const proto::Shift &shift, const std::vector<proto::PoolLoad> &loads,
                               const FleetLoads &fleet, Time now)
{
    ShiftMeasurements measurements;
    measurements.source = worstLoad(shift.service(), shift.from_region(), loads);
    measurements.target = worstLoad(shift.service(), shift.to_region(), loads);
    measurements.link = linkUtilization(fleet, shift.from_region(), shift.to_region(), now);
    return measurements;
}

std::vector<proto::Command> shiftCommands(const TableObjects &objects, const std::vector<proto::PoolLoad> &loads,
                                          const FleetLoads &fleet, ShiftStepTimes &stepTimes, Time now)
{
    std::vector<proto::Command> commands;
    for (const auto &[id, shift] : objects.shifts) {
        if (!isActive(shift)) {
            stepTimes.steps.erase(id);
            continue;
        }
        const Time since = stepSince(shift, stepTimes, now);
        const auto decision = nextShiftStep(shift, measureShift(shift, loads, fleet, now), since, now);
        if (decision.action == ShiftAction::Hold) {
            continue;
        }
        proto::Command command = systemCommand();
        auto &advance = *command.mutable_advance_shift();
        advance.set_id(id);
        advance.set_from_step(shift.step());
        advance.set_step(decision.step);
        advance.set_state(decision.state);
        advance.set_reason(decision.reason);
        commands.push_back(command);
    }
    return commands;
}

std::vector<proto::Command> failoverCommands(const std::set<std::string> &failed, const View &view,
                                             const std::vector<proto::PoolLoad> &loads)
{
    std::vector<proto::Command> commands;
    for (const auto &load : loads) {
        if (!failed.contains(load.region())) {
            continue;
        }
        for (const auto &shift : failoverShifts(load.service(), load.region(), failoverCap, view, loads)) {
            proto::Command command = systemCommand();
            *command.mutable_start_shift()->mutable_shift() = shift;
            commands.push_back(command);
        }
    }
    return commands;
}

} // namespace banyanledge
