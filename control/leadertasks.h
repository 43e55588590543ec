// What the leader does by itself: follows the platform's list, advances shifts and evacuates failed regions.
#pragma once

#include <atomic>
#include <map>
#include <set>
#include <string>

#include "control/platform.h"
#include "control/shifts.h"
#include "control/sync.h"
#include "ledger/node.h"

namespace banyanledge
{

// Time between decisions on shifts.
constexpr milliseconds shiftDecisionInterval{200};

// Time between updates of the gauges.
constexpr milliseconds metricsInterval{1000};

// All functions run on the thread of the event loop.
class LeaderTasks
{
public:
    LeaderTasks(Node &node, SyncHandler &sync);

    // Takes a list of the platform; ignored unless this control host leads.
    void handlePlatformList(const PlatformList &list, Time now);

    void tick(Time now);

    // Whether this host should poll the platform's list; safe from any thread.
    bool shouldPollPlatform() const;

private:
    void propose(const std::vector<proto::Command> &commands, unsigned &pending);
    void publishMetrics(Time now);
    void startFailovers(const std::set<std::string> &failed, const std::vector<proto::PoolLoad> &loads);

    Node &m_node;
    SyncHandler &m_sync;
    std::atomic<bool> m_isLeader = false;
    std::uint64_t m_term = 0; // of what is remembered
    PlatformPollState m_platformPollState;
    ShiftStepTimes m_shiftStepTimes;
    Time m_nextShiftDecision{};
    Time m_nextMetricsUpdate{};
    unsigned m_pendingPlatformCommands = 0; // commands whose outcome is not known yet; none is decided upon meanwhile
    unsigned m_pendingShiftCommands = 0;
};

} // namespace banyanledge
