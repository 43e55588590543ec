// Distributed token bucket of one resource: the bucket at the owner and the cache of granted tokens at each holder.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/types.h"
#include "decide/owner.h"
#include "decide/view.h"

namespace banyanledge
{

// Minimum stock of tokens that a holder keeps, expressed as the time for which it covers the recent demand. A larger
// stock needs fewer calls to the owner, a smaller one leaves more tokens for other holders.
constexpr milliseconds tokenStockTime{50};

// Cumulative use of one grant by its holder; the amounts never decrease.
struct GrantUse
{
    std::uint64_t id = 0; // of the grant
    double spent = 0; // tokens
    double returned = 0; // tokens given back to the owner unspent

    bool operator==(const GrantUse &) const = default;
};

// Call of a holder to the owner: asks for tokens, reports the use of earlier grants, or both.
struct GrantRequest
{
    HostIncarnation holder;
    std::uint64_t call = 0; // sequence number, increases with each call of the holder
    double want = 0; // tokens; 0: the call only reports uses
    double minUseful = 0; // smallest useful grant, reserved while the holder waits; 0: no request waits
    std::vector<GrantUse> uses;
};

// The owner's answer to a GrantRequest.
struct GrantReply
{
    double granted = 0; // tokens
    std::uint64_t id = 0; // of the grant
    Duration retryAfter{}; // delay before the next call, set when nothing was granted
};

// The owner's side. The tokens in the bucket plus those of unspent grants never exceed the burst, so any window of
// length W admits at most burst + rate x W requests.
class Bucket
{
public:
    // Starts empty at `start`. An earlier owner may have granted up to the full burst, so that amount counts as unspent
    // until the last possible grant of that owner has expired.
    Bucket(RateLimit limit, Time start, std::uint64_t firstGrantId);

    // Continues from the state that the previous owner handed over: `tokens` in the bucket and `granted` unspent
    // tokens, which expire after `term`.
    Bucket(RateLimit limit, double tokens, double granted, Duration term, Time now, std::uint64_t firstGrantId);

    // Applies a changed rate or burst; tokens beyond a smaller burst are discarded.
    void setLimit(RateLimit limit, Time now);

    // Records the reported uses and grants the holder's fair share of the available tokens. A repeated or reordered
    // call is granted nothing.
    GrantReply handleRequest(const GrantRequest &request, Time now);

    double tokens(Time now); // available to grant
    double unspent(Time now); // granted and not known as spent, returned or expired
    RateLimit limit() const;
    Time lastRequested() const; // time of the last handleRequest()

private:
    struct Grant
    {
        double amount = 0;
        double spent = 0;
        double returned = 0;
        Time expiry;
    };
    struct Holder
    {
        std::uint64_t call = 0; // sequence number of its last call
        double want = 0; // tokens that it last asked for
        Time requestedAt; // time of its last call
        std::uint64_t queueNumber = 0; // key in m_reservations; 0: not waiting
    };
    struct Reservation
    {
        double tokens = 0; // that the holder waits for
        Time expiry;
    };

    void advance(Time now);
    void refill(Time until);
    void recordUse(const GrantUse &use);
    void addGrant(std::uint64_t id, double amount, Time expiry);
    void removeInactiveHolders(Time now);
    void setWant(Holder &holder, double want);
    void reserve(Holder &holder, double amount, Time until);
    void cancelReservation(Holder &holder);
    double reservedBefore(const Holder &holder) const;
    double fairShare(const Holder &holder, double available) const;
    Duration retryAfter(double missing) const;

    RateLimit m_limit;
    double m_tokens = 0;
    double m_unspent = 0; // sum over the grants that have not expired
    Time m_updated;
    Time m_lastRequested;
    std::uint64_t m_nextId;
    std::uint64_t m_nextQueueNumber = 1;
    std::map<std::uint64_t, Grant> m_grants;
    std::set<std::pair<Time, std::uint64_t>> m_expiries;
    std::map<HostIncarnation, Holder> m_holders;
    double m_wantedSum = 0; // sum over the recently active holders
    std::map<std::uint64_t, Reservation> m_reservations; // of waiting holders, by queue number
    double m_reservedSum = 0; // sum over the reservations
    Time m_holdersCheckedAt;
};

// The holder's side: the tokens that were granted to one host. Decides when to call the owner.
class TokenCache
{
public:
    // The call numbers start at `created`, so that a cache made later by the same process never repeats one.
    TokenCache(HostIncarnation self, Time created);

    // Adds `amount` wanted tokens to the demand estimate, which determines how many tokens are kept in stock.
    void recordDemand(double amount, Time now);

    // Spends tokens; returns false and spends none when too few are available.
    bool take(double amount, Time now);

    // Reverses spending that was not yet reported to the owner, which still counts these tokens as unspent. Returns the
    // reversed amount; tokens that were reported as spent stay spent.
    double refund(double amount, Time now);

    // Next call to the owner, if one is due. `waiting` is the amount that all waiting requests need, `minUseful` that
    // of the first one.
    std::optional<GrantRequest> nextRequest(double waiting, double minUseful, Time now);

    // Applies the reply to the outstanding call. The grant expires `term` after that call was made.
    void handleReply(const GrantReply &reply, Duration term, Time now);

    // Records that the outstanding call failed; the next one is due after `delay`.
    void handleFailure(Duration delay, Time now);

    // Cancels the delay before the next call, for example because the owner changed.
    void clearRetryDelay();

    bool callPending() const;
    double available(Time now); // tokens
    double demand(Time now) const; // tokens per second
    bool idle(Time now); // no tokens held, nothing to report and no demand
    Duration retryAfter(Time now) const; // until the next call may be made

private:
    struct Grant
    {
        GrantUse use;
        GrantUse reported; // use as last reported to the owner
        double amount = 0; // tokens
        Time requestedAt;
        Time expiry;
        double remaining() const
        {
            return amount - use.spent - use.returned;
        }
    };

    void dropExpired(Time now);
    double stockTarget(Time now) const;
    bool reportDue(Time now) const;

    HostIncarnation m_holder;
    std::vector<Grant> m_grants; // oldest first
    double m_demand = 0; // decayed sum of amounts, at `m_demandAt`
    Time m_demandAt;
    bool m_callPending = false;
    Time m_requestedAt;
    Time m_nextCallAt;
    Time m_reportedAt;
    Duration m_roundTrip{}; // moving average
    std::uint64_t m_callNumber = 0;
};

} // namespace banyanledge
