// Client side of SlotService; the owner side is in slotservice_owner.cpp.
#include "fleet/slotservice.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Retry interval for an owner that could not be reached or may not act yet.
constexpr milliseconds retryInterval{30};

// Maximum of the retry delay that an owner may ask for.
constexpr milliseconds maxRetryInterval{100};

// Timeout of an Acquire call beyond the time that the owner may queue it: allows for the round trip.
constexpr milliseconds callTimeoutMargin{300};

constexpr milliseconds releaseTimeout{1000};
constexpr milliseconds releaseRetryInterval{50};

constexpr std::size_t maxReleasesPerCall = 256;

constexpr milliseconds maxTickInterval{50};

// Rounds up; negative durations give 0.
milliseconds toMs(Duration duration)
{
    return std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(duration));
}

void runActions(const std::vector<std::function<void()>> &actions)
{
    for (const auto &action : actions) {
        action();
    }
}

PoolGrant toGrant(const proto::AcquireReply &reply)
{
    PoolGrant grant{reply.kind(),
                    reply.message(),
                    milliseconds{reply.retry_after_ms()},
                    reply.lease_id(),
                    reply.server(),
                    reply.address(),
                    {}};
    if (reply.has_server_incarnation()) {
        grant.incarnation = reply.server_incarnation();
    }
    return grant;
}

} // namespace

SlotService::SlotService(OwnerMap &owners, OwnerClient &ownerClient, std::function<bool(Time)> mayActAsOwner,
                         std::function<void()> wake, std::function<void()> probeNow)
    : m_owners(owners)
    , m_ownerClient(ownerClient)
    , m_mayActAsOwner(std::move(mayActAsOwner))
    , m_wake(std::move(wake))
    , m_probeNow(std::move(probeNow))
    , m_nextAttemptId(randomId())
{
}

void SlotService::acquire(const SlotRequest &request, std::function<void(SlotLease)> done)
{
    const Time now = Clock::now();
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        auto pending = std::make_shared<PendingRequest>();
        pending->request = request;
        pending->resource = poolResource(request.service, request.region);
        pending->done = std::move(done);
        m_pendingRequests.insert(pending);
        if (m_stopped) {
            // Refuses the request, because no waitUntil is later than this retry time.
            retryLater(pending, maxDeadline, now, deferred);
        } else {
            attempt(pending, now, deferred);
        }
    }
    runActions(deferred);
}

// Calls the current owner. Each attempt has its own id, so that cancelling a lost attempt never cancels a later one.
void SlotService::attempt(const PendingRequestPtr &pending, Time now, DeferredActions &deferred)
{
    pending->attemptId = ++m_nextAttemptId;
    pending->owner = m_owners.owner(pending->resource);
    pending->heldReplyCount = m_heldReplyCounts[pending->resource];
    if (!pending->owner) {
        retryLater(pending, retryInterval, now, deferred);
    } else if (*pending->owner == m_owners.self()) {
        attemptLocal(pending, now, deferred);
    } else {
        attemptRemote(pending, now, deferred);
    }
}

void SlotService::attemptLocal(const PendingRequestPtr &pending, Time now, DeferredActions &deferred)
{
    OwnedPool *pool = findOrCreatePool(pending->request.service, pending->request.region, now, deferred);
    if (pool == nullptr) {
        retryLater(pending, ownerRetryDelay(pending->resource, now), now, deferred);
        return;
    }
    const std::uint64_t attemptId = pending->attemptId;
    const std::uint64_t ticket = pool->pool.acquire(poolRequest(pending->request, m_owners.self(), attemptId), now);
    pool->waiting[ticket] = [this, pending, attemptId](const PoolGrant &grant, DeferredActions &actions) {
        handleGrant(pending, attemptId, grant, Clock::now(), actions);
    };
    deliverDecisions(*pool, now, deferred);
}

void SlotService::attemptRemote(const PendingRequestPtr &pending, Time now, DeferredActions &deferred)
{
    const SlotRequest &request = pending->request;
    const Duration wait = std::max<Duration>(request.waitUntil - now, Duration{});
    proto::AcquireRequest call;
    call.set_service(request.service);
    call.set_region(request.region);
    call.set_customer(request.customer);
    call.set_host(m_owners.self().id);
    call.set_incarnation(m_owners.self().incarnation);
    call.set_deadline_ms(static_cast<std::uint32_t>(toMs(request.deadline - now).count()));
    call.set_wait_ms(static_cast<std::uint32_t>(toMs(wait).count()));
    call.mutable_exclude()->Add(request.exclude.begin(), request.exclude.end());
    call.set_revision(m_owners.view()->revision());
    call.set_request(pending->attemptId);
    deferred.push_back([this, pending, call, wait, address = m_owners.address(*pending->owner)] {
        m_ownerClient.acquire(address, call, wait + callTimeoutMargin,
                              [this, pending, attemptId = call.request()](const proto::AcquireReply *reply) {
                                  DeferredActions next;
                                  {
                                      const std::lock_guard lock(m_mutex);
                                      handleAcquireReply(pending, attemptId, reply, Clock::now(), next);
                                  }
                                  runActions(next);
                              });
    });
}

void SlotService::handleAcquireReply(const PendingRequestPtr &pending, std::uint64_t attemptId,
                                     const proto::AcquireReply *reply, Time now, DeferredActions &deferred)
{
    if (reply != nullptr) {
        handleGrant(pending, attemptId, toGrant(*reply), now, deferred);
        return;
    }
    // The owner may have granted a lease whose reply was lost, so this attempt is cancelled there.
    proto::Release cancel;
    cancel.set_request(attemptId);
    cancel.set_outcome(proto::OUTCOME_CANCELLED);
    queueRelease(pending->request.service, pending->request.region, cancel, pending->request.deadline, now, deferred);
    if (!pending->finished && pending->attemptId == attemptId) {
        retryLater(pending, retryInterval, now, deferred);
    }
}

// Handles the owner's decision on an attempt, a grant or a refusal.
void SlotService::handleGrant(const PendingRequestPtr &pending, std::uint64_t attemptId, const PoolGrant &grant,
                              Time now, DeferredActions &deferred)
{
    const bool current = !pending->finished && pending->attemptId == attemptId;
    if (grant.kind == proto::ERROR_NONE) {
        // A new owner that queried the held leases in the meantime does not know this lease and may grant the same slot
        // again, so the lease must not be used.
        const bool superseded = m_heldReplyCounts[pending->resource] != pending->heldReplyCount;
        if (!current || superseded) {
            proto::Release release;
            release.set_lease_id(grant.lease);
            release.set_server(grant.server);
            release.set_outcome(proto::OUTCOME_CANCELLED);
            queueRelease(pending->request.service, pending->request.region, release, pending->request.deadline, now,
                         deferred);
            if (current) {
                retryLater(pending, milliseconds{1}, now, deferred);
            }
            return;
        }
        m_heldSlots[grant.lease] = {pending->resource, grant.server, pending->request.customer,
                                    pending->request.deadline, grant.incarnation};
    } else if (!current) {
        return;
    } else if (grant.kind == proto::ERROR_UNAVAILABLE) {
        retryLater(pending, std::clamp<Duration>(grant.retryAfter, milliseconds{5}, maxRetryInterval), now, deferred);
        return;
    }
    finish(pending,
           {grant.kind, grant.message, toMs(grant.retryAfter), grant.lease, pending->request.service,
            pending->request.region, grant.server, grant.address, grant.incarnation},
           deferred);
}

void SlotService::finish(const PendingRequestPtr &pending, SlotLease lease, DeferredActions &deferred)
{
    pending->finished = true;
    m_pendingRequests.erase(pending);
    deferred.push_back([done = std::move(pending->done), lease = std::move(lease)] { done(lease); });
}

// Schedules the next attempt, or refuses the request if that attempt would not start before waitUntil.
void SlotService::retryLater(const PendingRequestPtr &pending, Duration delay, Time now, DeferredActions &deferred)
{
    pending->owner.reset();
    pending->retryAt = now + delay;
    if (pending->retryAt >= pending->request.waitUntil) {
        finish(pending,
               {proto::ERROR_UNAVAILABLE,
                "the owner of the pool cannot be reached or is not ready yet; retry later",
                maxRetryInterval,
                0,
                pending->request.service,
                pending->request.region,
                {},
                {},
                {}},
               deferred);
    } else {
        m_wake();
    }
}

void SlotService::release(const SlotLease &lease, proto::Outcome outcome, Duration latency)
{
    const Time now = Clock::now();
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_heldSlots.find(lease.id);
        if (found == m_heldSlots.end()) {
            return;
        }
        proto::Release release;
        release.set_lease_id(lease.id);
        release.set_server(lease.server);
        release.set_outcome(outcome);
        release.set_latency_ms(std::chrono::duration<double, std::milli>(latency).count());
        const Time expiry = found->second.deadline;
        m_heldSlots.erase(found);
        queueRelease(lease.service, lease.region, release, expiry, now, deferred);
    }
    runActions(deferred);
}

// Releases are queued while a call for the pool is outstanding, so that they are batched under load.
void SlotService::queueRelease(const std::string &service, const std::string &region, const proto::Release &release,
                               Time expiry, Time now, DeferredActions &deferred)
{
    const std::string resource = poolResource(service, region);
    ReleaseQueue &queue = m_releaseQueues[resource];
    queue.service = service;
    queue.region = region;
    queue.releases.emplace_back(release, now + withDrift(expiry - now));
    sendReleases(resource, now, deferred);
}

void SlotService::sendReleases(const std::string &resource, Time now, DeferredActions &deferred)
{
    ReleaseQueue &queue = m_releaseQueues.at(resource);
    std::erase_if(queue.releases, [&](const auto &entry) { return entry.second <= now; });
    const std::optional<HostIncarnation> owner = m_owners.owner(resource);
    if (queue.callOutstanding || queue.releases.empty() || now < queue.retryAt || !owner || m_stopped) {
        return;
    }
    std::vector<std::pair<proto::Release, Time>> sent = std::exchange(queue.releases, {});
    if (sent.size() > maxReleasesPerCall) {
        queue.releases.assign(sent.begin() + maxReleasesPerCall, sent.end());
        sent.resize(maxReleasesPerCall);
    }
    if (*owner == m_owners.self()) {
        std::vector<proto::Release> releases;
        std::transform(sent.begin(), sent.end(), std::back_inserter(releases), [](const auto &e) { return e.first; });
        const bool applied = applyReleases(queue.service, queue.region, *owner, releases, now, deferred);
        handleReleaseReply(resource, sent, applied, now, deferred);
        return;
    }
    queue.callOutstanding = true;
    proto::ReleaseRequest request;
    request.set_service(queue.service);
    request.set_region(queue.region);
    request.set_host(m_owners.self().id);
    request.set_incarnation(m_owners.self().incarnation);
    for (const auto &[release, expiry] : sent) {
        *request.add_releases() = release;
    }
    deferred.push_back([this, resource, request, sent, address = m_owners.address(*owner)] {
        m_ownerClient.release(address, request, releaseTimeout, [this, resource, sent](const proto::Empty *reply) {
            DeferredActions next;
            {
                const std::lock_guard lock(m_mutex);
                handleReleaseReply(resource, sent, reply != nullptr, Clock::now(), next);
            }
            runActions(next);
        });
    });
}

void SlotService::handleReleaseReply(const std::string &resource,
                                     const std::vector<std::pair<proto::Release, Time>> &sent, bool delivered, Time now,
                                     DeferredActions &deferred)
{
    ReleaseQueue &queue = m_releaseQueues.at(resource);
    queue.callOutstanding = false;
    if (!delivered) {
        queue.releases.insert(queue.releases.begin(), sent.begin(), sent.end());
        queue.retryAt = now + releaseRetryInterval;
    } else if (!queue.releases.empty()) {
        sendReleases(resource, now, deferred);
    }
}

proto::HeldReply SlotService::handleHeld(const proto::HeldRequest &request)
{
    const Time now = Clock::now();
    const std::string resource = poolResource(request.service(), request.region());
    const std::lock_guard lock(m_mutex);
    proto::HeldReply reply;
    reply.set_incarnation(m_owners.self().incarnation);
    ++m_heldReplyCounts[resource];
    for (const auto &[id, heldSlot] : m_heldSlots) {
        if (heldSlot.resource != resource || heldSlot.deadline <= now) {
            continue;
        }
        proto::HeldLease *lease = reply.add_leases();
        lease->set_lease_id(id);
        lease->set_server(heldSlot.server);
        lease->set_customer(heldSlot.customer);
        lease->set_remaining_ms(static_cast<std::uint32_t>(toMs(heldSlot.deadline - now).count()));
        lease->set_host(m_owners.self().id);
        lease->set_incarnation(m_owners.self().incarnation);
        if (heldSlot.incarnation) {
            lease->set_server_incarnation(*heldSlot.incarnation);
        }
    }
    return reply;
}

// Starts a new attempt at the new owner for each request that waits at a former owner.
void SlotService::retryAtNewOwners(Time now)
{
    for (const PendingRequestPtr &pending : m_pendingRequests) {
        if (pending->owner && m_owners.owner(pending->resource) != pending->owner) {
            pending->attemptId = ++m_nextAttemptId;
            pending->owner.reset();
            pending->retryAt = now;
        }
    }
}

Time SlotService::tick(Time now)
{
    DeferredActions deferred;
    Time nextTick = now + maxTickInterval;
    {
        const std::lock_guard lock(m_mutex);
        createOwnedPools(now, deferred);
        for (auto &[resource, pool] : m_pools) {
            deliverDecisions(pool, now, deferred);
            queryHeldLeases(resource, pool, now, deferred);
            nextTick = std::min(nextTick, std::max(now + milliseconds{1}, pool.pool.nextWakeTime().value_or(nextTick)));
        }
        const std::vector<PendingRequestPtr> requests(m_pendingRequests.begin(), m_pendingRequests.end());
        for (const PendingRequestPtr &pending : requests) {
            if (now >= pending->request.waitUntil + callTimeoutMargin) {
                // Refuses the request, since its waitUntil has passed.
                retryLater(pending, Duration{}, now, deferred);
            } else if (!pending->owner && now >= pending->retryAt) {
                attempt(pending, now, deferred);
            } else if (!pending->owner) {
                nextTick = std::min(nextTick, pending->retryAt);
            }
        }
        for (auto &[resource, queue] : m_releaseQueues) {
            sendReleases(resource, now, deferred);
        }
        std::erase_if(m_heldSlots, [&](const auto &entry) { return entry.second.deadline + maxRetryInterval <= now; });
    }
    runActions(deferred);
    return nextTick;
}

void SlotService::stop()
{
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        const std::vector<PendingRequestPtr> requests(m_pendingRequests.begin(), m_pendingRequests.end());
        for (const PendingRequestPtr &pending : requests) {
            // Refuses the request, because no waitUntil is later than this retry time.
            retryLater(pending, maxDeadline, Clock::now(), deferred);
        }
        for (auto &[resource, pool] : m_pools) {
            refuseWaiting(pool, deferred);
        }
    }
    runActions(deferred);
}

} // namespace banyanledge
