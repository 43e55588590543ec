// Decides whether the leader appends an order: one that was decided on before a newer decision on the same subject must
// not follow it in the log.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ledger/table.h"

namespace banyanledge
{

// A change of the control group, or any order that names the revision on which it was decided.
struct RevisionedOrder
{
    std::string changeId; // empty if the order has none
    std::vector<std::string> subjects; // checked ones, see CommandSubjects
    Revision seenRevision = 0; // 0: not checked
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
    // was applied before passes, so that a resent order gets its first result. `knowsDecisions`: the table holds all
    // decisions of earlier leaders.
    Verdict judge(const RevisionedOrder &order, const Table &table, bool knowsDecisions) const;

    // The same for a command. Claims have no revision: a command that takes a claim is old when the claim was released,
    // and one that ends a claim is old when another command has taken the claim since.
    Verdict judge(const proto::Command &command, const Table &table, bool knowsDecisions) const;

    // Records an order that the leader has appended.
    void recordAppended(const CommandSubjects &subjects, std::uint64_t index);

    // Forgets the appended orders up to an index, which are applied.
    void recordApplied(std::uint64_t index);

    // Forgets the appended orders after an index, which are not in the log any more.
    void truncateAfter(std::uint64_t index);

private:
    using SubjectsByIndex = std::map<std::uint64_t, std::vector<std::string>>;

    bool overlapsAppended(const std::vector<std::string> &subjects) const;
    void forget(SubjectsByIndex::iterator first, SubjectsByIndex::iterator last);

    SubjectsByIndex m_appended; // subjects of the appended orders by log index
    std::map<std::string, std::size_t> m_counts; // number of appended orders by subject
};

} // namespace banyanledge
