// Records concurrent operations on versioned rows and checks that the history is linearizable.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge::testing
{

enum class RowOutcome {
    Succeeded, // the edit was accepted, or the read returned a row
    Refused, // version conflict: the edit was not applied
    Unknown, // no usable response: the edit may have been applied
};

// One edit or read of a row. Each accepted edit increments the row's version, so a version identifies one value.
struct RowOperation
{
    std::string row;
    bool isEdit = false;
    std::uint64_t version = 0; // written by the edit or returned to the read
    std::uint64_t value = 0; // each edit writes a different value
    RowOutcome outcome = RowOutcome::Unknown;
    Time startTime;
    Time endTime;
};

// Thread-safe.
class RowHistory
{
public:
    void add(const RowOperation &operation);
    std::size_t size() const;

    // Describes each violation of linearizability. Because versions are unique, three conditions are sufficient: at
    // most one edit writes each version; a read of a version returns the value of that edit; and an operation that
    // starts after another has ended neither returns nor writes an older version. Values of refused edits must not be
    // read.
    std::vector<std::string> violations() const;

private:
    mutable std::mutex m_mutex;
    std::vector<RowOperation> m_operations;
};

} // namespace banyanledge::testing
