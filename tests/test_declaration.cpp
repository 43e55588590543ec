// Tests of table declarations: parsing and the planned changes.
#include <catch2/catch.hpp>

#include <google/protobuf/util/json_util.h>

#include <algorithm>

#include "apps/declaration.h"

using namespace banyanledge;
using Catch::Matchers::Contains;

namespace
{

const std::string declared = "[customer school]\n[customer archive]\nactive = false\n"
                             "[row * * school]\nrate = 300\nburst = 400\n"
                             "[row lessons north *]\nweight = 0\n"
                             "[row old * *]\nabsent = true\n";

std::string rejectionMessage(const std::string &text)
{
    REQUIRE_FALSE(parseDeclaration(text, "f.ini"));
    return lastError().message;
}

std::vector<PlannedChange> planFromText(const std::string &text, const proto::TableContent &table)
{
    const auto declaration = parseDeclaration(text, "f.ini");
    REQUIRE(declaration);
    return planChanges(*declaration, table);
}

// Applies planned changes to the table like a control host.
void applyChanges(const std::vector<PlannedChange> &changes, proto::TableContent &table)
{
    for (const auto &change : changes) {
        if (change.path == "/v1/customers") {
            proto::CreateCustomer create;
            REQUIRE(google::protobuf::util::JsonStringToMessage(change.body, &create).ok());
            table.add_customers()->set_name(create.name());
            table.mutable_customers()->rbegin()->set_active(true);
        } else if (change.path != "/v1/rows") {
            for (auto &customer : *table.mutable_customers()) {
                if (change.path.find("/" + customer.name() + "/") != std::string::npos) {
                    customer.set_active(change.path.ends_with("/return"));
                }
            }
        } else if (change.method == "PUT") {
            proto::PutRow put;
            REQUIRE(google::protobuf::util::JsonStringToMessage(change.body, &put).ok());
            put.mutable_row()->set_version(put.expected_version() + 1);
            *table.add_rows() = put.row();
        } else {
            auto &rows = *table.mutable_rows();
            rows.erase(
                std::remove_if(rows.begin(), rows.end(), [](const proto::Row &row) { return row.service() == "old"; }),
                rows.end());
        }
    }
}

proto::TableContent tableWithOldRow()
{
    proto::TableContent table;
    auto *row = table.add_rows();
    row->set_service("old");
    row->set_region("*");
    row->set_customer("*");
    row->set_version(4);
    return table;
}

} // namespace

TEST_CASE("after the planned changes the table matches the declaration and no change is planned")
{
    proto::TableContent table = tableWithOldRow();
    const auto first = planFromText(declared, table);
    CHECK(first.size() == 6);
    applyChanges(first, table);
    CHECK(planFromText(declared, table).empty());
}

// Guards against overwriting a change by somebody else between plan and apply.
TEST_CASE("each change of a row carries the version that was compared")
{
    proto::TableContent table = tableWithOldRow();
    auto *row = table.add_rows();
    row->set_service("lessons");
    row->set_region("north");
    row->set_customer("*");
    row->set_version(7);
    row->set_weight(100);
    const auto changes = planFromText(declared, table);
    const auto find = [&changes](const std::string &text) {
        return std::find_if(changes.begin(), changes.end(),
                            [&text](const PlannedChange &change) { return change.summary.find(text) == 0; });
    };
    CHECK_THAT(find("~ row lessons")->body, Contains("\"expectedVersion\":\"7\""));
    CHECK(find("~ row lessons")->summary == "~ row lessons north *: weight=100 -> weight=0");
    CHECK_THAT(find("- row old")->body, Contains("\"expectedVersion\":\"4\""));
    CHECK(find("+ row * * school")->body.find("expectedVersion") == std::string::npos);
}

TEST_CASE("a field that is not in the declaration is removed from the row")
{
    proto::TableContent table;
    auto *row = table.add_rows();
    row->set_service("lessons");
    row->set_region("north");
    row->set_customer("*");
    row->set_weight(0);
    row->set_max_in_flight(5);
    const auto changes = planFromText("[row lessons north *]\nweight = 0\n", table);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].body.find("maxInFlight") == std::string::npos);
}

TEST_CASE("errors of a malformed declaration name the location and what to write")
{
    CHECK_THAT(rejectionMessage("[row lessons north]\nweight = 1\n"),
               Contains("[row lessons north]") && Contains("SERVICE"));
    CHECK_THAT(rejectionMessage("[row a b c]\nweight = 1001\n"), Contains("weight") && Contains("0 to 1000"));
    CHECK_THAT(rejectionMessage("[row a b c]\nrate = -1\n"), Contains("at least 0"));
    CHECK_THAT(rejectionMessage("[row a b c]\na = 1\n"), Contains("unknown key"));
    CHECK_THAT(rejectionMessage("[row a b c]\n"), Contains("write the fields"));
    CHECK_THAT(rejectionMessage("[row a b c]\nabsent = true\nweight = 1\n"), Contains("only absent"));
    CHECK_THAT(rejectionMessage("[customer a]\nactive = maybe\n"), Contains("true or false"));
    CHECK_THAT(rejectionMessage("[thing a]\nb = 1\n"), Contains("unknown section"));
    CHECK_THAT(rejectionMessage("[row a b c]\nweight = 1\n[row a b c]\nweight = 2\n"),
               Contains("f.ini:3") && Contains("line 1"));
}
