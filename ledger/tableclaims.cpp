// Functions of Table for claims.
#include "ledger/results.h"
#include "ledger/subjects.h"
#include "ledger/table.h"

namespace banyanledge
{

namespace
{

// Returns true if the host and incarnation in a change are those that hold the claim.
template<typename Claim, typename Change>
bool isHeldBy(const Claim &claim, const Change &change)
{
    return claim.host() == change.host() && claim.incarnation() == change.incarnation();
}

std::string claimKey(const std::string &customer, const std::string &requestId)
{
    return customer + "/" + requestId;
}

} // namespace

void Table::storeClaim(const proto::Claim &claim)
{
    const auto name = claimKey(claim.customer(), claim.request_id());
    m_claims[name] = claim;
    m_claimTimes.emplace_back(claim.time_ms(), name);
}

// A retry of the command that made the claim succeeds again. Any other command, even from the same host, is another
// attempt to run the request and is rejected.
proto::CommandResult Table::applyChange(const proto::ClaimRequest &change, const std::string &changeId)
{
    proto::CommandResult result;
    const auto found = m_claims.find(claimKey(change.customer(), change.request_id()));
    if (found != m_claims.end()) {
        const bool resent = found->second.change_id() == changeId && found->second.state() == proto::CLAIM_HELD;
        if (!resent) {
            result = errorResult(proto::ERROR_EXISTS,
                                 found->second.state() == proto::CLAIM_COMPLETED
                                     ? "the request ran before; its status is in the claim"
                                     : "the request is held by another attempt; wait for its outcome");
        }
        result.set_repeated(resent);
        *result.mutable_claim() = found->second;
        return result;
    }
    proto::Claim claim;
    claim.set_customer(change.customer());
    claim.set_request_id(change.request_id());
    claim.set_host(change.host());
    claim.set_incarnation(change.incarnation());
    claim.set_state(proto::CLAIM_HELD);
    claim.set_time_ms(m_clockMs);
    claim.set_change_id(changeId);
    storeClaim(claim);
    *result.mutable_claim() = claim;
    return result;
}

proto::CommandResult Table::applyChange(const proto::CompleteClaim &change)
{
    const auto found = m_claims.find(claimKey(change.customer(), change.request_id()));
    if (found == m_claims.end()) {
        return errorResult(proto::ERROR_NOT_FOUND, "the request is not claimed; claim it before it runs");
    }
    proto::Claim claim = found->second;
    proto::CommandResult result;
    if (!isHeldBy(claim, change)) {
        result = errorResult(proto::ERROR_CONFLICT, "the claim belongs to another host; only that host completes it");
    } else if (claim.state() == proto::CLAIM_COMPLETED) {
        result.set_repeated(true);
    } else {
        claim.set_state(proto::CLAIM_COMPLETED);
        claim.set_status(change.status());
        claim.set_time_ms(m_clockMs);
        storeClaim(claim);
    }
    *result.mutable_claim() = claim;
    return result;
}

proto::CommandResult Table::applyChange(const proto::ReleaseClaim &change)
{
    // The command that takes the claim, or a second copy of it, may still be on its way; the leader refuses it then.
    if (!change.claim_change_id().empty()) {
        m_decisions.record(releasedClaimSubject(change.claim_change_id()), m_revision);
    }
    const auto found = m_claims.find(claimKey(change.customer(), change.request_id()));
    proto::CommandResult result;
    if (found == m_claims.end()) {
        result.set_repeated(true);
        return result;
    }
    if (!isHeldBy(found->second, change) || found->second.state() != proto::CLAIM_HELD) {
        result = errorResult(proto::ERROR_CONFLICT, "the claim is completed or belongs to another host and stays");
        *result.mutable_claim() = found->second;
        return result;
    }
    m_claims.erase(found);
    return result;
}

const proto::Claim *Table::claim(const std::string &customer, const std::string &requestId) const
{
    const auto found = m_claims.find(claimKey(customer, requestId));
    return found != m_claims.end() ? &found->second : nullptr;
}

bool Table::isClaimReleased(const std::string &claimChangeId) const
{
    return m_decisions.contains(releasedClaimSubject(claimChangeId));
}

} // namespace banyanledge
