// Token bucket of one resource: the owner's account and the holder's purse of granted tokens.
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

// Stock that a holder keeps, as time of its recent demand. Larger stocks save calls, smaller ones leave more for
// others.
constexpr milliseconds tokenStockTime{50};

// What a holder did with one grant so far; the values only grow.
struct GrantUse
{
    std::uint64_t id = 0;
    double spent = 0;
    double returned = 0;

    bool operator==(const GrantUse &) const = default;
};

struct GrantRequest
{
    HostIncarnation holder;
    std::uint64_t call = 0; // grows with each call of the holder
    double want = 0;
    double minUseful = 0; // smallest useful grant, reserved while the holder waits; 0: nothing waits
    std::vector<GrantUse> uses;
};

struct GrantReply
{
    double granted = 0;
    std::uint64_t id = 0; // of the grant
    Duration retryAfter{}; // when nothing was granted
};

// Owner's side. Tokens in the bucket plus unspent grants never exceed the burst, so that any window W admits at most
// burst + rate x W.
class Bucket
{
public:
    // Starts empty at `start`, with the full burst counted as granted by an earlier owner until the longest grant that
    // it can have made has expired.
    Bucket(RateLimit limit, Time start, std::uint64_t firstGrantId);

    // Continues with the state that the previous owner handed over.
    Bucket(RateLimit limit, double tokens, double granted, Duration term, Time now, std::uint64_t firstGrantId);

    // Puts a changed rate or burst in force; a smaller burst takes surplus tokens away.
    void setLimit(RateLimit limit, Time now);

    // Accounts the reported uses and grants what is available and fair.
    GrantReply handleRequest(const GrantRequest &request, Time now);

    double tokens(Time now);
    double unspent(Time now);
    RateLimit limit() const;
    Time lastAsked() const;

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
        std::uint64_t call = 0;
        double want = 0;
        Time asked;
        std::uint64_t turn = 0; // position among those that wait; 0: not waiting
    };
    struct Turn
    {
        double reserved = 0; // tokens that the holder waits for
        Time until;
    };

    void advance(Time now);
    void refill(Time until);
    void account(const GrantUse &use);
    void addGrant(std::uint64_t id, double amount, Time expiry);
    void forgetHolders(Time now);
    void setWant(Holder &holder, double want);
    void reserve(Holder &holder, double amount, Time until);
    void endTurn(Holder &holder);
    double reservedBefore(const Holder &holder) const;
    double fairShare(const Holder &holder, double available) const;
    Duration retryAfter(double missing) const;

    RateLimit m_limit;
    double m_tokens = 0;
    double m_unspent = 0; // of all grants alive
    Time m_updated;
    Time m_lastAsked;
    std::uint64_t m_nextId;
    std::uint64_t m_nextTurn = 1;
    std::map<std::uint64_t, Grant> m_grants;
    std::set<std::pair<Time, std::uint64_t>> m_expiries;
    std::map<HostIncarnation, Holder> m_holders;
    double m_wants = 0; // sum over the holders
    std::map<std::uint64_t, Turn> m_turns; // of those that wait, in order
    double m_reserved = 0; // sum over the turns
    Time m_forgotAt;
};

// Holder's side: tokens granted to one host, and when to call the owner.
class TokenCache
{
public:
    // `created` also starts the call numbers, so that a purse made later by the same process never repeats one.
    TokenCache(HostIncarnation self, Time created);

    // Records a wish, so that the stock follows the demand.
    void recordDemand(double amount, Time now);

    // Spends tokens; false when there are too few.
    bool take(double amount, Time now);

    // Takes a spend back while its report is still unsent, since the owner then still counts the tokens as unspent.
    // Returns how much was taken back; a reported spend stays spent.
    double refund(double amount, Time now);

    // Next call to make, if one is due: `waiting` is the amount that requests wait for, `least` that of the first.
    std::optional<GrantRequest> nextRequest(double waiting, double least, Time now);

    // Applies the answer to the outstanding call. `term` counts from before the call was made.
    void handleReply(const GrantReply &reply, Duration term, Time now);

    // The outstanding call failed; the next is due after `pause`.
    void handleFailure(Duration pause, Time now);

    // Forgets a pause, e.g. because the owner changed.
    void clearRetryDelay();

    bool callPending() const;
    double available(Time now);
    double demand(Time now) const; // tokens per second
    bool idle(Time now); // nothing held or to report
    Duration retryAfter(Time now) const;

private:
    struct Batch
    {
        GrantUse use;
        GrantUse reported;
        double amount = 0;
        Time asked;
        Time expiry;
        double left() const
        {
            return amount - use.spent - use.returned;
        }
    };

    void dropExpired(Time now);
    double stockTarget(Time now) const;
    bool reportDue(Time now) const;

    HostIncarnation m_self;
    std::vector<Batch> m_batches; // oldest first
    double m_demand = 0; // decayed sum
    Time m_demandAt;
    bool m_calling = false;
    Time m_askedAt;
    Time m_retryAt;
    Time m_reportedAt;
    Duration m_roundTrip{};
    std::uint64_t m_call = 0;
};

} // namespace banyanledge
