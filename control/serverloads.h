// Number of requests in flight at each backend server, summed over all entry hosts.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "base/types.h"

namespace banyanledge
{

// A host's report is dropped when no newer one arrives within this time.
constexpr milliseconds serverLoadLifetime{2000};

class ServerLoads
{
public:
    // Replaces a host's previous report by that of a new Sync call.
    void recordReport(const proto::SyncRequest &request, Time now);

    // Adds the totals to a reply.
    void addTotals(proto::SyncReply &reply, Time now);

private:
    struct Report
    {
        Time received{};
        std::unordered_map<std::uint32_t, std::uint32_t> inFlight; // by server
    };

    void subtract(const Report &report);

    std::map<std::string, Report> m_reports; // by host
    std::unordered_map<std::uint32_t, std::uint32_t> m_totals; // by server
    Time m_lastExpiry{};
};

} // namespace banyanledge
