// Requests on their way through regions, pools and servers; loss of a region and the steps of a shift.
#include <algorithm>
#include <array>

#include "bench_state.h"

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
                     *m_view, m_loads, host.splits, m_now);
    acquire(request);
}

// Asks the pools in the order of the choices.
void Model::acquire(const RequestPtr &request)
{
    if (request->choice >= request->choices.size()) {
        finish(request, false);
        return;
    }
    const RouteChoice &choice = request->choices[request->choice];
    const std::size_t region = regionIndex(choice.region);
    const Duration delay = oneWay(m_hosts[request->host].region, region);
    const Duration wait = request->choice + 1 < request->choices.size() ? regionQueueTimeout : lastWait;
    request->moved = !choice.shift.empty();
    note(region);
    after(delay, [this, request, region, delay, wait] {
        const auto next = [this, request, delay](const PoolGrant &grant) {
            after(delay, [this, request, grant] { granted(request, grant); });
        };
        if (!m_regionAlive[region]) {
            next({proto::ERROR_UNAVAILABLE, {}, {}, 0, {}, {}});
            return;
        }
        PoolOwner &owner = m_pools[{request->service, region}];
        const std::string &customer = m_customers[request->customer].name;
        const PoolRequest wish{customer,        1, {}, {"host", 1}, 0, m_now + milliseconds(5000), m_now + wait,
                               request->exclude};
        owner.waiting[owner.pool.acquire(wish, m_now)] = next;
        pollPool(request->service, region);
    });
}

void Model::pollPool(std::size_t service, std::size_t region)
{
    PoolOwner &owner = m_pools[{service, region}];
    for (const PoolDecision &decision : owner.pool.poll(m_now)) {
        const auto found = owner.waiting.find(decision.ticket);
        const auto next = std::move(found->second);
        owner.waiting.erase(found);
        next(decision.grant);
    }
    const auto wake = owner.pool.nextWakeTime();
    if (wake && (!owner.wake || *owner.wake <= m_now || *wake < *owner.wake)) {
        owner.wake = std::max(*wake, m_now + milliseconds(1));
        after(*owner.wake - m_now, [this, service, region] { pollPool(service, region); });
    }
}

void Model::granted(const RequestPtr &request, const PoolGrant &grant)
{
    if (grant.kind != proto::ERROR_NONE) {
        note(grant.kind);
        ++request->choice;
        acquire(request);
        return;
    }
    Server &server = m_servers[m_serverIndex[grant.server]];
    note(m_serverIndex[grant.server]);
    const Time sent = m_now;
    execute(request, server, [this, request, lease = grant.lease, &server, sent](proto::Outcome outcome) {
        after(oneWay(m_hosts[request->host].region, server.region), [this, &server, lease, outcome, sent] {
            m_pools[{server.service, server.region}].pool.release(lease, outcome, m_now - sent, m_now);
            pollPool(server.service, server.region);
        });
        if (outcome == proto::OUTCOME_OK) {
            finish(request, true);
        } else {
            request->exclude.push_back(server.id);
            retryOr(request, outcome == proto::OUTCOME_ERROR);
        }
    });
}

// Chooses a server without a pool owner.
void Model::balance(const RequestPtr &request)
{
    Host &host = m_hosts[request->host];
    std::size_t region = host.region;
    if (m_scenario == Scenario::ColdShift && m_now - m_start >= m_third && region == 0) {
        request->moved = static_cast<double>(m_jitter() >> 11U) * 0x1.0p-53 < shiftCap;
        region = request->moved ? 1 : 0;
    }
    const auto usable = [&](const Server &server, bool anyRegion) {
        return server.service == request->service && !server.drained && m_view->servers().contains(server.id)
            && (anyRegion || server.region == region)
            && std::find(request->exclude.begin(), request->exclude.end(), server.id) == request->exclude.end();
    };
    Server *best = nullptr;
    const std::size_t turn = host.rotation[request->service]++;
    for (const bool anyRegion : {false, true}) {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            Server &server = m_servers[(i + turn) % m_servers.size()];
            const bool full = m_policy == Policy::LeastLoad && !anyRegion && server.reported >= server.slots;
            if (!usable(server, anyRegion) || full) {
                continue;
            }
            const bool less = best != nullptr && m_policy == Policy::LeastLoad
                && server.reported * best->slots < best->reported * server.slots;
            best = best == nullptr || less ? &server : best;
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
        host.rotation[request->service] = static_cast<std::size_t>(best - m_servers.data()) + 1;
    }
    execute(request, *best, [this, request, best](proto::Outcome outcome) {
        if (outcome == proto::OUTCOME_OK) {
            finish(request, true);
        } else {
            request->exclude.push_back(best->id);
            retryOr(request, outcome == proto::OUTCOME_ERROR);
        }
    });
}

// Sends the request to a server; `done` runs on the host when the answer has arrived.
void Model::execute(const RequestPtr &request, Server &server, const std::function<void(proto::Outcome)> &done)
{
    ++request->attempts;
    const std::size_t from = m_hosts[request->host].region;
    const Duration delay = oneWay(from, server.region);
    m_figures.crossRegion += from != server.region ? 1 : 0;
    after(delay, [this, request, &server, delay, done] {
        const auto answer = [this, delay, done](proto::Outcome outcome) {
            after(delay, [done, outcome] { done(outcome); });
        };
        if (!server.alive) {
            answer(proto::OUTCOME_NOT_SENT);
        } else if (server.busy < server.slots) {
            startWork(request, server, answer);
        } else if (server.queue.size() < serverQueue) {
            server.queue.emplace_back([this, request, &server, answer] { startWork(request, server, answer); });
        } else {
            answer(proto::OUTCOME_SHED);
        }
    });
}

void Model::startWork(const RequestPtr &request, Server &server, std::function<void(proto::Outcome)> done)
{
    ++server.busy;
    const bool cold = request->moved && server.coldLeft > 0;
    server.coldLeft -= cold ? 1 : 0;
    after(ms(request->workMs * (cold ? coldFactor : 1)), [this, &server, done = std::move(done)] {
        --server.busy;
        done(server.alive ? proto::OUTCOME_OK : proto::OUTCOME_ERROR);
        if (!server.queue.empty()) {
            const auto next = std::move(server.queue.front());
            server.queue.pop_front();
            next();
        }
    });
}

void Model::retryOr(const RequestPtr &request, bool failed)
{
    const bool idempotent = serviceNames[request->service] != "bookings";
    const Duration left = request->start + milliseconds(5000) - m_now;
    const Attempt attempt{idempotent, failed, false, request->attempts, left};
    if (!mayRetry(m_hosts[request->host].retries[request->service], attempt, m_now)) {
        m_figures.failed += failed ? 1 : 0;
        finish(request, false);
        return;
    }
    const double jitter = static_cast<double>(m_jitter() >> 11U) * 0x1.0p-53;
    after(retryDelay(request->attempts, jitter), [this, request] {
        request->choice = 0;
        if (usesPools()) {
            route(request);
        } else {
            balance(request);
        }
    });
}

void Model::refuseRate(const RequestPtr &request)
{
    ++m_figures.refusedRate;
    finish(request, false);
}

void Model::finish(const RequestPtr &request, bool served)
{
    if (!served || !m_hosts[request->host].alive) {
        return;
    }
    const bool far = m_hosts[request->host].region != request->region;
    const Duration back = ms(m_deployment.clientMs + (far ? m_deployment.regionMs : 0));
    Customer &customer = m_customers[request->customer];
    ++customer.served;
    customer.latencies.push_back(std::chrono::duration<double, std::milli>(m_now + back - request->start).count());
}

// Samples the free part of the pools, less what waits, and servers with more work than slots.
void Model::sample()
{
    double least = 1;
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
        least = std::min(least, 1 - ((load.first + waiting) / load.second));
    }
    m_headroomSum += least;
    ++m_samples;
    m_overloadedSamples += overloaded ? 1 : 0;
    if (m_now < m_end) {
        after(milliseconds(100), [this] { sample(); });
    }
}

// Collects the load reports and delivers them late, or not at all in the last part of the measurements scenario.
void Model::report()
{
    const Duration since = m_now - m_start;
    const bool faulty = m_scenario == Scenario::Measurements && since >= m_third;
    const Duration lag = oneWay(0, 1) * 2 + (faulty ? Duration(milliseconds(3000)) : Duration{});
    if (m_now < m_end) {
        after(milliseconds(400), [this] { report(); });
    }
    if (faulty && since >= 2 * m_third) {
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
    after(lag, [this, loads, busy, taken = m_now] {
        m_loads = loads;
        m_loadTimes.assign(loads.size(), taken);
        for (std::size_t i = 0; i < busy.size(); ++i) {
            m_servers[i].reported = busy[i];
        }
    });
}

void Model::loseRegion()
{
    m_regionAlive[lostRegion] = false;
    for (Server &server : m_servers) {
        server.alive = server.region != lostRegion;
    }
    for (Host &host : m_hosts) {
        host.alive = host.region != lostRegion;
    }
    after(memberTimeout, [this] {
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
            proto::Member *gone = content.add_members();
            *gone = member;
            gone->set_state(m_hosts[std::stoul(id)].alive ? proto::MEMBER_LIVE : proto::MEMBER_GONE);
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

// Drains half of the servers of one region, which leaves it too few slots for its own requests.
void Model::drainPart()
{
    proto::TableContent content;
    std::map<std::size_t, std::vector<PoolServer>> pools;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        Server &server = m_servers[i];
        if (server.region != lostRegion) {
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
        m_pools[{service, lostRegion}].pool.setServers(servers, m_now);
        pollPool(service, lostRegion);
    }
}

// The leader's decision about the shift, from all services of the two regions together.
void Model::shiftTick()
{
    const proto::Shift shift = m_view->shifts().at("move");
    if (m_now >= m_end || shift.state() == proto::SHIFT_DONE) {
        return;
    }
    after(milliseconds(200), [this] { shiftTick(); });
    std::array<proto::PoolLoad, 2> sums;
    for (const proto::PoolLoad &load : m_loads) {
        const std::size_t region = regionIndex(load.region());
        if (region < sums.size()) {
            sums[region].set_slots(sums[region].slots() + load.slots());
            sums[region].set_in_use(sums[region].in_use() + load.in_use());
            sums[region].set_waiting(sums[region].waiting() + load.waiting());
        }
    }
    double cold = 0;
    double servers = 0;
    for (const Server &server : m_servers) {
        cold += server.region == 1 ? server.coldLeft : 0;
        servers += server.region == 1 ? 1 : 0;
    }
    sums[1].set_warm(1 - (cold / coldRequests / servers));
    const ShiftDecision decision = nextShiftStep(shift, {sums[0], sums[1], 0.2}, m_stepSince, m_now);
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
    if (decision.step >= shift.cap() && m_figures.drainSeconds == 0) {
        m_figures.drainSeconds = std::chrono::duration<double>(m_now - m_start - m_third).count();
    }
}

} // namespace banyanledge::bench
