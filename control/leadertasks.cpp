#include "control/leadertasks.h"

#include "base/log.h"
#include "base/metrics.h"

namespace banyanledge
{

LeaderTasks::LeaderTasks(Node &node, SyncHandler &sync)
    : m_node(node)
    , m_sync(sync)
{
}

void LeaderTasks::handlePlatformList(const PlatformList &list, Time now)
{
    if (!m_sync.leading() || m_pendingPlatformCommands > 0) {
        return;
    }
    propose(platformCommands(list, m_sync.objects(), m_platformPollState, now), m_pendingPlatformCommands);
}

bool LeaderTasks::shouldPollPlatform() const
{
    return m_isLeader;
}

void LeaderTasks::tick(Time now)
{
    m_isLeader = m_sync.leading();
    if (now >= m_nextMetricsUpdate) {
        m_nextMetricsUpdate = now + metricsInterval;
        publishMetrics(now);
    }
    if (m_term != m_sync.status().term()) {
        m_term = m_sync.status().term();
        m_platformPollState = {};
        m_shiftStepTimes = {};
    }
    if (m_sync.leading() && m_pendingBlockCommands == 0) {
        propose(m_sync.requestBlocks().commands(m_sync.objects(), wallClockMs(), now), m_pendingBlockCommands);
    }
    if (!m_sync.leading() || now < m_nextShiftDecision || m_pendingShiftCommands > 0) {
        return;
    }
    m_nextShiftDecision = now + shiftDecisionInterval;
    const auto current = currentPoolLoads(m_sync.loads(), now);
    const auto failed = failedRegions(m_sync.objects(), current);
    const auto loads = markFailedRegions(current, failed);
    propose(shiftCommands(m_sync.objects(), loads, m_sync.loads(), m_shiftStepTimes, now), m_pendingShiftCommands);
    if (!failed.empty() && m_pendingShiftCommands == 0) {
        startFailovers(failed, loads);
    }
}

void LeaderTasks::publishMetrics(Time now)
{
    setMetric("banyanledge_control_leads", {}, m_sync.leading() ? 1 : 0);
    setMetric("banyanledge_applied_revision", {}, static_cast<double>(m_sync.objects().revision));
    setMetric("banyanledge_control_term", {}, static_cast<double>(m_sync.status().term()));
    setMetric("banyanledge_blocked_requests", {}, static_cast<double>(m_sync.objects().blockedRequests.size()));
    std::map<std::string, double> members{
        {"MEMBER_JOINING", 0}, {"MEMBER_LIVE", 0}, {"MEMBER_LEAVING", 0}, {"MEMBER_GONE", 0}};
    for (const auto &[id, member] : m_sync.objects().members) {
        members[proto::MemberState_Name(member.state())] += 1;
    }
    for (const auto &[state, count] : members) {
        setMetric("banyanledge_members", {{"state", state}}, count);
    }
    for (const auto &load : currentPoolLoads(m_sync.loads(), now)) {
        const MetricLabels labels{{"service", load.service()}, {"region", load.region()}};
        setMetric("banyanledge_pool_slots", labels, load.slots());
        setMetric("banyanledge_pool_in_use", labels, load.in_use());
    }
}

// Reads the whole table only while a region has failed, because copying it is expensive.
void LeaderTasks::startFailovers(const std::set<std::string> &failed, const std::vector<proto::PoolLoad> &loads)
{
    bool snapshot = false;
    const auto view = View::next(View(), m_node.contentSince(0, &snapshot), true);
    if (!view) {
        return;
    }
    const auto commands = failoverCommands(failed, *view, loads);
    for (const auto &command : commands) {
        logWarning("proposing a failover shift away from a failed region",
                   {{"shift", command.start_shift().shift().id()}});
        countMetric("banyanledge_failover_shifts_total");
    }
    propose(commands, m_pendingShiftCommands);
}

void LeaderTasks::propose(const std::vector<proto::Command> &commands, unsigned &pending)
{
    pending += static_cast<unsigned>(commands.size());
    for (const auto &command : commands) {
        m_sync.proposeSystem(command, [&pending](const proto::CommandResult &) { --pending; });
    }
}

} // namespace banyanledge
