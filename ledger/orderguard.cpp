#include "ledger/orderguard.h"

#include <algorithm>

namespace banyanledge
{

OrderGuard::Verdict OrderGuard::judge(const OrderClaims &order, const Table &table) const
{
    if (order.seenRevision == 0) {
        return Verdict::Append;
    }
    const bool overlapsAppended = std::any_of(order.subjects.begin(), order.subjects.end(),
                                              [this](const auto &subject) { return m_counts.contains(subject); });
    if (overlapsAppended) {
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

void OrderGuard::recordAppended(const std::vector<std::string> &subjects, std::uint64_t index)
{
    if (subjects.empty()) {
        return;
    }
    m_appended[index] = subjects;
    for (const std::string &subject : subjects) {
        ++m_counts[subject];
    }
}

void OrderGuard::forget(std::map<std::uint64_t, std::vector<std::string>>::iterator first,
                        std::map<std::uint64_t, std::vector<std::string>>::iterator last)
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
