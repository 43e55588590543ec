// Parses a file that declares customers and rows, and plans the changes that bring the table to it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/types.h"

namespace banyanledge
{

struct DeclaredRow
{
    proto::Row row;
    bool absent = false; // the row must not be in the table
};

struct TableDeclaration
{
    std::map<std::string, bool> customers; // whether the customer is active, by name
    std::map<std::string, DeclaredRow> rows; // by "service/region/customer"
};

// Parses an INI file with sections [customer NAME] (key active) and [row SERVICE REGION CUSTOMER] (keys weight, rate,
// burst, max_in_flight, open, or absent = true). On failure returns nullopt and sets lastError(), which names the
// section and the key.
std::optional<TableDeclaration> parseDeclaration(const std::string &text, const std::string &file);

// Request to the operator interface that changes one customer or row to what is declared.
struct PlannedChange
{
    std::string summary; // shown to operators
    std::string method;
    std::string path;
    std::string body;

    bool operator==(const PlannedChange &) const = default;
};

// Plans the changes from the table to the declaration, in the order in which to send them; empty if there is no
// difference. A row's section declares all of its fields: others are removed from the row. Rows and customers without a
// section don't change. Each change of a row carries the version that was compared, so that it fails if somebody else
// has changed the row since then.
std::vector<PlannedChange> planChanges(const TableDeclaration &declaration, const proto::TableContent &table);

} // namespace banyanledge
