// Owner side of SlotService: the pools of this host, their recovery and handover.
#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"
#include "fleet/slotservice.h"

namespace banyanledge
{

namespace
{

// Retry interval for a host that did not report its held leases.
constexpr milliseconds heldRetryInterval{100};
constexpr milliseconds heldTimeout{500};

// Retention of a handed-over pool while the table does not yet name this host as the owner.
constexpr milliseconds handoverRetention{5000};

// After this many failed probes in a row, no health report is expected to show how many slots of the server are still
// in use by hosts that are gone. These slots then count as used only for the default deadline of a request.
constexpr std::uint32_t maxFailedProbes = 3;

void runActions(const std::vector<std::function<void()>> &actions)
{
    for (const auto &action : actions) {
        action();
    }
}

PoolLease toLease(const proto::HeldLease &lease)
{
    PoolLease result{lease.lease_id(),
                     lease.server(),
                     lease.customer(),
                     {lease.host(), lease.incarnation()},
                     milliseconds{lease.remaining_ms()},
                     {}};
    if (lease.has_server_incarnation()) {
        result.incarnation = lease.server_incarnation();
    }
    return result;
}

} // namespace

void SlotService::handleAcquire(const proto::AcquireRequest &request,
                                const std::function<void(const proto::AcquireReply &)> &done)
{
    const Time now = Clock::now();
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        OwnedPool *pool = m_stopped ? nullptr : findOrCreatePool(request.service(), request.region(), now, deferred);
        const GrantCallback callback = [done](const PoolGrant &grant, DeferredActions &actions) {
            proto::AcquireReply reply;
            reply.set_kind(grant.kind);
            reply.set_message(grant.message);
            reply.set_lease_id(grant.lease);
            reply.set_server(grant.server);
            reply.set_address(grant.address);
            if (grant.incarnation) {
                reply.set_server_incarnation(*grant.incarnation);
            }
            reply.set_retry_after_ms(
                static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(grant.retryAfter).count()));
            actions.push_back([done, reply] { done(reply); });
        };
        if (pool == nullptr) {
            const Duration wait = ownerRetryDelay(poolResource(request.service(), request.region()), now);
            callback({proto::ERROR_UNAVAILABLE,
                      "this host is not the owner of the pool or not ready yet; retry later",
                      wait,
                      0,
                      {},
                      {}},
                     deferred);
        } else {
            const SlotRequest slot{request.service(),
                                   request.region(),
                                   request.customer(),
                                   now + milliseconds{request.deadline_ms()},
                                   now + milliseconds{request.wait_ms()},
                                   {request.exclude().begin(), request.exclude().end()}};
            const HostIncarnation host{request.host(), request.incarnation()};
            pool->waiting[pool->pool.acquire(poolRequest(slot, host, request.request()), now)] = callback;
            deliverDecisions(*pool, now, deferred);
        }
    }
    runActions(deferred);
}

bool SlotService::handleRelease(const proto::ReleaseRequest &request)
{
    const Time now = Clock::now();
    DeferredActions deferred;
    bool applied = false;
    {
        const std::lock_guard lock(m_mutex);
        applied = applyReleases(request.service(), request.region(), {request.host(), request.incarnation()},
                                {request.releases().begin(), request.releases().end()}, now, deferred);
    }
    runActions(deferred);
    return applied;
}

// Returns false if this host does not own the pool or is still recovering its leases. A release applied during the
// recovery could precede the adoption of a Held reply that still lists the lease, which would then count as used until
// its deadline.
bool SlotService::applyReleases(const std::string &service, const std::string &region, const HostIncarnation &host,
                                const std::vector<proto::Release> &releases, Time now, DeferredActions &deferred)
{
    const auto found = m_pools.find(poolResource(service, region));
    if (found == m_pools.end() || found->second.pool.recovering()) {
        return false;
    }
    Pool &pool = found->second.pool;
    for (const proto::Release &release : releases) {
        if (release.lease_id() == 0) {
            pool.cancel(host, release.request(), now);
        } else {
            const std::chrono::duration<double, std::milli> latency(release.latency_ms());
            pool.release(release.lease_id(), release.outcome(), std::chrono::duration_cast<Duration>(latency), now);
        }
    }
    deliverDecisions(found->second, now, deferred);
    return true;
}

// The weight is the customer's rate limit: customers share a contended pool in proportion to their rates.
PoolRequest SlotService::poolRequest(const SlotRequest &request, const HostIncarnation &host,
                                     std::uint64_t attemptId) const
{
    const std::shared_ptr<const View> view = m_owners.view();
    return {request.customer,
            view->rateLimit(request.customer).rate,
            view->maxInFlight(request.service, request.region, request.customer),
            host,
            attemptId,
            request.deadline,
            request.waitUntil,
            request.exclude};
}

// Returns the pool if this host may act as its owner, nullptr otherwise.
SlotService::OwnedPool *SlotService::findOrCreatePool(const std::string &service, const std::string &region, Time now,
                                                      DeferredActions &deferred)
{
    const std::string resource = poolResource(service, region);
    if (!m_mayActAsOwner(now)) {
        return nullptr;
    }
    const auto found = m_pools.find(resource);
    if (found != m_pools.end()) {
        return m_owners.owner(resource) == m_owners.self() ? &found->second : nullptr;
    }
    const std::optional<Time> from = m_owners.ownershipStart(resource, handoverSource(resource, now));
    return from && *from <= now ? &createPool(resource, service, region, now, deferred) : nullptr;
}

// Time after which a caller should retry at this host.
Duration SlotService::ownerRetryDelay(const std::string &resource, Time now)
{
    const std::optional<Time> from = m_owners.ownershipStart(resource, handoverSource(resource, now));
    return std::clamp<Duration>(from ? *from - now : Duration{}, milliseconds{10}, milliseconds{100});
}

void SlotService::createOwnedPools(Time now, DeferredActions &deferred)
{
    for (const auto &[service, region] : m_poolNames) {
        if (!m_pools.contains(poolResource(service, region))) {
            findOrCreatePool(service, region, now, deferred);
        }
    }
}

SlotService::OwnedPool &SlotService::createPool(const std::string &resource, const std::string &service,
                                                const std::string &region, Time now, DeferredActions &deferred)
{
    OwnedPool &pool =
        m_pools
            .emplace(resource,
                     OwnedPool{service, region, Pool(randomId(), now), {}, {}, now, false, {}, ++m_createdPools})
            .first->second;
    pool.pool.setServers(serversFor(service, region), now);
    if (handoverSource(resource, now)) {
        const ReceivedHandover &handover = m_receivedHandovers.at(resource);
        for (const proto::HeldLease &lease : handover.request.leases()) {
            pool.pool.adopt(toLease(lease), handover.receivedAt);
        }
        m_receivedHandovers.erase(resource);
    } else {
        startRecovery(resource, pool, now, deferred);
    }
    return pool;
}

// Collects the leases that all hosts hold, before the first grant.
void SlotService::startRecovery(const std::string &resource, OwnedPool &pool, Time now, DeferredActions &deferred)
{
    pool.pool.startRecovery();
    for (const auto &[id, heldSlot] : m_heldSlots) {
        if (heldSlot.resource == resource) {
            pool.pool.adopt({id, heldSlot.server, heldSlot.customer, m_owners.self(), heldSlot.deadline - now,
                             heldSlot.incarnation},
                            now);
        }
    }
    for (const auto &[id, member] : m_owners.view()->members()) {
        const bool gone = member.state() == proto::MEMBER_GONE;
        if (member.entry() && id != m_owners.self().id) {
            pool.unknownHolders = pool.unknownHolders || gone;
            if (!gone) {
                pool.pendingHosts[{id, member.incarnation()}] = false;
            }
        }
    }
    queryHeldLeases(resource, pool, now, deferred);
    finishRecoveryIfComplete(pool, now);
}

void SlotService::queryHeldLeases(const std::string &resource, OwnedPool &pool, Time now, DeferredActions &deferred)
{
    if (pool.pendingHosts.empty() || now < pool.nextQueryAt) {
        return;
    }
    pool.nextQueryAt = now + heldRetryInterval;
    proto::HeldRequest request;
    request.set_service(pool.service);
    request.set_region(pool.region);
    request.set_revision(m_owners.view()->revision());
    request.set_owner(m_owners.self().id);
    request.set_owner_incarnation(m_owners.self().incarnation);
    for (auto &[host, callOutstanding] : pool.pendingHosts) {
        if (callOutstanding) {
            continue;
        }
        callOutstanding = true;
        deferred.push_back(
            [this, resource, number = pool.number, request, host = host, address = m_owners.address(host)] {
                m_ownerClient.held(address, request, heldTimeout,
                                   [this, resource, number, host](const proto::HeldReply *reply) {
                                       const std::lock_guard lock(m_mutex);
                                       handleHeldReply(resource, number, host, reply);
                                   });
            });
    }
}

// A reply to an earlier pool of the resource is ignored: it lacks the leases that another owner granted since.
void SlotService::handleHeldReply(const std::string &resource, std::uint64_t poolNumber, const HostIncarnation &host,
                                  const proto::HeldReply *reply)
{
    const Time now = Clock::now();
    const auto found = m_pools.find(resource);
    if (found == m_pools.end() || found->second.number != poolNumber || !found->second.pendingHosts.contains(host)) {
        return;
    }
    OwnedPool &pool = found->second;
    if (reply == nullptr || reply->incarnation() != host.incarnation) {
        pool.pendingHosts[host] = false;
        return;
    }
    for (const proto::HeldLease &lease : reply->leases()) {
        pool.pool.adopt(toLease(lease), now);
    }
    pool.pendingHosts.erase(host);
    finishRecoveryIfComplete(pool, now);
}

// A host that stopped or restarted without a reply may have left requests running at the servers.
void SlotService::removeStoppedHosts(OwnedPool &pool, Time now)
{
    const std::shared_ptr<const View> view = m_owners.view();
    std::erase_if(pool.pendingHosts, [&](const auto &entry) {
        const auto member = view->members().find(entry.first.id);
        const bool stillRunning = member != view->members().end()
            && member->second.incarnation() == entry.first.incarnation && member->second.state() != proto::MEMBER_GONE;
        pool.unknownHolders = pool.unknownHolders || !stillRunning;
        return !stillRunning;
    });
    finishRecoveryIfComplete(pool, now);
}

void SlotService::finishRecoveryIfComplete(OwnedPool &pool, Time now)
{
    if (pool.pool.recovering() && pool.pendingHosts.empty()) {
        pool.pool.finishRecovery(pool.unknownHolders, now);
        logInfo("pool recovery finished; no host still has to report its leases",
                {{"service", pool.service},
                 {"region", pool.region},
                 {"leases", std::to_string(pool.pool.leases(now).size())},
                 {"unknown_holders", pool.unknownHolders ? "yes" : "no"}});
        m_wake();
        m_probeNow();
    }
}

void SlotService::deliverDecisions(OwnedPool &pool, Time now, DeferredActions &deferred)
{
    if (!m_mayActAsOwner(now)) {
        return; // another host may be the owner by now
    }
    for (const PoolDecision &decision : pool.pool.poll(now)) {
        const auto found = pool.waiting.find(decision.ticket);
        if (found != pool.waiting.end()) {
            const GrantCallback callback = std::move(found->second);
            pool.waiting.erase(found);
            callback(decision.grant, deferred);
        }
    }
    if (pool.pool.waiting() > 0) {
        m_wake();
    }
}

// Host that handed the pool over to this one, unless the handover has expired.
std::optional<HostIncarnation> SlotService::handoverSource(const std::string &resource, Time now)
{
    const auto found = m_receivedHandovers.find(resource);
    if (found == m_receivedHandovers.end()) {
        return std::nullopt;
    }
    if (now - found->second.receivedAt > handoverRetention) {
        m_receivedHandovers.erase(found);
        return std::nullopt;
    }
    return HostIncarnation{found->second.request.host(), found->second.request.incarnation()};
}

void SlotService::handleHandover(const proto::HandoverRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const auto lost = m_lostRevisions.find(request.resource());
    // A handover sent before this host last gave the pool up describes an earlier state.
    const bool stale = lost != m_lostRevisions.end() && request.revision() <= lost->second;
    if (!stale && !m_pools.contains(request.resource())) {
        m_receivedHandovers[request.resource()] = {request, Clock::now()};
        m_wake();
    }
}

std::vector<std::pair<HostIncarnation, proto::HandoverRequest>> SlotService::tableChanged(Time now)
{
    std::vector<std::pair<HostIncarnation, proto::HandoverRequest>> handovers;
    const std::shared_ptr<const View> view = m_owners.view();
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        std::set<std::pair<std::string, std::string>> names;
        for (const auto &[id, server] : view->servers()) {
            names.emplace(server.service(), server.region());
        }
        m_poolNames.assign(names.begin(), names.end());
        for (auto entry = m_pools.begin(); entry != m_pools.end();) {
            auto &[resource, pool] = *entry;
            const std::optional<HostIncarnation> owner = m_owners.owner(resource);
            if (owner == m_owners.self()) {
                for (const std::string &id : pool.pool.setServers(serversFor(pool.service, pool.region), now)) {
                    const proto::Server &server = view->servers().at(id);
                    logInfo("the process of a backend server has changed; the server gets no leases or ramps up",
                            {{"server", id},
                             {"ended", server.ended() ? "yes" : "no"},
                             {"incarnation", std::to_string(server.incarnation())},
                             {"revision", std::to_string(view->revision())}});
                }
                for (const auto &[id, member] : view->members()) {
                    pool.pool.hostStarted({id, member.incarnation()});
                }
                removeStoppedHosts(pool, now);
                deliverDecisions(pool, now, deferred);
                ++entry;
                continue;
            }
            for (const auto &[ticket, callback] : pool.waiting) {
                callback(
                    {proto::ERROR_UNAVAILABLE, "the pool has a new owner; retry there", milliseconds{5}, 0, {}, {}},
                    deferred);
            }
            // Without a valid lease the new owner may act already, and during a recovery not all leases are known.
            if (owner && m_mayActAsOwner(now) && !pool.pool.recovering()) {
                proto::HandoverRequest request;
                request.set_resource(resource);
                request.set_host(m_owners.self().id);
                request.set_incarnation(m_owners.self().incarnation);
                request.set_revision(view->revision());
                for (const PoolLease &lease : pool.pool.leases(now)) {
                    proto::HeldLease *held = request.add_leases();
                    held->set_lease_id(lease.id);
                    held->set_server(lease.server);
                    held->set_customer(lease.customer);
                    held->set_host(lease.host.id);
                    held->set_incarnation(lease.host.incarnation);
                    if (lease.incarnation) {
                        held->set_server_incarnation(*lease.incarnation);
                    }
                    held->set_remaining_ms(
                        static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(lease.remaining).count()));
                }
                handovers.emplace_back(*owner, request);
            }
            m_lostRevisions[resource] = view->revision();
            entry = m_pools.erase(entry);
        }
        retryAtNewOwners(now);
    }
    runActions(deferred);
    m_wake();
    return handovers;
}

void SlotService::dropOwnedState()
{
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[resource, pool] : m_pools) {
            refuseWaiting(pool, deferred);
        }
        m_pools.clear();
    }
    runActions(deferred);
}

// Refuses the waiting requests, which then retry at the new owner.
void SlotService::refuseWaiting(OwnedPool &pool, DeferredActions &deferred)
{
    for (const auto &[ticket, callback] : std::exchange(pool.waiting, {})) {
        callback({proto::ERROR_UNAVAILABLE,
                  "this host no longer owns the pool; retry at the new owner",
                  milliseconds{5},
                  0,
                  {},
                  {}},
                 deferred);
    }
}

std::vector<PoolServer> SlotService::serversFor(const std::string &service, const std::string &region) const
{
    std::vector<PoolServer> servers;
    const std::shared_ptr<const View> view = m_owners.view();
    for (const proto::Server *server : view->serversOf(service, region)) {
        servers.push_back({server->id(), server->address(), server->slots(), server->connections(),
                           !server->leaving() && !server->drained(), server->incarnation(), server->ended()});
    }
    return servers;
}

std::vector<ProbeTarget> SlotService::probeTargets() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<ProbeTarget> targets;
    for (const auto &[resource, pool] : m_pools) {
        for (const PoolServer &server : pool.pool.servers()) {
            targets.push_back({resource, server.id, server.address, pool.pool.leaseCount(server.id)});
        }
    }
    return targets;
}

void SlotService::handleProbeResult(const ProbeTarget &target, const ProbeResult &result, Time now)
{
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pools.find(target.pool);
        if (found == m_pools.end()) {
            return;
        }
        OwnedPool &pool = found->second;
        std::uint32_t &failed = pool.failedProbes[target.server];
        failed = result.answered ? 0 : failed + 1;
        if (pool.pool.recordProbe(target.server, result, target.leases, now)) {
            logInfo("a health probe was answered by a new process of a backend server; the server ramps up",
                    {{"server", target.server}, {"started_ms", std::to_string(result.startedMs)}});
        }
        if (failed >= maxFailedProbes) {
            pool.pool.limitUnknownSlots(target.server, now);
        }
        deliverDecisions(pool, now, deferred);
    }
    runActions(deferred);
}

void SlotService::addReport(proto::SyncRequest &request) const
{
    const Time now = Clock::now();
    const std::lock_guard lock(m_mutex);
    for (const auto &[resource, pool] : m_pools) {
        for (const PoolServer &server : pool.pool.processesSeenFirst()) {
            proto::ProcessReport *report = request.add_process_reports();
            report->set_id(server.id);
            report->set_incarnation(server.incarnation);
        }
        if (!pool.pool.recovering()) {
            proto::PoolLoad load = pool.pool.load(now);
            load.set_service(pool.service);
            load.set_region(pool.region);
            *request.add_pools() = load;
            const MetricLabels labels{{"service", pool.service}, {"region", pool.region}};
            setMetric("banyanledge_pool_slots", labels, load.slots());
            setMetric("banyanledge_pool_in_use", labels, load.in_use());
            setMetric("banyanledge_pool_waiting", labels, load.waiting());
        }
    }
}

} // namespace banyanledge
