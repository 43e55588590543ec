#include "decide/shift.h"

#include <algorithm>

#include "base/invariant.h"

namespace banyanledge
{

namespace
{

// Largest increase of a step, as a fraction of the cap and of all requests; the larger one counts. A cache warms over
// several steps, and one wrong step costs little. Smaller first steps would warm the caches more slowly: at 3% of a
// region's requests they took half a minute.
constexpr double maxStepOfCap = 0.1;
constexpr double maxStepOfAll = 0.05;

// Step of a failover as a fraction of the cap; larger, because it must not wait for caches while requests fail.
constexpr double failoverStep = 0.25;

// Minimum time in a step. Load reports are up to 800 ms old, so two seconds show the effect of the last step.
constexpr std::chrono::seconds minStepTime{2};
constexpr std::chrono::seconds minFailoverStepTime{1};

// Maximum age of a load report for decisions: five missed reports of 400 ms.
constexpr std::uint64_t maxReportAgeMs = 2000;

// Limits from which a shift does not advance.
constexpr double maxUtilization = 0.8; // requests running and waiting, per slot
constexpr double maxLinkUtilization = 0.8; // used fraction of the link
constexpr double minWarmth = 0.5;
constexpr double maxErrorRate = 0.02;

// Limits from which a shift steps back. They are above the limits for an advance, so that it does not oscillate. Full
// slots alone can be random variation in small pools, a queue of half the slots is not.
constexpr double overloadUtilization = 1.5;
constexpr double overloadLinkUtilization = 0.95;
constexpr double overloadErrorRate = 0.1;

// Error rate from which a pool counts as failed.
constexpr double failedErrorRate = 0.5;

// Error rate at which a failed source counts as recovered. Far below failedErrorRate, so that it does not flap.
constexpr double recoveredErrorRate = 0.02;

double utilizationOf(const proto::PoolLoad &load)
{
    const double busy = static_cast<double>(load.in_use()) + static_cast<double>(load.waiting());
    return load.slots() == 0 ? overloadUtilization : busy / load.slots();
}

bool isRecent(const std::optional<proto::PoolLoad> &load)
{
    return load && load->age_ms() <= maxReportAgeMs;
}

// Reason to step back; empty if there is none.
std::string overloadReason(const ShiftMeasurements &measurements)
{
    if (isRecent(measurements.target) && utilizationOf(*measurements.target) >= overloadUtilization) {
        return "queue of the target is too long";
    }
    if (isRecent(measurements.target) && measurements.target->error_rate() >= overloadErrorRate) {
        return "target fails too many requests";
    }
    if (measurements.link.value_or(0) >= overloadLinkUtilization) {
        return "link to the target is full";
    }
    return {};
}

// Reason not to advance; empty if there is none.
std::string pauseReason(const proto::Shift &shift, const ShiftMeasurements &measurements)
{
    if (!isRecent(measurements.target)) {
        return "no recent figures of the target";
    }
    const proto::PoolLoad &target = *measurements.target;
    if (utilizationOf(target) >= maxUtilization) {
        return "target has too little headroom";
    }
    if (measurements.link.value_or(0) >= maxLinkUtilization) {
        return "link to the target has too little capacity left";
    }
    if (target.error_rate() >= maxErrorRate) {
        return "error rate of the target is too high";
    }
    // A cold cache only warms up with the first step.
    if (!shift.failover() && shift.step() > 0 && target.warm() <= minWarmth) {
        return "caches of the target are cold";
    }
    return {};
}

double increment(const proto::Shift &shift)
{
    return shift.failover() ? failoverStep * shift.cap() : std::max(maxStepOfCap * shift.cap(), maxStepOfAll);
}

ShiftDecision stepBack(const proto::Shift &shift, const std::string &reason)
{
    const double step = std::max(0.0, shift.step() - increment(shift));
    return {ShiftAction::StepBack, step, proto::SHIFT_PAUSED, reason};
}

ShiftDecision pause(const proto::Shift &shift, const std::string &reason)
{
    const bool recorded = shift.state() == proto::SHIFT_PAUSED && shift.reason() == reason;
    return {recorded ? ShiftAction::Hold : ShiftAction::Pause, shift.step(), proto::SHIFT_PAUSED, reason};
}

// Decision that returns requests of a failover once its source has recovered; nullopt if it does not apply.
std::optional<ShiftDecision> failbackStep(const proto::Shift &shift, const ShiftMeasurements &measurements)
{
    if (!shift.failover() || !isRecent(measurements.source)) {
        return std::nullopt;
    }
    const proto::PoolLoad &source = *measurements.source;
    if (source.slots() == 0 || source.error_rate() >= recoveredErrorRate) {
        return std::nullopt;
    }
    if (utilizationOf(source) >= maxUtilization && shift.step() > 0) {
        return pause(shift, "source has recovered but has too little headroom to take requests back");
    }
    const double step = shift.step() - std::max(maxStepOfCap * shift.cap(), maxStepOfAll);
    if (step <= 0) {
        return ShiftDecision{ShiftAction::Finish, 0, proto::SHIFT_DONE, "source has recovered"};
    }
    return ShiftDecision{ShiftAction::StepBack, step, proto::SHIFT_RUNNING, "source has recovered"};
}

ShiftDecision decide(const proto::Shift &shift, const ShiftMeasurements &measurements, bool minTimePassed)
{
    const std::string overload = overloadReason(measurements);
    if (!overload.empty() && shift.step() > 0) {
        return minTimePassed ? stepBack(shift, overload) : pause(shift, overload);
    }
    if (!minTimePassed) {
        return {ShiftAction::Hold, shift.step(), shift.state(), shift.reason()};
    }
    if (const auto back = failbackStep(shift, measurements)) {
        return *back;
    }
    const std::string reason = pauseReason(shift, measurements);
    if (!reason.empty()) {
        return pause(shift, reason);
    }
    const double step = std::min(shift.cap(), shift.step() + increment(shift));
    // A failover stays running at its cap, because it has to be undone when the source recovers.
    if (shift.step() >= shift.cap()) {
        return shift.failover() ? ShiftDecision{ShiftAction::Hold, shift.step(), shift.state(), shift.reason()}
                                : ShiftDecision{ShiftAction::Finish, shift.step(), proto::SHIFT_DONE, "cap reached"};
    }
    return {ShiftAction::Advance, step, proto::SHIFT_RUNNING, {}};
}

} // namespace

ShiftDecision nextShiftStep(const proto::Shift &shift, const ShiftMeasurements &measurements, Time stepSince, Time now)
{
    if (shift.state() == proto::SHIFT_DONE || shift.state() == proto::SHIFT_CANCELLED) {
        return {ShiftAction::Hold, shift.step(), shift.state(), shift.reason()};
    }
    // A failover's first step needs no minimum time, because no earlier step has to take effect. After a step back to 0
    // the state is paused, so this does not apply.
    const bool first = shift.failover() && shift.step() <= 0 && shift.state() == proto::SHIFT_RUNNING;
    const Duration minTime = shift.failover() ? minFailoverStepTime : minStepTime;
    ShiftDecision decision = decide(shift, measurements, first || now - stepSince >= minTime);
    BL_INVARIANT(decision.step <= std::max(shift.cap(), shift.step()), "shift_step_within_cap");
    return decision;
}

bool poolFailed(const proto::PoolLoad &load)
{
    return load.age_ms() <= maxReportAgeMs && (load.slots() == 0 || load.error_rate() >= failedErrorRate);
}

namespace
{

// Concurrent requests that a region can take before it reaches the limit for an advance.
double spareSlots(const proto::PoolLoad &load)
{
    const double busy = static_cast<double>(load.in_use()) + static_cast<double>(load.waiting());
    return std::max(0.0, (maxUtilization * load.slots()) - busy);
}

bool failoverExists(const std::string &service, const std::string &region, const View &view)
{
    return std::any_of(view.shifts().begin(), view.shifts().end(), [&](const auto &entry) {
        const proto::Shift &shift = entry.second;
        const bool open = shift.state() == proto::SHIFT_RUNNING || shift.state() == proto::SHIFT_PAUSED;
        return open && shift.failover() && shift.service() == service && shift.from_region() == region;
    });
}

// The revision distinguishes this failover from earlier ones of the same region.
std::string failoverId(const std::string &service, const std::string &from, const std::string &to, Revision revision)
{
    std::string id = "failover";
    for (const std::string &part : {service, from, to, std::to_string(revision)}) {
        id.append("-").append(part);
    }
    return id;
}

} // namespace

std::vector<proto::Shift> failoverShifts(const std::string &service, const std::string &region, double cap,
                                         const View &view, const std::vector<proto::PoolLoad> &loads)
{
    const proto::PoolLoad *source = nullptr;
    std::vector<const proto::PoolLoad *> targets;
    double spare = 0;
    for (const proto::PoolLoad &load : loads) {
        if (load.service() != service) {
            continue;
        }
        if (load.region() == region) {
            source = &load;
        } else if (load.age_ms() <= maxReportAgeMs && !poolFailed(load) && load.error_rate() < maxErrorRate
                   && view.weight(service, load.region(), "*") > 0 && spareSlots(load) > 0) {
            targets.push_back(&load);
            spare += spareSlots(load);
        }
    }
    if (source == nullptr || !poolFailed(*source) || targets.empty() || failoverExists(service, region, view)) {
        return {};
    }
    // Concurrent requests of the failed region; without servers only its queue is visible.
    const double demand = std::max(1.0, static_cast<double>(source->in_use()) + source->waiting());
    const double moved = std::min({1.0, cap, spare / demand});
    std::vector<proto::Shift> shifts;
    for (const proto::PoolLoad *target : targets) {
        proto::Shift shift;
        shift.set_id(failoverId(service, region, target->region(), view.revision()));
        shift.set_service(service);
        shift.set_from_region(region);
        shift.set_to_region(target->region());
        shift.set_cap(moved * spareSlots(*target) / spare);
        shift.set_failover(true);
        shift.set_state(proto::SHIFT_RUNNING);
        shift.set_reason("source region failed");
        shifts.push_back(shift);
    }
    return shifts;
}

} // namespace banyanledge
