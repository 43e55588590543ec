#include "decide/route.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace banyanledge
{

namespace
{

// Age from which a load report is ignored; reports come every 400 ms, so a dozen have been lost by then.
constexpr double maxReportAgeMs = 5000;

// Headroom assumed for a pool without a usable report.
constexpr double unknownHeadroom = 0.5;

// The arrival region keeps all its requests while its running and waiting requests are at most spillUtilization times
// its slots, and a shrinking part up to maxUtilization. A lease in another region holds its slot for two more round
// trips between regions, so leaving a short queue costs the fleet more than waiting in it. The part shrinks gradually
// so that hosts do not all leave at once on the same delayed report.
constexpr double spillUtilization = 3.0;
constexpr double maxUtilization = 6.0;

// Free fraction of another region's pool that spill-over does not use, for the longer leases and for that region's own
// requests. Without it, regions that are all busy spill into each other until none can serve its own.
constexpr double spillReserve = 0.3;

// Credit that one moved request costs, as double and as integer. Credits are summed as integers, because sums of
// doubles can round above the cap.
constexpr double creditsPerRequest = 4294967296.0;
constexpr std::uint64_t requestCredit = 1ULL << 32U;

// The counters restart at this number of moved requests, because moved x requestCredit has to fit into 64 bits.
constexpr std::uint64_t maxMovedCount = 1ULL << 30U;

// Maximum number of cached entries in `regions`, about 200 bytes each.
constexpr std::size_t maxCachedRegions = 4096;

// Fractional part of the golden ratio in units of 2^-64: its multiples fill 0 to 1 evenly for any length of sequence.
constexpr std::uint64_t goldenStep = 0x9E3779B97F4A7C15ULL;

struct Candidate
{
    std::string region;
    double weight = 0;
    double headroom = 0; // free fraction
    double spare = 0; // free fraction that spill-over may use
    double utilization = 0; // running and waiting requests, as a multiple of the slots
    bool isArrivalRegion = false;
};

bool acceptsRequests(const View &view, const std::string &service, const std::string &region)
{
    const auto servers = view.serversOf(service, region);
    return std::any_of(servers.begin(), servers.end(),
                       [](const proto::Server *server) { return !server->leaving() && !server->drained(); });
}

const proto::PoolLoad *findLoad(const std::vector<proto::PoolLoad> &loads, const std::string &service,
                                const std::string &region)
{
    const auto found = std::find_if(loads.begin(), loads.end(), [&](const proto::PoolLoad &load) {
        return load.region() == region && load.service() == service;
    });
    return found != loads.end() ? &*found : nullptr;
}

bool hasArrivalRegion(const std::vector<Candidate> &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [](const Candidate &candidate) { return candidate.isArrivalRegion; });
}

// Regions that accept requests, cached per revision of the view because finding them reads eight rows and all servers.
const std::vector<RegionWeight> &regionsFor(const RouteRequest &request, const View &view, RoutingState &state)
{
    const std::string key = request.service + "\n" + request.customer;
    const auto known = state.regions.find(key);
    if (known != state.regions.end()) {
        return known->second;
    }
    if (state.regions.size() >= maxCachedRegions) {
        state.regions.clear();
    }
    std::vector<RegionWeight> &result = state.regions[key];
    for (const std::string &region : view.regionsOf(request.service)) {
        const std::uint32_t weight = view.weight(request.service, region, request.customer);
        if (weight > 0 && acceptsRequests(view, request.service, region)) {
            result.push_back({region, weight});
        }
    }
    return result;
}

// A shift in force and its step, reduced when the steps of all shifts from a region add up to more than 1.
struct ActiveShift
{
    const proto::Shift *shift = nullptr;
    double step = 0;
};

std::vector<ActiveShift> shiftsFrom(const std::string &service, const std::string &region, const View &view)
{
    std::vector<ActiveShift> result;
    double sum = 0;
    for (const auto &[id, shift] : view.shifts()) {
        if (shift.state() == proto::SHIFT_CANCELLED || shift.from_region() != region
            || (shift.service() != service && shift.service() != "*")) {
            continue;
        }
        const double step = std::clamp(std::min(shift.step(), shift.cap()), 0.0, 1.0);
        if (step > 0) {
            result.push_back({&shift, step});
            sum += step;
        }
    }
    for (ActiveShift &active : result) {
        active.step /= std::max(1.0, sum);
    }
    return result;
}

// Sets the spare capacity of the targets of operators' shifts to 0. Spill-over must not move further requests there:
// the caller cannot tell them from the shifted ones, and the cap bounds what arrives there from the source.
void excludeShiftTargets(std::vector<Candidate> &candidates, const RouteRequest &request, const View &view)
{
    for (const ActiveShift &active : shiftsFrom(request.service, request.region, view)) {
        for (Candidate &candidate : candidates) {
            if (candidate.region == active.shift->to_region() && !active.shift->failover()) {
                candidate.spare = 0;
            }
        }
    }
}

std::vector<Candidate> candidatesOf(const RouteRequest &request, const View &view,
                                    const std::vector<proto::PoolLoad> &loads, RoutingState &state)
{
    std::vector<Candidate> result;
    for (const auto &[region, weight] : regionsFor(request, view, state)) {
        const proto::PoolLoad *load = findLoad(loads, request.service, region);
        const double headroom = poolHeadroom(load);
        result.push_back(
            {region, static_cast<double>(weight), headroom, headroom, poolUtilization(load), region == request.region});
    }
    if (hasArrivalRegion(result)) {
        for (Candidate &candidate : result) {
            candidate.spare =
                candidate.isArrivalRegion ? candidate.headroom : std::max(0.0, candidate.headroom - spillReserve);
        }
        excludeShiftTargets(result, request, view);
    }
    return result;
}

// Next value in [0, 1) of an evenly distributed sequence; each host has its own per service and arrival region.
double nextSample(RoutingState &state, const RouteRequest &request)
{
    std::uint64_t &count = state.spreadCounts[poolResource(request.service, request.region)];
    ++count;
    return static_cast<double>((count * goldenStep) >> 11U) * 0x1.0p-53;
}

// Fraction of requests for each candidate: the arrival region gets what it can take, the others get the rest in
// proportion to weight and spare capacity.
std::vector<double> sharesOf(const std::vector<Candidate> &candidates)
{
    std::vector<double> shares(candidates.size(), 0);
    const bool anySpare =
        std::any_of(candidates.begin(), candidates.end(), [](const Candidate &c) { return c.spare > 0; });
    double others = 0;
    std::size_t arrival = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        arrival = candidates[i].isArrivalRegion ? i : arrival;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (i != arrival && (candidates[i].spare > 0 || arrival == candidates.size())) {
            shares[i] = candidates[i].weight * (anySpare ? candidates[i].spare : 1);
            others += shares[i];
        }
    }
    double kept = 0;
    if (arrival < candidates.size()) {
        const double part = (maxUtilization - candidates[arrival].utilization) / (maxUtilization - spillUtilization);
        kept = others > 0 ? std::clamp(part, 0.0, 1.0) : 1;
        shares[arrival] = kept;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (i != arrival && others > 0) {
            shares[i] *= (1 - kept) / others;
        }
    }
    return shares;
}

std::size_t pickRegion(const std::vector<double> &shares, double point)
{
    std::size_t last = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (shares[i] <= 0) {
            continue;
        }
        last = i;
        point -= shares[i];
        if (point < 0) {
            break;
        }
    }
    return last;
}

// Orders the fallbacks after the first choice: the arrival region, then by weight and spare capacity; regions without
// spare capacity come last.
void orderCandidates(std::vector<Candidate> &candidates, std::size_t first)
{
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first),
                candidates.begin() + static_cast<std::ptrdiff_t>(first) + 1);
    std::stable_sort(candidates.begin() + 1, candidates.end(), [](const Candidate &a, const Candidate &b) {
        if ((a.spare > 0) != (b.spare > 0)) {
            return a.spare > 0;
        }
        if (a.isArrivalRegion != b.isArrivalRegion) {
            return a.isArrivalRegion;
        }
        return a.weight * a.spare > b.weight * b.spare;
    });
}

// Counts the request in every shift whose source is the first candidate. If one of them moves the request, puts its
// target first and returns the shift; returns nullptr otherwise.
const proto::Shift *applyShifts(const RouteRequest &request, const View &view, std::vector<Candidate> &candidates,
                                RoutingState &state)
{
    const double sourceHeadroom = candidates.front().headroom;
    ShiftCounters *chosen = nullptr;
    const proto::Shift *moving = nullptr;
    std::size_t target = 0;
    for (const ActiveShift &active : shiftsFrom(request.service, candidates.front().region, view)) {
        ShiftCounters &counters = state.shifts[active.shift->id() + "\n" + request.service];
        const auto credit = static_cast<std::uint64_t>(active.step * creditsPerRequest);
        if (counters.moved >= maxMovedCount) {
            counters = {counters.credit, counters.credit, 0, 0};
        }
        ++counters.seen;
        counters.granted += credit;
        // Unused credit is limited to one request, so that no burst follows.
        counters.credit = std::min(counters.credit + credit, requestCredit + credit);
        const auto found = std::find_if(candidates.begin(), candidates.end(), [&active](const Candidate &candidate) {
            return candidate.region == active.shift->to_region();
        });
        const bool usable = found != candidates.end() && (found->headroom > 0 || sourceHeadroom <= 0);
        if (usable && counters.credit >= requestCredit && (chosen == nullptr || counters.credit > chosen->credit)) {
            chosen = &counters;
            moving = active.shift;
            target = static_cast<std::size_t>(found - candidates.begin());
        }
    }
    if (chosen != nullptr) {
        chosen->credit -= requestCredit;
        ++chosen->moved;
        BL_INVARIANT(chosen->moved * requestCredit <= chosen->granted, "shift_within_cap");
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(target),
                    candidates.begin() + static_cast<std::ptrdiff_t>(target) + 1);
    }
    return moving;
}

// Removes the cached regions of an earlier revision and the counters of shifts that no longer exist.
void dropOutdated(RoutingState &state, const View &view)
{
    if (state.revision == view.revision()) {
        return;
    }
    state.revision = view.revision();
    state.regions.clear();
    std::erase_if(state.shifts, [&view](const auto &entry) {
        const auto found = view.shifts().find(entry.first.substr(0, entry.first.rfind('\n')));
        return found == view.shifts().end() || found->second.state() == proto::SHIFT_CANCELLED;
    });
}

} // namespace

double poolUtilization(const proto::PoolLoad *load)
{
    if (load == nullptr || static_cast<double>(load->age_ms()) >= maxReportAgeMs) {
        return 1 - unknownHeadroom;
    }
    const double busy = static_cast<double>(load->in_use()) + static_cast<double>(load->waiting());
    const double utilization = load->slots() > 0 ? busy / load->slots() : maxUtilization;
    const double trust = 1 - (static_cast<double>(load->age_ms()) / maxReportAgeMs);
    return (trust * utilization) + ((1 - trust) * (1 - unknownHeadroom));
}

double poolHeadroom(const proto::PoolLoad *load)
{
    const bool known = load != nullptr && static_cast<double>(load->age_ms()) < maxReportAgeMs;
    const bool full = known && load->in_use() + load->waiting() >= load->slots();
    return full ? 0 : std::max(0.0, 1 - poolUtilization(load));
}

std::vector<RouteChoice> routeRegions(const RouteRequest &request, const View &view,
                                      const std::vector<proto::PoolLoad> &loads, RoutingState &state, Time /*now*/)
{
    dropOutdated(state, view);
    std::vector<Candidate> candidates = candidatesOf(request, view, loads, state);
    if (candidates.empty()) {
        return {};
    }
    const std::vector<double> shares = sharesOf(candidates);
    const bool spreads = *std::max_element(shares.begin(), shares.end()) < 1;
    orderCandidates(candidates, pickRegion(shares, spreads ? nextSample(state, request) : 0));
    const proto::Shift *moving = applyShifts(request, view, candidates, state);
    const bool hasArrival = hasArrivalRegion(candidates);
    std::vector<RouteChoice> result;
    for (const Candidate &candidate : candidates) {
        // Waiting in the arrival region is cheaper than waiting in another full region.
        if (!result.empty() && hasArrival && !candidate.isArrivalRegion && candidate.spare <= 0) {
            continue;
        }
        result.push_back({candidate.region, {}, !candidate.isArrivalRegion});
    }
    // A request waits for the last region until its deadline, which is cheapest in the arrival region.
    if (hasArrival && result.back().crossRegion) {
        result.push_back({request.region, {}, false});
    }
    if (moving != nullptr) {
        result.front().shift = moving->id();
    }
    return result;
}

} // namespace banyanledge
