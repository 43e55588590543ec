// The part of the table that the loops of a control host need, kept up to date by deltas.
#pragma once

#include <map>
#include <string>

#include "base/types.h"

namespace banyanledge
{

struct TableObjects
{
    Revision revision = 0; // of the newest delta
    Revision changed = 0; // of the newest delta that held an object or a tombstone
    std::map<std::string, proto::Member> members;
    std::map<std::string, proto::Server> servers;
    std::map<std::string, proto::Shift> shifts;
    proto::Declaration declaration; // in force; version 0: none
};

// Applies a delta, or replaces everything when `snapshot` is set.
void applyContent(TableObjects &objects, const proto::TableContent &content, bool snapshot);

// Command of the system itself with a change id of its own.
proto::Command systemCommand();

} // namespace banyanledge
