// Slots of backend servers: leases that this host holds, and pools that it owns.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/types.h"
#include "decide/pool.h"
#include "fleet/healthprober.h"
#include "fleet/ownerclient.h"
#include "fleet/ownermap.h"
#include "fleet/resourcemanager.h"

namespace banyanledge
{

// Holds the client side (leases taken by this host) and the owner side (pools that grant leases to all hosts).
class SlotService
{
public:
    // `mayActAsOwner` tells whether the freshness lease is valid. `wake` schedules a call of tick(), `probeNow` starts
    // a round of probes.
    SlotService(OwnerMap &owners, OwnerClient &ownerClient, std::function<bool(Time)> mayActAsOwner,
                std::function<void()> wake, std::function<void()> probeNow);

    // Client side; see ResourceManager::acquireSlot() and releaseSlot().
    void acquire(const SlotRequest &request, std::function<void(SlotLease)> done);
    void release(const SlotLease &lease, proto::Outcome outcome, Duration latency);

    // Owner side: handlers of the Owner service.
    void handleAcquire(const proto::AcquireRequest &request,
                       const std::function<void(const proto::AcquireReply &)> &done);
    bool handleRelease(const proto::ReleaseRequest &request); // false when the sender has to retry later
    proto::HeldReply handleHeld(const proto::HeldRequest &request);
    void handleHandover(const proto::HandoverRequest &request);

    // Applies a new copy of the table: servers, restarted hosts and changed owners. Returns the handovers to send, with
    // their receivers.
    std::vector<std::pair<HostIncarnation, proto::HandoverRequest>> tableChanged(Time now);

    // Servers of the owned pools.
    std::vector<ProbeTarget> probeTargets() const;
    void handleProbeResult(const ProbeTarget &target, const ProbeResult &result, Time now);

    // Delivers due decisions and retries calls; returns the time of the next tick.
    Time tick(Time now);

    // Adds the loads of the owned pools and sets their metrics.
    void addReport(proto::SyncRequest &request) const;

    // Drops the owned pools, because another host may have acted as owner in the meantime.
    void dropOwnedState();

    // Refuses all waiting requests.
    void stop();

private:
    using DeferredActions = std::vector<std::function<void()>>; // run after the lock is released
    using GrantCallback = std::function<void(const PoolGrant &, DeferredActions &)>;

    // Request of this host that is not decided yet.
    struct PendingRequest
    {
        SlotRequest request;
        std::string resource;
        std::function<void(SlotLease)> done;
        std::uint64_t attemptId = 0; // of the current attempt, unique on this host
        std::optional<HostIncarnation> owner; // called in the current attempt
        std::uint64_t heldReplyCount = 0; // m_heldReplyCounts of the pool when this attempt began
        Time retryAt;
        bool finished = false;
    };
    // Lease that this host holds.
    struct HeldSlot
    {
        std::string resource;
        std::string server;
        std::string customer;
        Time deadline;
        std::optional<Revision> incarnation; // of the server's process; nullopt: unknown
    };
    // Releases to send to the owner of one pool.
    struct ReleaseQueue
    {
        std::string service;
        std::string region;
        std::vector<std::pair<proto::Release, Time>> releases; // each with its expiry
        bool callOutstanding = false;
        Time retryAt;
    };
    // Pool that this host owns.
    struct OwnedPool
    {
        std::string service;
        std::string region;
        Pool pool;
        std::unordered_map<std::uint64_t, GrantCallback> waiting; // by ticket
        std::map<HostIncarnation, bool>
            pendingHosts; // their leases are not known yet; value: whether a call is outstanding
        Time nextQueryAt;
        bool unknownHolders = false; // hosts that are gone may still use slots
        std::map<std::string, std::uint32_t> failedProbes; // in a row, by server
        std::uint64_t number = 0; // unique on this host; differs from that of an earlier pool of the same resource
    };
    // State of a pool that its former owner handed over to this host.
    struct ReceivedHandover
    {
        proto::HandoverRequest request;
        Time receivedAt;
    };

    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    void attempt(const PendingRequestPtr &pending, Time now, DeferredActions &deferred);
    void attemptLocal(const PendingRequestPtr &pending, Time now, DeferredActions &deferred);
    void attemptRemote(const PendingRequestPtr &pending, Time now, DeferredActions &deferred);
    void handleAcquireReply(const PendingRequestPtr &pending, std::uint64_t attemptId, const proto::AcquireReply *reply,
                            Time now, DeferredActions &deferred);
    void handleGrant(const PendingRequestPtr &pending, std::uint64_t attemptId, const PoolGrant &grant, Time now,
                     DeferredActions &deferred);
    void retryAtNewOwners(Time now);
    void finish(const PendingRequestPtr &pending, SlotLease lease, DeferredActions &deferred);
    void retryLater(const PendingRequestPtr &pending, Duration delay, Time now, DeferredActions &deferred);
    void queueRelease(const std::string &service, const std::string &region, const proto::Release &release, Time expiry,
                      Time now, DeferredActions &deferred);
    void sendReleases(const std::string &resource, Time now, DeferredActions &deferred);
    void handleReleaseReply(const std::string &resource, const std::vector<std::pair<proto::Release, Time>> &sent,
                            bool delivered, Time now, DeferredActions &deferred);
    PoolRequest poolRequest(const SlotRequest &request, const HostIncarnation &host, std::uint64_t attemptId) const;

    OwnedPool *findOrCreatePool(const std::string &service, const std::string &region, Time now,
                                DeferredActions &deferred);
    Duration ownerRetryDelay(const std::string &resource, Time now);
    bool applyReleases(const std::string &service, const std::string &region, const HostIncarnation &host,
                       const std::vector<proto::Release> &releases, Time now, DeferredActions &deferred);
    OwnedPool &createPool(const std::string &resource, const std::string &service, const std::string &region, Time now,
                          DeferredActions &deferred);
    void startRecovery(const std::string &resource, OwnedPool &pool, Time now, DeferredActions &deferred);
    void createOwnedPools(Time now, DeferredActions &deferred);
    void queryHeldLeases(const std::string &resource, OwnedPool &pool, Time now, DeferredActions &deferred);
    void handleHeldReply(const std::string &resource, std::uint64_t poolNumber, const HostIncarnation &host,
                         const proto::HeldReply *reply);
    void removeStoppedHosts(OwnedPool &pool, Time now);
    void finishRecoveryIfComplete(OwnedPool &pool, Time now);
    void deliverDecisions(OwnedPool &pool, Time now, DeferredActions &deferred);
    void refuseWaiting(OwnedPool &pool, DeferredActions &deferred);
    std::optional<HostIncarnation> handoverSource(const std::string &resource, Time now);
    std::vector<PoolServer> serversFor(const std::string &service, const std::string &region) const;

    OwnerMap &m_owners;
    OwnerClient &m_ownerClient;
    std::function<bool(Time)> m_mayActAsOwner;
    std::function<void()> m_wake;
    std::function<void()> m_probeNow;

    mutable std::mutex m_mutex;
    bool m_stopped = false;
    std::uint64_t m_nextAttemptId;
    std::set<PendingRequestPtr> m_pendingRequests; // not decided yet
    std::unordered_map<std::uint64_t, HeldSlot> m_heldSlots; // by lease id
    std::map<std::string, ReleaseQueue> m_releaseQueues; // by pool
    std::map<std::string, std::uint64_t> m_heldReplyCounts; // Held calls that this host answered, by pool
    std::vector<std::pair<std::string, std::string>> m_poolNames; // service and region of each pool in the table
    std::map<std::string, OwnedPool> m_pools; // owned by this host
    std::uint64_t m_createdPools = 0;
    std::map<std::string, ReceivedHandover> m_receivedHandovers; // by pool
    std::map<std::string, Revision> m_lostRevisions; // revision at which this host last gave a pool up
};

} // namespace banyanledge
