#include "control/processreports.h"

#include <utility>

#include "control/tableobjects.h"

namespace banyanledge
{

namespace
{

// Whether the table does not hold the report yet, nor a later change of the process.
bool isNews(const proto::ProcessReport &report, const ProcessReports::Servers &servers)
{
    const auto found = servers.find(report.id());
    return found != servers.end() && found->second.incarnation() == report.incarnation()
        && !(report.ended() && found->second.ended());
}

} // namespace

bool ProcessReports::isRepeatedEnd(const proto::ProcessReport &report, const std::string &host, Time now)
{
    std::erase_if(m_endReports, [now](const auto &entry) { return now >= entry.second.at + repeatedEndTime; });
    const auto [found, added] = m_endReports.try_emplace(report.id(), EndReport{host, now});
    if (added) {
        return false;
    }
    const bool isRepeated = found->second.host == host;
    if (!isRepeated) {
        found->second = {host, now};
    }
    return isRepeated;
}

void ProcessReports::recordReport(const proto::SyncRequest &request, const Servers &servers, Time now)
{
    for (const auto &report : request.process_reports()) {
        if (!isNews(report, servers) || (report.ended() && isRepeatedEnd(report, request.self().id(), now))) {
            continue;
        }
        const auto [found, added] = m_pending.try_emplace(report.id(), report);
        // A start is later than the end of the same incarnation.
        if (!added && (!report.ended() || found->second.incarnation() != report.incarnation())) {
            found->second = report;
        }
    }
}

std::vector<proto::Command> ProcessReports::takeCommands(const Servers &servers)
{
    std::vector<proto::Command> commands;
    for (const auto &[id, report] : std::exchange(m_pending, {})) {
        if (isNews(report, servers)) {
            commands.push_back(systemCommand());
            *commands.back().mutable_record_process_report()->mutable_report() = report;
        }
    }
    return commands;
}

} // namespace banyanledge
