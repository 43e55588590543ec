#include "tests/history.h"

#include <algorithm>
#include <map>

namespace banyanledge::testing
{

namespace
{

using Operations = std::vector<RowOperation>;

std::string describe(const RowOperation &operation)
{
    return operation.row + " version " + std::to_string(operation.version) + " value "
        + std::to_string(operation.value);
}

// Checks that at most one edit writes each version and that reads of the version return its value.
void checkValues(const Operations &operations, std::vector<std::string> &violations)
{
    std::map<std::uint64_t, std::uint64_t> valueByVersion;
    for (const RowOperation &operation : operations) {
        if (operation.outcome != RowOutcome::Succeeded || !operation.isEdit) {
            continue;
        }
        const auto [existing, inserted] = valueByVersion.emplace(operation.version, operation.value);
        if (!inserted && existing->second != operation.value) {
            violations.push_back("two edits wrote the same version: " + describe(operation) + " and value "
                                 + std::to_string(existing->second));
        }
    }
    for (const RowOperation &operation : operations) {
        if (operation.outcome != RowOutcome::Succeeded || operation.isEdit) {
            continue;
        }
        const auto written = valueByVersion.emplace(operation.version, operation.value).first;
        if (written->second != operation.value) {
            violations.push_back("read returned another value than the edit wrote: " + describe(operation));
        }
    }
}

// Checks the real-time order: an operation may not return or write an older version than any operation that ended
// before it started. Visits the operations by start time while `newest` collects the versions of those that ended.
void checkOrder(const Operations &operations, std::vector<std::string> &violations)
{
    Operations byEndTime;
    Operations byStartTime;
    for (const RowOperation &operation : operations) {
        if (operation.outcome == RowOutcome::Succeeded) {
            byEndTime.push_back(operation);
            byStartTime.push_back(operation);
        }
    }
    std::sort(byEndTime.begin(), byEndTime.end(), [](const auto &a, const auto &b) { return a.endTime < b.endTime; });
    std::sort(byStartTime.begin(), byStartTime.end(),
              [](const auto &a, const auto &b) { return a.startTime < b.startTime; });
    std::uint64_t newest = 0;
    auto nextEnded = byEndTime.begin();
    for (const RowOperation &operation : byStartTime) {
        for (; nextEnded != byEndTime.end() && nextEnded->endTime < operation.startTime; ++nextEnded) {
            newest = std::max(newest, nextEnded->version);
        }
        const std::uint64_t minimum = operation.isEdit ? newest + 1 : newest;
        if (operation.version < minimum) {
            violations.push_back("older version: " + describe(operation) + " started after version "
                                 + std::to_string(newest) + " had been returned");
        }
    }
}

// Checks that no read returns the value of a refused edit.
void checkRefused(const Operations &operations, std::vector<std::string> &violations)
{
    std::map<std::uint64_t, bool> refusedValues;
    for (const RowOperation &operation : operations) {
        if (operation.isEdit && operation.outcome == RowOutcome::Refused) {
            refusedValues[operation.value] = true;
        }
    }
    for (const RowOperation &operation : operations) {
        if (!operation.isEdit && operation.outcome == RowOutcome::Succeeded
            && refusedValues.contains(operation.value)) {
            violations.push_back("read returned the value of a refused edit: " + describe(operation));
        }
    }
}

} // namespace

void RowHistory::add(const RowOperation &operation)
{
    const std::lock_guard lock(m_mutex);
    m_operations.push_back(operation);
}

std::size_t RowHistory::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_operations.size();
}

std::vector<std::string> RowHistory::violations() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, Operations> byRow;
    for (const RowOperation &operation : m_operations) {
        byRow[operation.row].push_back(operation);
    }
    std::vector<std::string> violations;
    for (const auto &[row, operations] : byRow) {
        checkValues(operations, violations);
        checkOrder(operations, violations);
        checkRefused(operations, violations);
    }
    return violations;
}

} // namespace banyanledge::testing
