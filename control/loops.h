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
constexpr milliseconds shiftInterval{200};

// Time between updates of the gauges.
constexpr milliseconds metricsInterval{1000};

// All functions run on the thread of the event loop.
class LeaderLoops
{
public:
    LeaderLoops(Node &node, SyncHandler &sync);

    // Takes a list of the platform; ignored unless this control host leads.
    void platformList(const PlatformList &list, Time now);

    void tick(Time now);

    // Whether this host should poll the platform's list; safe from any thread.
    bool wantsList() const;

private:
    void propose(const std::vector<proto::Command> &commands, unsigned &pending);
    void publishMetrics(Time now);
    void startFailovers(const std::set<std::string> &failed, const std::vector<proto::PoolLoad> &loads);

    Node &m_node;
    SyncHandler &m_sync;
    std::atomic<bool> m_leads = false;
    std::uint64_t m_term = 0; // of what is remembered
    PlatformMemory m_platform;
    ShiftMemory m_shifts;
    Time m_nextShifts{};
    Time m_nextMetrics{};
    unsigned m_pendingPlatform = 0; // commands whose outcome is not known yet; none is decided upon meanwhile
    unsigned m_pendingShifts = 0;
};

} // namespace banyanledge
