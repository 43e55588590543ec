#include "ledger/orderguard.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Whether another command has taken the claim that the change is to end.
template<typename Change>
bool isOfEarlierClaim(const Change &change, const Table &table)
{
    const proto::Claim *claim = table.claim(change.customer(), change.request_id());
    return claim != nullptr && !change.claim_change_id().empty() && claim->change_id() != change.claim_change_id();
}

bool isOldClaim(const proto::Command &command, const Table &table)
{
    switch (command.change_case()) {
    case proto::Command::kClaim:
        return table.isClaimReleased(command.change_id());
    case proto::Command::kCompleteClaim:
        return isOfEarlierClaim(command.complete_claim(), table);
    case proto::Command::kReleaseClaim:
        return isOfEarlierClaim(command.release_claim(), table);
    default:
        return false;
    }
}

} // namespace

bool OrderGuard::overlapsAppended(const std::vector<std::string> &subjects) const
{
    return std::any_of(subjects.begin(), subjects.end(),
                       [this](const auto &subject) { return m_counts.contains(subject); });
}

OrderGuard::Verdict OrderGuard::judge(const RevisionedOrder &order, const Table &table, bool knowsDecisions) const
{
    if (order.seenRevision == 0) {
        return Verdict::Append;
    }
    if (!knowsDecisions || overlapsAppended(order.subjects)) {
        return Verdict::Wait;
    }
    if (table.hasResult(order.changeId)) {
        return Verdict::Append;
    }
    const bool isOld = std::any_of(order.subjects.begin(), order.subjects.end(), [&](const auto &subject) {
        return table.newestDecision(subject) > order.seenRevision;
    });
    return isOld ? Verdict::Refuse : Verdict::Append;
}

OrderGuard::Verdict OrderGuard::judge(const proto::Command &command, const Table &table, bool knowsDecisions) const
{
    const CommandSubjects subjects = subjectsOf(command);
    const bool isClaim = command.has_claim() || command.has_complete_claim() || command.has_release_claim();
    if (!isClaim) {
        return judge(RevisionedOrder{command.change_id(), subjects.checked, command.seen_revision()}, table,
                     knowsDecisions);
    }
    if (!knowsDecisions || overlapsAppended(subjects.checked)) {
        return Verdict::Wait;
    }
    return isOldClaim(command, table) ? Verdict::Refuse : Verdict::Append;
}

void OrderGuard::recordAppended(const CommandSubjects &subjects, std::uint64_t index)
{
    std::vector<std::string> all = subjects.checked;
    all.insert(all.end(), subjects.recorded.begin(), subjects.recorded.end());
    if (all.empty()) {
        return;
    }
    for (const std::string &subject : all) {
        ++m_counts[subject];
    }
    m_appended[index] = std::move(all);
}

void OrderGuard::forget(SubjectsByIndex::iterator first, SubjectsByIndex::iterator last)
{
    for (auto entry = first; entry != last; ++entry) {
        for (const std::string &subject : entry->second) {
            const auto count = m_counts.find(subject);
            if (--count->second == 0) {
                m_counts.erase(count);
            }
        }
    }
    m_appended.erase(first, last);
}

void OrderGuard::recordApplied(std::uint64_t index)
{
    forget(m_appended.begin(), m_appended.upper_bound(index));
}

void OrderGuard::truncateAfter(std::uint64_t index)
{
    forget(m_appended.upper_bound(index), m_appended.end());
}

} // namespace banyanledge
