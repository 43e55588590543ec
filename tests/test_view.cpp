// Views of the table on entry hosts: deltas, tombstones, precedence of rows, and rejection of older content.
#include <catch2/catch.hpp>

#include "base/invariant.h"
#include "decide/view.h"

using namespace banyanledge;

namespace
{

proto::TableContent content(Revision revision)
{
    proto::TableContent result;
    result.set_revision(revision);
    return result;
}

void addRow(proto::TableContent &table, const std::string &service, const std::string &region,
            const std::string &customer, std::uint32_t weight, Revision revision)
{
    proto::Row *row = table.add_rows();
    row->set_service(service);
    row->set_region(region);
    row->set_customer(customer);
    row->set_weight(weight);
    row->set_revision(revision);
}

void addKey(proto::TableContent &table, const std::string &id, const std::string &digest, bool withdrawn)
{
    proto::Key *key = table.add_keys();
    key->set_id(id);
    key->set_digest(digest);
    key->set_customer("school");
    key->set_withdrawn(withdrawn);
}

proto::TableContent withCustomer(Revision revision, bool active)
{
    auto table = content(revision);
    table.add_customers()->set_name("school");
    table.mutable_customers(0)->set_active(active);
    return table;
}

void addTombstone(proto::TableContent &table, const std::string &kind, const std::string &key, Revision revision)
{
    proto::Tombstone *tombstone = table.add_tombstones();
    tombstone->set_kind(kind);
    tombstone->set_key(key);
    tombstone->set_revision(revision);
}

} // namespace

TEST_CASE("the most specific row that sets a field wins: customer before service before region")
{
    auto table = content(1);
    addRow(table, "*", "*", "*", 1, 1);
    addRow(table, "*", "north", "*", 2, 1);
    addRow(table, "lessons", "*", "*", 3, 1);
    addRow(table, "lessons", "north", "*", 4, 1);
    addRow(table, "*", "*", "school", 5, 1);
    const auto view = View::next(View(), table, true);
    CHECK(view->weight("lessons", "north", "school") == 5);
    CHECK(view->weight("lessons", "north", "other") == 4);
    CHECK(view->weight("lessons", "south", "other") == 3);
    CHECK(view->weight("booking", "north", "other") == 2);
    CHECK(view->weight("booking", "south", "other") == 1);
    CHECK(View().weight("booking", "south", "other") == defaultWeight);
}

TEST_CASE("a delta changes a later view and leaves the earlier one as it was")
{
    auto table = content(5);
    addRow(table, "lessons", "north", "*", 10, 5);
    const auto before = View::next(View(), table, true);
    auto delta = content(6);
    addRow(delta, "lessons", "north", "*", 20, 6);
    const auto after = View::next(*before, delta, false);
    CHECK(before->weight("lessons", "north", "x") == 10);
    CHECK(after->weight("lessons", "north", "x") == 20);
    CHECK(after->revision() == 6);
}

TEST_CASE("kinds that a delta does not touch are shared, not copied")
{
    auto table = content(5);
    addRow(table, "lessons", "north", "*", 10, 5);
    table.add_servers()->set_id("s1");
    const auto before = View::next(View(), table, true);
    auto delta = content(6);
    addRow(delta, "lessons", "south", "*", 20, 6);
    const auto after = View::next(*before, delta, false);
    CHECK(&after->servers() == &before->servers());
    CHECK(&after->rows() != &before->rows());
}

TEST_CASE("a tombstone removes its object, but not one that was created again later")
{
    auto table = content(5);
    addRow(table, "a", "*", "*", 10, 3);
    addRow(table, "b", "*", "*", 10, 5);
    const auto before = View::next(View(), table, true);
    auto delta = content(7);
    addTombstone(delta, "row", "a/*/*", 6);
    addTombstone(delta, "row", "b/*/*", 4);
    const auto after = View::next(*before, delta, false);
    CHECK(after->rows().size() == 1);
    CHECK(after->rows().contains("b/*/*"));
}

TEST_CASE("a key serves only while it is not withdrawn and its customer is active, also when the customer returns")
{
    auto table = withCustomer(1, true);
    addKey(table, "k1", "digest1", false);
    addKey(table, "k2", "digest2", true);
    const auto active = View::next(View(), table, true);
    CHECK(active->customerOfKey("digest1") != nullptr);
    CHECK(active->customerOfKey("digest2") == nullptr);
    CHECK(active->customerOfKey("digest3") == nullptr);
    const auto cancelled = View::next(*active, withCustomer(2, false), false);
    CHECK(cancelled->customerOfKey("digest1") == nullptr);
    const auto returned = View::next(*cancelled, withCustomer(3, true), false);
    CHECK(returned->customerOfKey("digest1") != nullptr);
    CHECK(returned->customerOfKey("digest2") == nullptr);
}

TEST_CASE("older content is rejected and counted, so that a configuration never reverts")
{
    setInvariantsFatal(false);
    const auto view = View::next(View(), content(5), true);
    CHECK(View::next(*view, content(4), false) == nullptr);
    CHECK(View::next(*view, content(4), true) == nullptr);
    CHECK(brokenInvariants()["revision_never_reverts"] == 2);
    setInvariantsFatal(true);
}
