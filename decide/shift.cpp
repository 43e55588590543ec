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
constexpr double stepOfCap = 0.1;
constexpr double stepOfAll = 0.05;

// A failover must not wait for caches while requests fail, so its steps are larger.
constexpr double failoverStep = 0.25;

// Least time in a step. Load reports are up to 800 ms old, so two seconds show the effect of the last step.
constexpr std::chrono::seconds holdTime{2};
constexpr std::chrono::seconds failoverHold{1};

// Figures older than this (five missed reports of 400 ms) do not justify an advance.
constexpr std::uint64_t oldestFigureMs = 2000;

// Gates for an advance.
constexpr double mostBusy = 0.8; // in use and waiting, of the slots
constexpr double mostLink = 0.8; // used fraction of the link
constexpr double leastWarm = 0.5;
constexpr double mostErrors = 0.02;

// Limits from which the shift goes a step back. Above the gates, so that it does not oscillate around them; full slots
// alone are a matter of chance in small pools, a queue of half the slots is not.
constexpr double overloadBusy = 1.5;
constexpr double overloadLink = 0.95;
constexpr double overloadErrors = 0.1;

// A pool whose requests fail at this rate is of no use to its region.
constexpr double failedErrors = 0.5;

// Error rate at which a failed source counts as recovered. Far below failedErrors, so that it does not flap.
constexpr double recoveredErrors = 0.02;

double busyOf(const proto::PoolLoad &load)
{
    const double busy = static_cast<double>(load.in_use()) + static_cast<double>(load.waiting());
    return load.slots() == 0 ? overloadBusy : busy / load.slots();
}

bool known(const std::optional<proto::PoolLoad> &load)
{
    return load && load->age_ms() <= oldestFigureMs;
}

// Why the target should give back a step; empty when it need not.
std::string overloadReason(const ShiftMeasurements &measurements)
{
    if (known(measurements.target) && busyOf(*measurements.target) >= overloadBusy) {
        return "queue of the target is too long";
    }
    if (known(measurements.target) && measurements.target->error_rate() >= overloadErrors) {
        return "target fails too many requests";
    }
    if (measurements.link.value_or(0) >= overloadLink) {
        return "link to the target is full";
    }
    return {};
}

// Why the shift must not advance; empty when it may.
std::string pauseReason(const proto::Shift &shift, const ShiftMeasurements &measurements)
{
    if (!known(measurements.target)) {
        return "no recent figures of the target";
    }
    const proto::PoolLoad &target = *measurements.target;
    if (busyOf(target) >= mostBusy) {
        return "target has too little headroom";
    }
    if (measurements.link.value_or(0) >= mostLink) {
        return "link to the target has too little capacity left";
    }
    if (target.error_rate() >= mostErrors) {
        return "error rate of the target is too high";
    }
    // The first step is what warms a cold cache.
    if (!shift.failover() && shift.step() > 0 && target.warm() <= leastWarm) {
        return "caches of the target are cold";
    }
    return {};
}

double increment(const proto::Shift &shift)
{
    return shift.failover() ? failoverStep * shift.cap() : std::max(stepOfCap * shift.cap(), stepOfAll);
}

ShiftDecision backwards(const proto::Shift &shift, const std::string &reason)
{
    const double step = std::max(0.0, shift.step() - increment(shift));
    return {ShiftAction::StepBack, step, proto::SHIFT_PAUSED, reason};
}

ShiftDecision pause(const proto::Shift &shift, const std::string &reason)
{
    const bool recorded = shift.state() == proto::SHIFT_PAUSED && shift.reason() == reason;
    return {recorded ? ShiftAction::Hold : ShiftAction::Pause, shift.step(), proto::SHIFT_PAUSED, reason};
}

// Steps a failover back once its source works again.
std::optional<ShiftDecision> returnStep(const proto::Shift &shift, const ShiftMeasurements &measurements)
{
    if (!shift.failover() || !known(measurements.source)) {
        return std::nullopt;
    }
    const proto::PoolLoad &source = *measurements.source;
    if (source.slots() == 0 || source.error_rate() >= recoveredErrors) {
        return std::nullopt;
    }
    if (busyOf(source) >= mostBusy && shift.step() > 0) {
        return pause(shift, "source has recovered but has too little headroom to take requests back");
    }
    const double step = shift.step() - std::max(stepOfCap * shift.cap(), stepOfAll);
    if (step <= 0) {
        return ShiftDecision{ShiftAction::Finish, 0, proto::SHIFT_DONE, "source has recovered"};
    }
    return ShiftDecision{ShiftAction::StepBack, step, proto::SHIFT_RUNNING, "source has recovered"};
}

ShiftDecision decide(const proto::Shift &shift, const ShiftMeasurements &measurements, bool held)
{
    const std::string overload = overloadReason(measurements);
    if (!overload.empty() && shift.step() > 0) {
        return held ? backwards(shift, overload) : pause(shift, overload);
    }
    if (!held) {
        return {ShiftAction::Hold, shift.step(), shift.state(), shift.reason()};
    }
    if (const auto back = returnStep(shift, measurements)) {
        return *back;
    }
    const std::string reason = pauseReason(shift, measurements);
    if (!reason.empty()) {
        return pause(shift, reason);
    }
    const double step = std::min(shift.cap(), shift.step() + increment(shift));
    // A failover stays running at its cap, because it has to go back when the source recovers.
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
    // A failover's first step has no earlier step whose effect has to show; after a step back to 0 the state is paused.
    const bool first = shift.failover() && shift.step() <= 0 && shift.state() == proto::SHIFT_RUNNING;
    const Duration hold = shift.failover() ? failoverHold : holdTime;
    ShiftDecision decision = decide(shift, measurements, first || now - stepSince >= hold);
    BL_INVARIANT(decision.step <= std::max(shift.cap(), shift.step()), "shift_step_within_cap");
    return decision;
}

bool poolFailed(const proto::PoolLoad &load)
{
    return load.age_ms() <= oldestFigureMs && (load.slots() == 0 || load.error_rate() >= failedErrors);
}

namespace
{

// Requests at once that a region can take before the advance gate closes.
double spareSlots(const proto::PoolLoad &load)
{
    const double busy = static_cast<double>(load.in_use()) + static_cast<double>(load.waiting());
    return std::max(0.0, (mostBusy * load.slots()) - busy);
}

bool failoverExists(const std::string &service, const std::string &region, const View &view)
{
    return std::any_of(view.shifts().begin(), view.shifts().end(), [&](const auto &entry) {
        const proto::Shift &shift = entry.second;
        const bool open = shift.state() == proto::SHIFT_RUNNING || shift.state() == proto::SHIFT_PAUSED;
        return open && shift.failover() && shift.service() == service && shift.from_region() == region;
    });
}

// The revision tells this failover from earlier ones of the same region.
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
        } else if (load.age_ms() <= oldestFigureMs && !poolFailed(load) && load.error_rate() < mostErrors
                   && view.weight(service, load.region(), "*") > 0 && spareSlots(load) > 0) {
            targets.push_back(&load);
            spare += spareSlots(load);
        }
    }
    if (source == nullptr || !poolFailed(*source) || targets.empty() || failoverExists(service, region, view)) {
        return {};
    }
    // Requests at once that the failed region had; without servers its queue is all that is left to see.
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
