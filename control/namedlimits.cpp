#include "control/namedlimits.h"

namespace banyanledge
{

namespace
{

// Servers with a limit that the leader keeps, and those that it sends to the hosts: the ones heard from last.
constexpr std::size_t maxServers = 1024;
constexpr std::size_t maxServersInReply = 256;

} // namespace

void NamedLimits::recordReport(const proto::SyncRequest &request, Time now)
{
    for (const auto &limit : request.limits()) {
        const LimitStatement statement = receivedStatement(limit, now);
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

void NamedLimits::forget(std::uint32_t server, Time now)
{
    const auto found = m_statements.find(server);
    if (found != m_statements.end()) {
        found->second = {std::nullopt, now};
    }
}

void NamedLimits::addStatements(proto::SyncReply &reply, Time now)
{
    std::erase_if(m_statements, [now](const auto &entry) { return now >= entry.second.saidAt + namedLimitLifetime; });
    for (auto &limit : statementMessages({m_statements.begin(), m_statements.end()}, maxServersInReply, now)) {
        *reply.add_limits() = std::move(limit);
    }
}

} // namespace banyanledge
