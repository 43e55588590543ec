// Background tasks of the leader: it applies the platform's list, advances shifts and evacuates failed regions.
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

// Interval of the decisions on shifts.
constexpr milliseconds shiftDecisionInterval{200};

// Interval of the updates of the gauges.
constexpr milliseconds metricsInterval{1000};

// All methods run on the event loop's thread, except where a comment says otherwise.
class LeaderTasks
{
public:
    LeaderTasks(Node &node, SyncHandler &sync);

    // Proposes the changes that a new list of the platform requires. Does nothing unless this control host leads and
    // the outcome of all earlier changes is known.
    void handlePlatformList(const PlatformList &list, Time now);

    // Decides on shifts and failovers and updates the gauges when they are due.
    void tick(Time now);

    // Whether this host should poll the platform's list. May be called from any thread.
    bool shouldPollPlatform() const;

private:
    void propose(const std::vector<proto::Command> &commands, unsigned &pending);
    void publishMetrics(Time now);
    void startFailovers(const std::set<std::string> &failed, const std::vector<proto::PoolLoad> &loads);

    Node &m_node;
    SyncHandler &m_sync;
    std::atomic<bool> m_isLeader = false;
    std::uint64_t m_term = 0; // term to which the remembered state belongs
    PlatformPollState m_platformPollState;
    ShiftStepTimes m_shiftStepTimes;
    Time m_nextShiftDecision{};
    Time m_nextMetricsUpdate{};
    // Numbers of proposed commands without a known outcome. New ones of the same kind are decided on only at 0.
    unsigned m_pendingPlatformCommands = 0;
    unsigned m_pendingShiftCommands = 0;
    unsigned m_pendingBlockCommands = 0;
};

} // namespace banyanledge
