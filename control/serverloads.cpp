#include "control/serverloads.h"

namespace banyanledge
{

void ServerLoads::remove(const Report &report)
{
    for (const auto &[server, count] : report.inFlight) {
        m_sums[server] -= count;
    }
}

void ServerLoads::reported(const proto::SyncRequest &request, Time now)
{
    Report &report = m_reports[request.self().id()];
    remove(report);
    report = {now, {}};
    for (const auto &load : request.servers()) {
        report.inFlight[load.server()] += load.in_flight();
        m_sums[load.server()] += load.in_flight();
    }
}

void ServerLoads::addTo(proto::SyncReply &reply, Time now)
{
    if (now >= m_expired + serverLoadLifetime / 4) {
        m_expired = now;
        std::erase_if(m_reports, [this, now](const auto &entry) {
            const bool old = now >= entry.second.received + serverLoadLifetime;
            if (old) {
                remove(entry.second);
            }
            return old;
        });
        std::erase_if(m_sums, [](const auto &entry) { return entry.second == 0; });
    }
    for (const auto &[server, count] : m_sums) {
        if (count > 0) {
            auto *load = reply.add_servers();
            load->set_server(server);
            load->set_in_flight(count);
        }
    }
}

} // namespace banyanledge
