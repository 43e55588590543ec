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
#include "fleet/ownermap.h"
#include "fleet/peers.h"
#include "fleet/resourcemanager.h"

namespace banyanledge
{

// Work to do after a lock is released: callbacks and calls to other hosts.
using Deferred = std::vector<std::function<void()>>;

class TokenService
{
public:
    // `wake` makes the owners' thread call tick() soon.
    TokenService(OwnerMap &owners, Peers &peers, std::function<bool(Time)> fresh, double linkBytesPerSecond,
                 std::function<void()> wake);

    void take(const std::string &resource, double amount, Time deadline, std::function<void(AdmissionResult)> done);
    void giveBack(const std::string &resource, double amount);

    // Owner side.
    proto::TokensReply serve(const proto::TokensRequest &request);
    void handedOver(const proto::HandoverRequest &request);

    // Applies a new copy of the table: changed limits, and buckets that other hosts now own. Returns what to hand over.
    std::vector<std::pair<HostRun, proto::HandoverRequest>> tableChanged(Time now);

    // Makes due calls and refuses waiters whose deadline passed; returns when to tick again.
    Time tick(Time now);

    void addReport(proto::SyncRequest &request) const;

    // Forgets what this host owned, because another host may have acted as owner in the meantime.
    void dropOwned();

    // Refuses all waiters.
    void stop();

private:
    struct Waiter
    {
        double amount = 0;
        Time deadline;
        std::function<void(AdmissionResult)> done;
    };
    struct Wallet
    {
        Purse purse;
        std::deque<Waiter> waiters;
        double waiting = 0; // sum of the waiters' amounts
        bool ownerAnswered = true; // the last call reached an acting owner
        std::optional<HostRun> owner; // that was called last
    };
    struct Pending
    {
        proto::HandoverRequest request;
        Time received;
    };
    struct Use
    {
        double granted = 0; // since the owner began
        double grantedBefore = 0;
        Time since;
        double perSecond = 0;
    };

    Wallet &wallet(const std::string &resource, Time now);
    std::optional<RateLimit> limitOf(const std::string &resource) const;
    void callIfDue(const std::string &resource, Wallet &wallet, Time now, Deferred &after);
    void answer(const std::string &resource, const proto::TokensReply *reply, Time now, Deferred &after);
    void apply(Wallet &wallet, const proto::TokensReply *reply, Time now, Deferred &after);
    void serveWaiters(Wallet &wallet, Time now, Deferred &after);
    void refuseLate(Wallet &wallet, Time now, Deferred &after);
    AdmissionResult refusal(const Wallet &wallet, Time now) const;
    proto::TokensReply serveLocked(const proto::TokensRequest &request, Time now);
    Bucket *bucket(const std::string &resource, Time now, proto::TokensReply &refusal);
    std::optional<HostRun> pendingFrom(const std::string &resource, Time now);
    void measureUse(Time now);

    OwnerMap &m_owners;
    Peers &m_peers;
    std::function<bool(Time)> m_fresh; // whether this host may act as an owner
    double m_linkBytesPerSecond;
    std::function<void()> m_wake;

    mutable std::mutex m_mutex;
    bool m_stopped = false;
    std::unordered_map<std::string, Wallet> m_wallets;
    std::map<std::string, Bucket> m_buckets; // owned by this host
    std::map<std::string, Pending> m_pending; // handed over to this host
    std::map<std::string, Revision> m_lost; // revision at which this host last gave a resource up
    std::map<std::string, Use> m_use; // of owned links
};

} // namespace banyanledge
