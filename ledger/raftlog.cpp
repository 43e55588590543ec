#include "ledger/raftlog.h"

#include <algorithm>
#include <iterator>

namespace banyanledge
{

RaftLog::RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, const proto::LogConfig &config,
                 const std::vector<proto::LogEntry> &entries)
    : m_baseIndex(baseIndex)
    , m_baseTerm(baseTerm)
    , m_stableIndex(baseIndex)
{
    m_configs[baseIndex] = config;
    for (const auto &entry : entries) {
        append(entry);
    }
    m_stableIndex = lastIndex();
}

std::uint64_t RaftLog::baseIndex() const
{
    return m_baseIndex;
}

std::uint64_t RaftLog::lastIndex() const
{
    return m_baseIndex + m_entries.size();
}

std::uint64_t RaftLog::lastTerm() const
{
    return term(lastIndex());
}

std::uint64_t RaftLog::term(std::uint64_t index) const
{
    if (index == m_baseIndex) {
        return m_baseTerm;
    }
    return index > m_baseIndex && index <= lastIndex() ? at(index).term() : 0;
}

const proto::LogEntry &RaftLog::at(std::uint64_t index) const
{
    return m_entries[index - m_baseIndex - 1];
}

std::vector<proto::LogEntry> RaftLog::slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const
{
    std::vector<proto::LogEntry> result;
    std::size_t size = 0;
    for (auto index = first; index <= last && (result.empty() || size < maxBytes); ++index) {
        result.push_back(at(index));
        size += result.back().ByteSizeLong();
    }
    return result;
}

void RaftLog::append(proto::LogEntry entry)
{
    if (entry.has_config()) {
        m_configs[entry.index()] = entry.config();
    }
    m_ends.push_back((m_ends.empty() ? m_baseEnd : m_ends.back()) + entry.ByteSizeLong());
    m_entries.push_back(std::move(entry));
}

std::uint64_t RaftLog::bytes(std::uint64_t first, std::uint64_t last) const
{
    const auto endOf = [this](std::uint64_t index) {
        return index == m_baseIndex ? m_baseEnd : m_ends[index - m_baseIndex - 1];
    };
    return last > first ? endOf(last) - endOf(first) : 0;
}

void RaftLog::truncateAfter(std::uint64_t index)
{
    m_entries.resize(index - m_baseIndex);
    m_ends.resize(m_entries.size());
    m_configs.erase(m_configs.upper_bound(index), m_configs.end());
    m_stableIndex = std::min(m_stableIndex, index);
}

void RaftLog::compact(std::uint64_t index)
{
    if (index <= m_baseIndex || index > lastIndex()) {
        return;
    }
    const auto newTerm = term(index);
    const auto newConfig = configAt(index);
    m_baseEnd += bytes(m_baseIndex, index);
    m_ends.erase(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex));
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex));
    m_configs.erase(m_configs.begin(), m_configs.upper_bound(index));
    m_configs[index] = newConfig;
    m_baseIndex = index;
    m_baseTerm = newTerm;
}

const proto::LogConfig &RaftLog::config() const
{
    return m_configs.rbegin()->second;
}

std::uint64_t RaftLog::configIndex() const
{
    return m_configs.rbegin()->first;
}

const proto::LogConfig &RaftLog::configAt(std::uint64_t index) const
{
    return std::prev(m_configs.upper_bound(index))->second;
}

std::uint64_t RaftLog::stableIndex() const
{
    return m_stableIndex;
}

void RaftLog::setStableIndex(std::uint64_t index)
{
    m_stableIndex = index;
}

} // namespace banyanledge
