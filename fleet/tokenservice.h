// Rate limit tokens: those granted to this host, and the buckets that it owns.
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

// Callbacks and calls to other hosts, run after the lock is released.
using DeferredActions = std::vector<std::function<void()>>;

// Holds the client side (tokens granted to this host) and the owner side (buckets that grant tokens to all hosts).
class TokenService
{
public:
    // `mayActAsOwner` tells whether the freshness lease is valid. `linkBytesPerSecond` is the capacity of a directed
    // link between regions. `wake` schedules a call of tick().
    TokenService(OwnerMap &owners, OwnerClient &ownerClient, std::function<bool(Time)> mayActAsOwner,
                 double linkBytesPerSecond, std::function<void()> wake);

    // Client side; see ResourceManager::takeTokens() and returnTokens().
    void take(const std::string &resource, double amount, Time deadline, std::function<void(AdmissionResult)> done);
    void returnTokens(const std::string &resource, double amount);

    // Owner side: handlers of the Owner service.
    proto::TokensReply handleTokens(const proto::TokensRequest &request);
    void handleHandover(const proto::HandoverRequest &request);

    // Applies a new copy of the table: changed limits and owners. Returns the handovers to send, with their receivers.
    std::vector<std::pair<HostIncarnation, proto::HandoverRequest>> tableChanged(Time now);

    // Makes due calls and refuses expired waiters; returns the time of the next tick.
    Time tick(Time now);

    // Adds the loads of the owned links.
    void addReport(proto::SyncRequest &request) const;

    // Drops the owned buckets, because another host may have acted as owner in the meantime.
    void dropOwnedState();

    // Refuses all waiters.
    void stop();

private:
    // Request that waits for tokens.
    struct Waiter
    {
        double amount = 0;
        Time deadline;
        std::function<void(AdmissionResult)> done;
    };
    // Granted tokens of one resource, and the requests that wait for more.
    struct TokenQueue
    {
        TokenCache tokenCache;
        std::deque<Waiter> waiters;
        double waitingTokens = 0; // sum of the waiters' amounts
        bool ownerAnswered = true; // the last call reached an acting owner
        std::optional<HostIncarnation> owner; // at the last run of callOwnerIfDue()
    };
    // State of a bucket that its former owner handed over to this host.
    struct ReceivedHandover
    {
        proto::HandoverRequest request;
        Time receivedAt;
    };
    // Measured use of an owned link.
    struct LinkUsage
    {
        double granted = 0; // bytes since this host became the owner
        double grantedAtLastMeasurement = 0;
        Time measuredAt;
        double bytesPerSecond = 0;
    };

    TokenQueue &findOrCreateQueue(const std::string &resource, Time now);
    std::optional<RateLimit> limitOf(const std::string &resource) const;
    void callOwnerIfDue(const std::string &resource, TokenQueue &queue, Time now, DeferredActions &deferred);
    void handleReply(const std::string &resource, const proto::TokensReply *reply, Time now, DeferredActions &deferred);
    void applyReply(TokenQueue &queue, const proto::TokensReply *reply, Time now, DeferredActions &deferred);
    void grantWaiters(TokenQueue &queue, Time now, DeferredActions &deferred);
    void refuseExpired(TokenQueue &queue, Time now, DeferredActions &deferred);
    AdmissionResult refusal(const TokenQueue &queue, Time now) const;
    proto::TokensReply handleTokensLocked(const proto::TokensRequest &request, Time now);
    Bucket *findOrCreateBucket(const std::string &resource, Time now, proto::TokensReply &refusal);
    std::optional<HostIncarnation> handoverSource(const std::string &resource, Time now);
    void updateLinkUsage(Time now);

    OwnerMap &m_owners;
    OwnerClient &m_ownerClient;
    std::function<bool(Time)> m_mayActAsOwner;
    double m_linkBytesPerSecond;
    std::function<void()> m_wake;

    mutable std::mutex m_mutex;
    bool m_stopped = false;
    std::unordered_map<std::string, TokenQueue> m_queues;
    std::map<std::string, Bucket> m_buckets; // owned by this host
    std::map<std::string, ReceivedHandover> m_receivedHandovers; // by resource
    std::map<std::string, Revision> m_lostRevisions; // revision at which this host last gave a resource up
    std::map<std::string, LinkUsage> m_linkUsage; // by resource
};

} // namespace banyanledge
