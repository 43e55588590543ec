#include "control/serverloads.h"

namespace banyanledge
{

void ServerLoads::subtract(const Report &report)
{
    for (const auto &[server, count] : report.inFlight) {
        m_totals[server] -= count;
    }
}

void ServerLoads::recordReport(const proto::SyncRequest &request, Time now)
{
    Report &report = m_reports[request.self().id()];
    subtract(report);
    report = {now, {}};
    for (const auto &load : request.servers()) {
        report.inFlight[load.server()] += load.in_flight();
        m_totals[load.server()] += load.in_flight();
    }
}

void ServerLoads::addTotals(proto::SyncReply &reply, Time now)
{
    if (now >= m_lastExpiry + serverLoadLifetime / 4) {
        m_lastExpiry = now;
        std::erase_if(m_reports, [this, now](const auto &entry) {
            const bool expired = now >= entry.second.received + serverLoadLifetime;
            if (expired) {
                subtract(entry.second);
            }
            return expired;
        });
        std::erase_if(m_totals, [](const auto &entry) { return entry.second == 0; });
    }
    for (const auto &[server, count] : m_totals) {
        if (count > 0) {
            auto *load = reply.add_servers();
            load->set_server(server);
            load->set_in_flight(count);
        }
    }
}

} // namespace banyanledge
