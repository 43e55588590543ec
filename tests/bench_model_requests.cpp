// Request path of the benchmark model: region routing, slot grants, execution and retries. Also load reports and the
// events of the scenarios.
#include <algorithm>
#include <array>

#include "bench_model_state.h"

namespace banyanledge::bench
{

void Model::route(const RequestPtr &request)
{
    Host &host = m_hosts[request->host];
    for (std::size_t i = 0; i < m_loads.size(); ++i) {
        m_loads[i].set_age_ms(static_cast<std::uint64_t>((m_now - m_loadTimes[i]) / milliseconds(1)));
    }
    request->choices =
        routeRegions({serviceNames[request->service], m_customers[request->customer].name, regionNames[host.region]},
                     *m_view, m_loads, host.routingState, m_now);
    acquireSlot(request);
}

// Requests a slot from the pool of the current choice; a refusal moves on to the next choice.
void Model::acquireSlot(const RequestPtr &request)
{
    if (request->choice >= request->choices.size()) {
        finish(request, false);
        return;
    }
    const RouteChoice &choice = request->choices[request->choice];
    const std::size_t region = regionIndex(choice.region);
    const Duration delay = oneWay(m_hosts[request->host].region, region);
    const Duration wait = request->choice + 1 < request->choices.size() ? regionQueueTimeout : lastRegionTimeout;
    request->movedByShift = !choice.shift.empty();
    hashDecision(region);
    schedule(delay, [this, request, region, delay, wait] {
        const auto next = [this, request, delay](const PoolGrant &grant) {
            schedule(delay, [this, request, grant] { handleGrant(request, grant); });
        };
        if (!m_regionAlive[region]) {
            next({proto::ERROR_UNAVAILABLE, {}, {}, 0, {}, {}});
            return;
        }
        PoolOwner &owner = m_pools[{request->service, region}];
        const std::string &customer = m_customers[request->customer].name;
        const PoolRequest poolRequest{
            customer, 1, {}, {"host", 1}, 0, m_now + milliseconds(5000), m_now + wait, request->excludedServers};
        owner.callbacks[owner.pool.acquire(poolRequest, m_now)] = next;
        pollPool(request->service, region);
    });
}

void Model::pollPool(std::size_t service, std::size_t region)
{
    PoolOwner &owner = m_pools[{service, region}];
    for (const PoolDecision &decision : owner.pool.poll(m_now)) {
        const auto found = owner.callbacks.find(decision.ticket);
        const auto next = std::move(found->second);
        owner.callbacks.erase(found);
        next(decision.grant);
    }
    const auto wakeTime = owner.pool.nextWakeTime();
    if (wakeTime && (!owner.nextPoll || *owner.nextPoll <= m_now || *wakeTime < *owner.nextPoll)) {
        owner.nextPoll = std::max(*wakeTime, m_now + milliseconds(1));
        schedule(*owner.nextPoll - m_now, [this, service, region] { pollPool(service, region); });
    }
}

void Model::handleGrant(const RequestPtr &request, const PoolGrant &grant)
{
    if (grant.kind != proto::ERROR_NONE) {
        hashDecision(grant.kind);
        ++request->choice;
        acquireSlot(request);
        return;
    }
    Server &server = m_servers[m_serverIndex[grant.server]];
    hashDecision(m_serverIndex[grant.server]);
    const Time sent = m_now;
    sendToServer(request, server, [this, request, lease = grant.lease, &server, sent](proto::Outcome outcome) {
        schedule(oneWay(m_hosts[request->host].region, server.region), [this, &server, lease, outcome, sent] {
            m_pools[{server.service, server.region}].pool.release(lease, outcome, m_now - sent, m_now);
            pollPool(server.service, server.region);
        });
        if (outcome == proto::OUTCOME_OK) {
            finish(request, true);
        } else {
            request->excludedServers.push_back(server.id);
            retryOrFail(request, outcome == proto::OUTCOME_ERROR);
        }
    });
}

// Chooses a server under a baseline policy, without a slot from a pool owner. Servers outside the region are used only
// if the region has no usable one.
void Model::routeWithoutPools(const RequestPtr &request)
{
    Host &host = m_hosts[request->host];
    std::size_t region = host.region;
    if (m_scenario == Scenario::ShiftToColdRegion && m_now - m_start >= m_phaseLength && region == 0) {
        request->movedByShift = static_cast<double>(m_jitter() >> 11U) * 0x1.0p-53 < shiftCap;
        region = request->movedByShift ? 1 : 0;
    }
    const auto usable = [&](const Server &server, bool anyRegion) {
        return server.service == request->service && !server.drained && m_view->servers().contains(server.id)
            && (anyRegion || server.region == region)
            && std::find(request->excludedServers.begin(), request->excludedServers.end(), server.id)
            == request->excludedServers.end();
    };
    Server *best = nullptr;
    const std::size_t firstServer = host.nextServer[request->service]++;
    for (const bool anyRegion : {false, true}) {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            Server &server = m_servers[(i + firstServer) % m_servers.size()];
            const bool full = m_policy == Policy::LeastLoaded && !anyRegion && server.reportedLoad >= server.slots;
            if (!usable(server, anyRegion) || full) {
                continue;
            }
            const bool lessLoaded = best != nullptr && m_policy == Policy::LeastLoaded
                && server.reportedLoad * best->slots < best->reportedLoad * server.slots;
            best = best == nullptr || lessLoaded ? &server : best;
        }
        if (best != nullptr) {
            break;
        }
    }
    if (best == nullptr) {
        finish(request, false);
        return;
    }
    if (m_policy == Policy::RoundRobin) {
        host.nextServer[request->service] = static_cast<std::size_t>(best - m_servers.data()) + 1;
    }
    sendToServer(request, *best, [this, request, best](proto::Outcome outcome) {
        if (outcome == proto::OUTCOME_OK) {
            finish(request, true);
        } else {
            request->excludedServers.push_back(best->id);
            retryOrFail(request, outcome == proto::OUTCOME_ERROR);
        }
    });
}

// Sends the request to a server. `done` is called when the response reaches the host.
void Model::sendToServer(const RequestPtr &request, Server &server, const std::function<void(proto::Outcome)> &done)
{
    ++request->attempts;
    const std::size_t from = m_hosts[request->host].region;
    const Duration delay = oneWay(from, server.region);
    m_result.crossRegion += from != server.region ? 1 : 0;
    schedule(delay, [this, request, &server, delay, done] {
        const auto answer = [this, delay, done](proto::Outcome outcome) {
            schedule(delay, [done, outcome] { done(outcome); });
        };
        if (!server.alive) {
            answer(proto::OUTCOME_NOT_SENT);
        } else if (server.busy < server.slots) {
            startWork(request, server, answer);
        } else if (server.queue.size() < maxServerQueue) {
            server.queue.emplace_back([this, request, &server, answer] { startWork(request, server, answer); });
        } else {
            answer(proto::OUTCOME_SHED);
        }
    });
}

void Model::startWork(const RequestPtr &request, Server &server, std::function<void(proto::Outcome)> done)
{
    ++server.busy;
    const bool cold = request->movedByShift && server.coldRequestsLeft > 0;
    server.coldRequestsLeft -= cold ? 1 : 0;
    schedule(ms(request->workMs * (cold ? coldSlowdown : 1)), [this, &server, done = std::move(done)] {
        --server.busy;
        done(server.alive ? proto::OUTCOME_OK : proto::OUTCOME_ERROR);
        if (!server.queue.empty()) {
            const auto next = std::move(server.queue.front());
            server.queue.pop_front();
            next();
        }
    });
}

void Model::retryOrFail(const RequestPtr &request, bool failed)
{
    const bool idempotent = serviceNames[request->service] != "bookings";
    const Duration timeLeft = request->start + milliseconds(5000) - m_now;
    const Attempt attempt{idempotent, failed, false, request->attempts, timeLeft};
    if (!mayRetry(m_hosts[request->host].retryBudgets[request->service], attempt, m_now)) {
        m_result.failed += failed ? 1 : 0;
        finish(request, false);
        return;
    }
    const double jitter = static_cast<double>(m_jitter() >> 11U) * 0x1.0p-53;
    schedule(retryDelay(request->attempts, jitter), [this, request] {
        request->choice = 0;
        if (usesPools()) {
            route(request);
        } else {
            routeWithoutPools(request);
        }
    });
}

void Model::refuseForRate(const RequestPtr &request)
{
    ++m_result.refusedForRate;
    finish(request, false);
}

void Model::finish(const RequestPtr &request, bool served)
{
    if (!served || !m_hosts[request->host].alive) {
        return;
    }
    const bool crossRegion = m_hosts[request->host].region != request->callerRegion;
    const Duration returnDelay = ms(m_deployment.clientDelayMs + (crossRegion ? m_deployment.regionDelayMs : 0));
    Customer &customer = m_customers[request->customer];
    ++customer.served;
    customer.latencies.push_back(
        std::chrono::duration<double, std::milli>(m_now + returnDelay - request->start).count());
}

// Samples the smallest free fraction of any pool, where waiting requests count as used slots, and whether any server
// has more work than slots.
void Model::sample()
{
    double minFree = 1;
    bool overloaded = false;
    std::map<std::pair<std::size_t, std::size_t>, std::pair<double, double>> pools;
    for (const Server &server : m_servers) {
        if (server.alive) {
            auto &[busy, slots] = pools[{server.service, server.region}];
            busy += server.busy + static_cast<double>(server.queue.size());
            slots += server.slots;
            overloaded = overloaded || !server.queue.empty();
        }
    }
    for (const auto &[key, load] : pools) {
        const auto waiting = static_cast<double>(m_pools[key].pool.waiting());
        minFree = std::min(minFree, 1 - ((load.first + waiting) / load.second));
    }
    m_headroomSum += minFree;
    ++m_samples;
    m_overloadedSamples += overloaded ? 1 : 0;
    if (m_now < m_end) {
        schedule(milliseconds(100), [this] { sample(); });
    }
}

// Collects the load reports and delivers them after the usual delay. In StaleLoadReports, they arrive 3 s later still
// in the second phase and not at all in the third.
void Model::reportLoads()
{
    const Duration since = m_now - m_start;
    const bool staleReports = m_scenario == Scenario::StaleLoadReports && since >= m_phaseLength;
    const Duration lag = oneWay(0, 1) * 2 + (staleReports ? Duration(milliseconds(3000)) : Duration{});
    if (m_now < m_end) {
        schedule(milliseconds(400), [this] { reportLoads(); });
    }
    if (staleReports && since >= 2 * m_phaseLength) {
        return;
    }
    std::vector<proto::PoolLoad> loads;
    for (auto &[key, owner] : m_pools) {
        if (m_regionAlive[key.second]) {
            proto::PoolLoad load = owner.pool.load(m_now);
            load.set_service(serviceNames[key.first]);
            load.set_region(regionNames[key.second]);
            loads.push_back(load);
        }
    }
    std::vector<unsigned> busy;
    for (const Server &server : m_servers) {
        busy.push_back(server.busy + static_cast<unsigned>(server.queue.size()));
    }
    schedule(lag, [this, loads, busy, measuredAt = m_now] {
        m_loads = loads;
        m_loadTimes.assign(loads.size(), measuredAt);
        for (std::size_t i = 0; i < busy.size(); ++i) {
            m_servers[i].reportedLoad = busy[i];
        }
    });
}

void Model::failRegion()
{
    m_regionAlive[failedRegion] = false;
    for (Server &server : m_servers) {
        server.alive = server.region != failedRegion;
    }
    for (Host &host : m_hosts) {
        host.alive = host.region != failedRegion;
    }
    schedule(memberTimeout, [this] {
        proto::TableContent content;
        for (const Server &server : m_servers) {
            if (!server.alive) {
                proto::Tombstone *tombstone = content.add_tombstones();
                tombstone->set_kind("server");
                tombstone->set_key(server.id);
                tombstone->set_revision(m_view->revision());
            }
        }
        for (const auto &[id, member] : m_view->members()) {
            proto::Member *row = content.add_members();
            *row = member;
            row->set_state(m_hosts[std::stoul(id)].alive ? proto::MEMBER_LIVE : proto::MEMBER_GONE);
        }
        commit(content);
        for (std::size_t i = 0; i < m_bucketOwners.size(); ++i) {
            if (!m_hosts[m_bucketOwners[i]].alive) {
                m_bucketOwners[i] = (m_bucketOwners[i] + 1) % m_hosts.size();
                m_buckets[i] = Bucket(m_customers[i].limit, m_now, 1ULL << 40U);
            }
        }
    });
}

// Drains half of the servers of one region, so that its remaining slots are too few for its own requests.
void Model::drainHalfOfRegion()
{
    proto::TableContent content;
    std::map<std::size_t, std::vector<PoolServer>> pools;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        Server &server = m_servers[i];
        if (server.region != failedRegion) {
            continue;
        }
        server.drained = i / regionNames.size() % 2 == 0;
        pools[server.service].push_back({server.id, server.id, server.slots, 0, !server.drained});
        proto::Server *row = content.add_servers();
        *row = m_view->servers().at(server.id);
        row->set_drained(server.drained);
    }
    commit(content);
    for (const auto &[service, servers] : pools) {
        m_pools[{service, failedRegion}].pool.setServers(servers, m_now);
        pollPool(service, failedRegion);
    }
}

// Runs the leader's periodic decision about the shift on the summed loads of all services in the source and target
// regions.
void Model::stepShift()
{
    const proto::Shift shift = m_view->shifts().at("move");
    if (m_now >= m_end || shift.state() == proto::SHIFT_DONE) {
        return;
    }
    schedule(milliseconds(200), [this] { stepShift(); });
    std::array<proto::PoolLoad, 2> regionLoads;
    for (const proto::PoolLoad &load : m_loads) {
        const std::size_t region = regionIndex(load.region());
        if (region < regionLoads.size()) {
            regionLoads[region].set_slots(regionLoads[region].slots() + load.slots());
            regionLoads[region].set_in_use(regionLoads[region].in_use() + load.in_use());
            regionLoads[region].set_waiting(regionLoads[region].waiting() + load.waiting());
        }
    }
    double cold = 0;
    double servers = 0;
    for (const Server &server : m_servers) {
        cold += server.region == 1 ? server.coldRequestsLeft : 0;
        servers += server.region == 1 ? 1 : 0;
    }
    regionLoads[1].set_warm(1 - (cold / coldRequests / servers));
    const ShiftDecision decision = nextShiftStep(shift, {regionLoads[0], regionLoads[1], 0.2}, m_stepSince, m_now);
    if (decision.action == ShiftAction::Hold) {
        return;
    }
    m_stepSince = decision.step != shift.step() ? m_now : m_stepSince;
    proto::TableContent content;
    proto::Shift *next = content.add_shifts();
    *next = shift;
    next->set_step(decision.step);
    next->set_state(decision.state);
    next->set_reason(decision.reason);
    commit(content);
    if (decision.step >= shift.cap() && m_result.shiftSeconds == 0) {
        m_result.shiftSeconds = std::chrono::duration<double>(m_now - m_start - m_phaseLength).count();
    }
}

} // namespace banyanledge::bench
