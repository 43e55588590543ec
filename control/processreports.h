// Collects what gateway hosts saw of the processes of backend servers, until the table holds it. Used on the leader.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Time in which a host's second report that a server ended counts only together with that of another host. A host that
// alone is refused by a server, for example behind a firewall, must not make all hosts take it for ended repeatedly.
constexpr milliseconds repeatedEndTime{10000};

class ProcessReports
{
public:
    using Servers = std::map<std::string, proto::Server>;

    // Keeps the reports of a Sync call that the table does not hold yet.
    void recordReport(const proto::SyncRequest &request, const Servers &servers, Time now);

    // Returns a command for each report that is still news, and keeps none.
    std::vector<proto::Command> takeCommands(const Servers &servers);

private:
    // The last report that a server ended.
    struct EndReport
    {
        std::string host;
        Time at{};
    };

    bool isRepeatedEnd(const proto::ProcessReport &report, const std::string &host, Time now);

    std::map<std::string, proto::ProcessReport> m_pending; // by server id
    std::map<std::string, EndReport> m_endReports; // by server id
};

} // namespace banyanledge
