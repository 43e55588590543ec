// Tests the cap of a shift, the conditions for its steps, and the evacuation of a failed region.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>

#include "decide/route.h"
#include "decide/shift.h"

using namespace banyanledge;

namespace
{

constexpr std::uint64_t seed = 20261204;

template<typename Testable>
bool holds(const std::string &description, Testable testable)
{
    rc::detail::TestMetadata metadata;
    metadata.description = description;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 300;
    params.maxSize = 400;
    const auto result = rc::detail::checkTestable(testable, metadata, params);
    if (!result.template is<rc::detail::SuccessResult>()) {
        rc::detail::printResultMessage(result, std::cerr);
        return false;
    }
    return true;
}

proto::PoolLoad load(const std::string &region, std::uint32_t busy, double errors = 0, double warm = 1)
{
    proto::PoolLoad result;
    result.set_service("films");
    result.set_region(region);
    result.set_slots(100);
    result.set_in_use(busy);
    result.set_error_rate(errors);
    result.set_warm(warm);
    return result;
}

proto::Shift shiftOf(double cap, double step)
{
    proto::Shift shift;
    shift.set_id("move");
    shift.set_service("films");
    shift.set_from_region("north");
    shift.set_to_region("south");
    shift.set_cap(cap);
    shift.set_step(step);
    return shift;
}

// A table with one shift that a leader changes, hosts that follow it late, and the counts of what they moved.
class ShiftModel
{
public:
    explicit ShiftModel(double cap)
    {
        proto::TableContent content;
        for (const char *region : {"north", "south"}) {
            proto::Server *server = content.add_servers();
            server->set_id(region);
            server->set_service("films");
            server->set_region(region);
        }
        *content.add_shifts() = shiftOf(cap, 0);
        content.set_revision(1);
        m_views.push_back(View::next(View(), content, true));
    }

    void request(std::size_t index)
    {
        Host &host = m_hosts[index % m_hosts.size()];
        const View &view = *m_views[host.view];
        const auto choices = routeRegions({"films", "archive", "north"}, view, {}, host.state, m_now);
        const double cap = view.shifts().at("move").cap();
        ++host.seen;
        host.moved += choices.front().shift.empty() ? 0 : 1;
        RC_ASSERT((choices.front().region == "south") == !choices.front().shift.empty());
        RC_ASSERT(static_cast<double>(host.moved) <= std::floor((cap * static_cast<double>(host.seen)) + 1e-9));
    }

    // The host advances its view by up to `revisions`, at most to the newest.
    void sync(std::size_t index, std::size_t revisions)
    {
        Host &host = m_hosts[index % m_hosts.size()];
        host.view = std::min(m_views.size() - 1, host.view + revisions);
    }

    // The current leader decides on the given load and commits the step.
    void decide(unsigned busy, unsigned errors)
    {
        m_now += milliseconds(700);
        const proto::Shift &shift = m_views.back()->shifts().at("move");
        const ShiftMeasurements measurements{load("north", 50), load("south", busy % 180, errors % 15 * 0.01), 0.1};
        const ShiftDecision decision = nextShiftStep(shift, measurements, m_stepSince, m_now);
        if (decision.action == ShiftAction::Hold) {
            return;
        }
        RC_ASSERT(decision.step <= shift.cap());
        RC_ASSERT(decision.step <= shift.step() + std::max(0.1 * shift.cap(), 0.05) + 1e-12);
        m_stepSince = decision.step != shift.step() ? m_now : m_stepSince;
        proto::TableContent content;
        content.set_revision(m_views.back()->revision() + 1);
        proto::Shift *next = content.add_shifts();
        *next = shift;
        next->set_step(decision.step);
        next->set_state(decision.state);
        next->set_reason(decision.reason);
        m_views.push_back(View::next(*m_views.back(), content, false));
    }

    // A new leader knows the recorded step but not when it was set.
    void changeLeader()
    {
        m_stepSince = m_now;
    }

private:
    struct Host
    {
        std::size_t view = 0;
        RoutingState state;
        std::uint64_t seen = 0;
        std::uint64_t moved = 0;
    };

    std::vector<std::shared_ptr<const View>> m_views;
    std::array<Host, 4> m_hosts;
    Time m_now{std::chrono::hours(1)};
    Time m_stepSince = m_now;
};

} // namespace

// Guards against a cap that holds only on average: a few requests right after a step change must not exceed the cap.
TEST_CASE("moved requests stay within the cap for every prefix, with steps, rollbacks, late hosts and leader changes")
{
    REQUIRE(holds("shift within cap", [] {
        ShiftModel model(*rc::gen::inRange(1, 101) / 100.0);
        const auto operations = *rc::gen::container<std::vector<std::tuple<int, unsigned, unsigned>>>(
            rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U)));
        for (const auto &[kind, first, second] : operations) {
            if (kind < 12) {
                for (unsigned i = 0; i <= second % 8; ++i) {
                    model.request(first);
                }
            } else if (kind < 17) {
                model.decide(kind < 16 ? first % 80 : first, kind < 16 ? 0 : second);
            } else if (kind < 19) {
                model.sync(first, second % 4);
            } else {
                model.changeLeader();
            }
        }
    }));
}

// Guards against requests that reach the target as spill-over in addition to those that the shift moves.
TEST_CASE("a full source does not spill to the target of a shift beyond its cap")
{
    proto::TableContent content;
    for (const char *region : {"north", "south", "west"}) {
        proto::Server *server = content.add_servers();
        server->set_id(region);
        server->set_service("films");
        server->set_region(region);
    }
    *content.add_shifts() = shiftOf(0.1, 0.1);
    content.set_revision(1);
    const auto view = View::next(View(), content, true);
    auto full = load("north", 100);
    full.set_waiting(900);
    RoutingState state;
    int first = 0;
    int offered = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto choices = routeRegions({"films", "archive", "north"}, *view,
                                          {full, load("south", 0), load("west", i % 2 * 100)}, state, Time{});
        first += choices.front().region == "south" ? 1 : 0;
        for (const RouteChoice &choice : choices) {
            offered += choice.region == "south" ? 1 : 0;
        }
    }
    REQUIRE(first > 0);
    REQUIRE(first <= 100);
    REQUIRE(offered <= 100);
}

TEST_CASE("a step waits for the minimum step time, headroom, link, errors and caches, and says why")
{
    const Time now{std::chrono::hours(1)};
    const Time before = now - std::chrono::seconds(3);
    const proto::Shift shift = shiftOf(0.4, 0.08);
    const auto decide = [&](const std::optional<proto::PoolLoad> &target, double link, Time since) {
        return nextShiftStep(shift, {load("north", 50), target, link}, since, now);
    };
    const auto advance = decide(load("south", 50), 0.5, before);
    REQUIRE(advance.action == ShiftAction::Advance);
    REQUIRE(advance.step == Approx(0.13));
    REQUIRE(decide(load("south", 50), 0.5, now).action == ShiftAction::Hold);
    REQUIRE(decide(load("south", 80), 0.5, before).reason.find("headroom") != std::string::npos);
    REQUIRE(decide(load("south", 50), 0.8, before).reason.find("link") != std::string::npos);
    REQUIRE(decide(load("south", 50, 0.02), 0.5, before).reason.find("error rate") != std::string::npos);
    REQUIRE(decide(load("south", 50, 0, 0.5), 0.5, before).reason.find("caches") != std::string::npos);
    REQUIRE(decide(std::nullopt, 0.5, before).action == ShiftAction::Pause);
    auto old = load("south", 50);
    old.set_age_ms(2001);
    REQUIRE(decide(old, 0.5, before).action == ShiftAction::Pause);
    // Full slots hold the shift, a queue of half of the slots sends it back.
    REQUIRE(decide(load("south", 149), 0.5, before).action == ShiftAction::Pause);
    const auto back = decide(load("south", 150), 0.5, before);
    REQUIRE(back.action == ShiftAction::StepBack);
    REQUIRE(back.step == Approx(0.03));
    REQUIRE(decide(load("south", 150), 0.5, now).action == ShiftAction::Pause);
}

// Guards against requests that fail during an unnecessary minimum step time, and against a step back to 0 that is
// undone at once.
TEST_CASE("the first step of a failover needs no minimum step time, other steps do")
{
    const Time now{std::chrono::hours(1)};
    const ShiftMeasurements measurements{load("north", 50, 0.9), load("south", 50), 0.1};
    proto::Shift shift = shiftOf(0.4, 0);
    REQUIRE(nextShiftStep(shift, measurements, now, now).action == ShiftAction::Hold);
    shift.set_failover(true);
    const auto first = nextShiftStep(shift, measurements, now, now);
    REQUIRE(first.action == ShiftAction::Advance);
    REQUIRE(first.step == Approx(0.1));
    shift.set_step(first.step);
    REQUIRE(nextShiftStep(shift, measurements, now, now + milliseconds(999)).action == ShiftAction::Hold);
    REQUIRE(nextShiftStep(shift, measurements, now, now + milliseconds(1000)).action == ShiftAction::Advance);
    shift.set_step(0);
    shift.set_state(proto::SHIFT_PAUSED);
    REQUIRE(nextShiftStep(shift, measurements, now, now).action == ShiftAction::Hold);
}

TEST_CASE("a shift that is done or cancelled stays as it is")
{
    proto::Shift shift = shiftOf(0.4, 0.4);
    const Time now{std::chrono::hours(1)};
    const auto done = nextShiftStep(shift, {load("north", 50), load("south", 50), 0.1}, Time{}, now);
    REQUIRE(done.action == ShiftAction::Finish);
    REQUIRE(done.state == proto::SHIFT_DONE);
    shift.set_state(done.state);
    REQUIRE(nextShiftStep(shift, {load("north", 50), load("south", 100), 0.1}, Time{}, now).action
            == ShiftAction::Hold);
}

TEST_CASE("a failed region is evacuated to regions with headroom, within the cap, and comes back in steps")
{
    const Time now{std::chrono::hours(1)};
    const View view;
    const std::vector<proto::PoolLoad> loads{load("north", 60, 0.9), load("south", 60), load("west", 70),
                                             load("east", 95)};
    const auto shifts = failoverShifts("films", "north", 0.8, view, loads);
    REQUIRE(shifts.size() == 2);
    double sum = 0;
    for (const proto::Shift &shift : shifts) {
        REQUIRE(shift.to_region() != "east");
        sum += shift.cap();
    }
    REQUIRE(sum <= 0.8);
    // Spare slots below the limit for an advance are 20 and 10 of a demand of 60.
    REQUIRE(sum == Approx(0.5));
    REQUIRE(failoverShifts("films", "south", 0.8, view, loads).empty());

    proto::Shift shift = shifts.front();
    shift.set_step(shift.cap());
    const auto back = nextShiftStep(shift, {load("north", 10), load("south", 50), 0.1}, Time{}, now);
    REQUIRE(back.action == ShiftAction::StepBack);
    shift.set_step(0.01);
    const auto done = nextShiftStep(shift, {load("north", 10), load("south", 50), 0.1}, Time{}, now);
    REQUIRE(done.state == proto::SHIFT_DONE);
    REQUIRE(done.step == 0);
}
