// Decides whether the leader appends an order: one that was decided on before a newer decision on the same subject must
// not follow it in the log.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ledger/table.h"

namespace banyanledge
{

// What an order says of itself.
struct OrderClaims
{
    std::string changeId; // empty if the order has none
    std::vector<std::string> subjects; // checked ones, see CommandSubjects
    Revision seenRevision = 0; // revision of the state on which the order was decided; 0: not checked
};

// Not thread-safe.
class OrderGuard
{
public:
    enum class Verdict {
        Append,
        Wait, // an earlier order on a subject is not applied yet; ask again when it is
        Refuse, // a newer decision on a subject was applied
    };

    // Judges an order by the applied decisions and those that were appended and are not applied yet. A change id that
    // was applied before passes, so that a resent order gets its first result.
    Verdict judge(const OrderClaims &order, const Table &table) const;

    // Records an order that the leader has appended.
    void recordAppended(const std::vector<std::string> &subjects, std::uint64_t index);

    // Forgets the appended orders up to an index, which are applied.
    void recordApplied(std::uint64_t index);

    // Forgets the appended orders after an index, which are not in the log any more.
    void truncateAfter(std::uint64_t index);

private:
    std::map<std::uint64_t, std::vector<std::string>> m_appended; // subjects by log index
    std::map<std::string, std::size_t> m_counts; // appended orders by subject

    void forget(std::map<std::uint64_t, std::vector<std::string>>::iterator first,
                std::map<std::uint64_t, std::vector<std::string>>::iterator last);
};

} // namespace banyanledge
