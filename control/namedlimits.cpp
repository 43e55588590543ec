#include "control/namedlimits.h"

namespace banyanledge
{

namespace
{

// Servers with a limit that the leader keeps and sends to the hosts.
constexpr std::size_t maxServers = 1024;

} // namespace

void NamedLimits::recordReport(const proto::SyncRequest &request, Time now)
{
    for (const auto &limit : request.limits()) {
        LimitStatement statement;
        statement.saidAt = now - milliseconds(limit.age_ms());
        if (limit.has_per_second()) {
            statement.perSecond = limit.per_second();
        }
        const auto found = m_statements.find(limit.server());
        if (found == m_statements.end() && m_statements.size() >= maxServers) {
            continue;
        }
        LimitStatement &newest = m_statements[limit.server()];
        if (statement.saidAt >= newest.saidAt) {
            newest = statement;
        }
    }
}

void NamedLimits::addStatements(proto::SyncReply &reply, Time now)
{
    std::erase_if(m_statements, [now](const auto &entry) { return now >= entry.second.saidAt + namedLimitLifetime; });
    for (const auto &[server, statement] : m_statements) {
        auto *limit = reply.add_limits();
        limit->set_server(server);
        const auto age = std::chrono::duration_cast<milliseconds>(now - statement.saidAt);
        limit->set_age_ms(static_cast<std::uint32_t>(age.count()));
        if (statement.perSecond) {
            limit->set_per_second(*statement.perSecond);
        }
    }
}

} // namespace banyanledge
