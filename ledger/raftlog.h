// In-memory part of the replicated log: the entries after the last compaction, and the group's members at each index.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// The entries after baseIndex(). Indexes start at 1.
class RaftLog
{
public:
    // `baseIndex` and `baseTerm` are the index and term of the last entry that the snapshot covers, and `config` holds
    // the members at that index. All given entries count as synced.
    RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, const proto::LogConfig &config,
            const std::vector<proto::LogEntry> &entries);

    // Index of the last entry that was removed because a snapshot covers it; 0 if none was.
    std::uint64_t baseIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;

    // Returns the term of an entry, or 0 for index 0 and for indexes outside of baseIndex() to lastIndex().
    std::uint64_t term(std::uint64_t index) const;

    // Returns an entry. The index must be greater than baseIndex() and at most lastIndex().
    const proto::LogEntry &at(std::uint64_t index) const;

    // Returns entries from `first` to `last`, stopping once their encoded size reaches `maxBytes`; at least one if
    // there is any.
    std::vector<proto::LogEntry> slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const;

    // Encoded size in bytes of the entries after `first` up to `last`, both within baseIndex() to lastIndex().
    std::uint64_t bytes(std::uint64_t first, std::uint64_t last) const;

    // Appends an entry, whose index must be lastIndex() + 1.
    void append(proto::LogEntry entry);

    // Removes all entries after an index.
    void truncateAfter(std::uint64_t index);

    // Removes all entries up to an index, which a snapshot must cover. Does nothing for an index outside of the log.
    void compact(std::uint64_t index);

    // Returns the current members: those of the newest entry that sets them, committed or not, as Raft requires.
    const proto::LogConfig &config() const;
    // Returns the index of the entry that set the current members, or the base index.
    std::uint64_t configIndex() const;

    // Returns the members as of an index, which must be at least baseIndex().
    const proto::LogConfig &configAt(std::uint64_t index) const;

    // Index of the last synced entry; truncateAfter() lowers it.
    std::uint64_t stableIndex() const;
    void setStableIndex(std::uint64_t index);

private:
    std::uint64_t m_baseIndex;
    std::uint64_t m_baseTerm;
    std::uint64_t m_stableIndex;
    std::deque<proto::LogEntry> m_entries;
    std::deque<std::uint64_t> m_ends; // by entry: encoded size of all entries ever appended up to this one
    std::uint64_t m_baseEnd = 0; // the same for the base index
    std::map<std::uint64_t, proto::LogConfig> m_configs; // by index; the first one applies from the base index on
};

} // namespace banyanledge
