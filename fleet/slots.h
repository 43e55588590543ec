// Slots across the fleet: leases that this host holds, and the pools that it owns.
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
#include "fleet/ownermap.h"
#include "fleet/peers.h"
#include "fleet/probes.h"
#include "fleet/resourcemanager.h"

namespace banyanledge
{

class SlotService
{
public:
    // `wake` makes the owners' thread call tick() soon, `probeSoon` starts a round of probes.
    SlotService(OwnerMap &owners, Peers &peers, std::function<bool(Time)> fresh, std::function<void()> wake,
                std::function<void()> probeSoon);

    void acquire(const SlotRequest &request, std::function<void(SlotLease)> done);
    void release(const SlotLease &lease, proto::Outcome outcome, Duration latency);

    // Owner side.
    void serve(const proto::AcquireRequest &request, const std::function<void(const proto::AcquireReply &)> &done);
    bool serve(const proto::ReleaseRequest &request); // false: not the owner yet, send again
    proto::HeldReply held(const proto::HeldRequest &request);
    void handedOver(const proto::HandoverRequest &request);

    // Applies a new copy of the table: servers, incarnations, and pools that other hosts now own. Returns what to hand
    // over.
    std::vector<std::pair<HostRun, proto::HandoverRequest>> tableChanged(Time now);

    // Servers of the owned pools, to probe.
    std::vector<ProbeTarget> probeTargets() const;
    void probed(const ProbeTarget &target, const ProbeResult &result, Time now);

    // Decides waiting requests and calls owners again; returns when to tick next.
    Time tick(Time now);

    void addReport(proto::SyncRequest &request) const;

    // Forgets what this host owned, because another host may have acted as owner in the meantime.
    void dropOwned();

    // Refuses all that wait.
    void stop();

private:
    using Actions = std::vector<std::function<void()>>; // to do once the lock is released
    using Decided = std::function<void(const PoolGrant &, Actions &)>;

    // A wish of this host that is not granted yet.
    struct Wish
    {
        SlotRequest request;
        std::string resource;
        std::function<void(SlotLease)> done;
        std::uint64_t number = 0; // of the present attempt, unique on this host
        std::optional<HostRun> owner; // that is asked at present
        std::uint64_t heldAnswers = 0; // Held calls answered for the pool before the attempt
        Time retryAt;
        bool finished = false;
    };
    struct Holding
    {
        std::string resource;
        std::string server;
        std::string customer;
        Time deadline;
    };
    struct Outgoing
    {
        std::string service;
        std::string region;
        std::vector<std::pair<proto::Release, Time>> releases; // with the time at which sending is pointless
        bool calling = false;
        Time retryAt;
    };
    struct OwnedPool
    {
        std::string service;
        std::string region;
        Pool pool;
        std::unordered_map<std::uint64_t, Decided> waiting; // by ticket
        std::map<HostRun, bool> unanswered; // hosts whose leases are not known yet; whether a call is outstanding
        Time askAgainAt;
        bool unknownHolders = false;
        std::map<std::string, std::uint32_t> failedProbes; // in a row, by server
    };
    struct Pending
    {
        proto::HandoverRequest request;
        Time received;
    };

    using WishPtr = std::shared_ptr<Wish>;

    void attempt(const WishPtr &wish, Time now, Actions &after);
    void attemptHere(const WishPtr &wish, Time now, Actions &after);
    void attemptRemote(const WishPtr &wish, Time now, Actions &after);
    void answered(const WishPtr &wish, std::uint64_t number, const proto::AcquireReply *reply, Time now,
                  Actions &after);
    void settle(const WishPtr &wish, std::uint64_t number, const PoolGrant &grant, Time now, Actions &after);
    void abandonLostOwners(Time now);
    void finish(const WishPtr &wish, SlotLease lease, Actions &after);
    void retryLater(const WishPtr &wish, Duration pause, Time now, Actions &after);
    void queueRelease(const std::string &service, const std::string &region, const proto::Release &release, Time end,
                      Time now, Actions &after);
    void sendReleases(const std::string &resource, Time now, Actions &after);
    void releasesAnswered(const std::string &resource, const std::vector<std::pair<proto::Release, Time>> &sent,
                          bool delivered, Time now, Actions &after);
    PoolWish wishFor(const SlotRequest &request, const HostRun &host, std::uint64_t number) const;

    OwnedPool *owned(const std::string &service, const std::string &region, Time now, Actions &after);
    Duration notYetFor(const std::string &resource, Time now);
    bool applyReleases(const std::string &service, const std::string &region, const HostRun &host,
                       const std::vector<proto::Release> &releases, Time now, Actions &after);
    OwnedPool &createPool(const std::string &resource, const std::string &service, const std::string &region, Time now,
                          Actions &after);
    void recover(const std::string &resource, OwnedPool &owned, Time now, Actions &after);
    void createDuePools(Time now, Actions &after);
    void askHeld(const std::string &resource, OwnedPool &owned, Time now, Actions &after);
    void heldAnswered(const std::string &resource, const HostRun &host, const proto::HeldReply *reply);
    void checkUnanswered(OwnedPool &owned, Time now);
    void finishIfKnown(OwnedPool &owned, Time now);
    void decide(OwnedPool &owned, Time now, Actions &after);
    void refuseWaiting(OwnedPool &pool, Actions &after);
    std::optional<HostRun> pendingFrom(const std::string &resource, Time now);
    std::vector<PoolServer> serversFor(const std::string &service, const std::string &region) const;

    OwnerMap &m_owners;
    Peers &m_peers;
    std::function<bool(Time)> m_fresh; // whether this host may act as an owner
    std::function<void()> m_wake;
    std::function<void()> m_probeSoon;

    mutable std::mutex m_mutex;
    bool m_stopped = false;
    std::uint64_t m_nextNumber;
    std::set<WishPtr> m_wishes; // not decided yet
    std::unordered_map<std::uint64_t, Holding> m_holdings; // by lease id
    std::map<std::string, Outgoing> m_outgoing; // by pool
    std::map<std::string, std::uint64_t> m_heldAnswers; // Held calls answered, by pool
    std::vector<std::pair<std::string, std::string>> m_poolNames; // service and region of each pool in the table
    std::map<std::string, OwnedPool> m_pools; // owned by this host
    std::map<std::string, Pending> m_pending; // handed over to this host
    std::map<std::string, Revision> m_lost; // revision at which this host last gave a pool up
};

} // namespace banyanledge
