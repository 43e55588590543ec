// Limits that backend servers name for themselves, collected from the reports of all hosts on the leader.
#pragma once

#include <unordered_map>

#include "base/types.h"
#include "decide/namedlimit.h"

namespace banyanledge
{

class NamedLimits
{
public:
    // Records the statements that servers made in responses to a host.
    void recordReport(const proto::SyncRequest &request, Time now);

    // Drops what was said before `now`: the server's process has ended.
    void forget(std::uint32_t server, Time now);

    // Adds the newest statement of each server that named a limit lately.
    void addStatements(proto::SyncReply &reply, Time now);

private:
    std::unordered_map<std::uint32_t, LimitStatement> m_statements; // newest one, by server
};

} // namespace banyanledge
