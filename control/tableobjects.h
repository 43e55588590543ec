// The objects of the table that a control host's tasks need, kept up to date by deltas.
#pragma once

#include <map>
#include <string>

#include "base/types.h"

namespace banyanledge
{

struct TableObjects
{
    Revision revision = 0; // revision of the newest delta
    Revision changed = 0; // revision of the newest delta with an object or a tombstone
    std::map<std::string, proto::Member> members;
    std::map<std::string, proto::Server> servers;
    std::map<std::string, proto::Shift> shifts;
    std::map<std::string, proto::BlockedRequest> blockedRequests; // by id
    proto::Declaration declaration; // in force; version 0: none
};

// Applies a delta, or replaces all objects but the declaration when `content` is a snapshot.
void applyContent(TableObjects &objects, const proto::TableContent &content, bool snapshot);

// Returns an empty command with the actor "system" and a new change id.
proto::Command systemCommand();

} // namespace banyanledge
