// Tests the linearizability check with constructed histories. Without it, a check that finds nothing would let
// test_rows pass whatever the control hosts do.
#include <catch2/catch.hpp>

#include "tests/history.h"

using namespace banyanledge;
using namespace banyanledge::testing;

namespace
{

RowOperation operation(bool isEdit, std::uint64_t version, std::uint64_t value, int startMs, int endMs)
{
    return {"r", isEdit, version, value, RowOutcome::Succeeded, Time(milliseconds(startMs)), Time(milliseconds(endMs))};
}

std::size_t countViolations(const std::vector<RowOperation> &operations)
{
    RowHistory history;
    for (const RowOperation &recorded : operations) {
        history.add(recorded);
    }
    return history.violations().size();
}

} // namespace

TEST_CASE("a linearizable history has no violations")
{
    CHECK(countViolations({operation(true, 1, 10, 0, 5), operation(true, 2, 20, 3, 8), operation(false, 1, 10, 4, 6),
                           operation(false, 2, 20, 9, 10)})
          == 0);
}

TEST_CASE("two edits that write the same version are found")
{
    CHECK(countViolations({operation(true, 1, 10, 0, 5), operation(true, 1, 11, 1, 5)}) == 1);
}

TEST_CASE("a stale read and an edit that writes an older version are found")
{
    CHECK(countViolations({operation(true, 1, 10, 0, 5), operation(true, 2, 20, 6, 8), operation(false, 1, 10, 9, 10)})
          == 1);
    CHECK(countViolations({operation(true, 2, 20, 0, 5), operation(true, 1, 10, 6, 8)}) == 1);
}

TEST_CASE("a read of the value of a refused edit is found")
{
    RowOperation refused = operation(true, 2, 30, 0, 5);
    refused.outcome = RowOutcome::Refused;
    CHECK(countViolations({refused, operation(false, 2, 30, 6, 7)}) == 1);
}
