// Requests in flight at each backend server over all entry hosts.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "base/types.h"

namespace banyanledge
{

// A host that does not report for this long has no requests in flight that count.
constexpr milliseconds serverLoadLifetime{2000};

class ServerLoads
{
public:
    // Takes the report of a host's Sync call in place of its previous one.
    void recordReport(const proto::SyncRequest &request, Time now);

    // Adds the sums to an answer.
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
