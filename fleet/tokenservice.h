// Tokens across the fleet: purses of this host, and the buckets that it owns.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"
#include "decide/bucket.h"
#include "fleet/ownerclient.h"
#include "fleet/ownermap.h"
#include "fleet/resourcemanager.h"

namespace banyanledge
{

// Work to do after a lock is released: callbacks and calls to other hosts.
using DeferredActions = std::vector<std::function<void()>>;

class TokenService
{
public:
    // `wake` makes the owners' thread call tick() soon.
    TokenService(OwnerMap &owners, OwnerClient &ownerClient, std::function<bool(Time)> mayActAsOwner,
                 double linkBytesPerSecond, std::function<void()> wake);

    void take(const std::string &resource, double amount, Time deadline, std::function<void(AdmissionResult)> done);
    void returnTokens(const std::string &resource, double amount);

    // Owner side.
    proto::TokensReply handleTokens(const proto::TokensRequest &request);
    void handleHandover(const proto::HandoverRequest &request);

    // Applies a new copy of the table: changed limits, and buckets that other hosts now own. Returns what to hand over.
    std::vector<std::pair<HostRun, proto::HandoverRequest>> tableChanged(Time now);

    // Makes due calls and refuses waiters whose deadline passed; returns when to tick again.
    Time tick(Time now);

    void addReport(proto::SyncRequest &request) const;

    // Forgets what this host owned, because another host may have acted as owner in the meantime.
    void dropOwnedState();

    // Refuses all waiters.
    void stop();

private:
    struct Waiter
    {
        double amount = 0;
        Time deadline;
        std::function<void(AdmissionResult)> done;
    };
    struct TokenQueue
    {
        Purse purse;
        std::deque<Waiter> waiters;
        double waitingTokens = 0; // sum of the waiters' amounts
        bool ownerAnswered = true; // the last call reached an acting owner
        std::optional<HostRun> owner; // that was called last
    };
    struct ReceivedHandover
    {
        proto::HandoverRequest request;
        Time received;
    };
    struct LinkUsage
    {
        double granted = 0; // since the owner began
        double grantedAtLastMeasurement = 0;
        Time measuredAt;
        double perSecond = 0;
    };

    TokenQueue &queueFor(const std::string &resource, Time now);
    std::optional<RateLimit> limitOf(const std::string &resource) const;
    void callOwnerIfDue(const std::string &resource, TokenQueue &queue, Time now, DeferredActions &after);
    void handleReply(const std::string &resource, const proto::TokensReply *reply, Time now, DeferredActions &after);
    void applyReply(TokenQueue &queue, const proto::TokensReply *reply, Time now, DeferredActions &after);
    void grantWaiters(TokenQueue &queue, Time now, DeferredActions &after);
    void refuseExpired(TokenQueue &queue, Time now, DeferredActions &after);
    AdmissionResult refusal(const TokenQueue &queue, Time now) const;
    proto::TokensReply handleTokensLocked(const proto::TokensRequest &request, Time now);
    Bucket *findOrCreateBucket(const std::string &resource, Time now, proto::TokensReply &refusal);
    std::optional<HostRun> handoverSource(const std::string &resource, Time now);
    void updateLinkUsage(Time now);

    OwnerMap &m_owners;
    OwnerClient &m_ownerClient;
    std::function<bool(Time)> m_mayActAsOwner; // whether this host may act as an owner
    double m_linkBytesPerSecond;
    std::function<void()> m_wake;

    mutable std::mutex m_mutex;
    bool m_stopped = false;
    std::unordered_map<std::string, TokenQueue> m_queues;
    std::map<std::string, Bucket> m_buckets; // owned by this host
    std::map<std::string, ReceivedHandover> m_receivedHandovers; // handed over to this host
    std::map<std::string, Revision> m_lostRevisions; // revision at which this host last gave a resource up
    std::map<std::string, LinkUsage> m_linkUsage; // of owned links
};

} // namespace banyanledge
