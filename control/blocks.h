// The leader's decisions on requests that crash backend servers: which to block on all hosts, when one host may try one
// again, and which to unblock. Does no I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "control/tableobjects.h"
#include "decide/crashevidence.h"

namespace banyanledge
{

// Time from blocking a request to its first trial. It doubles with each trial, up to longestTrialDelay.
constexpr std::chrono::minutes firstTrialDelay{5};
constexpr std::chrono::minutes longestTrialDelay{60};

// Time for which the chosen host may try a blocked request.
constexpr milliseconds trialTime{10000};

class RequestBlocks
{
public:
    RequestBlocks();

    // Records the evidence of a Sync call.
    void recordReport(const proto::SyncRequest &request, Time now);

    // Adds the requests whose success all hosts shall report, and those whose crashes they shall forget.
    void addSuspects(proto::SyncReply &reply, Time now) const;

    // Commands that block requests with enough evidence, unblock those that succeeded, and begin and end trials.
    // `wallClockMs` is recorded as the time of the blocking.
    std::vector<proto::Command> commands(const TableObjects &objects, std::int64_t wallClockMs, Time now);

private:
    // What the leader of this term knows about a blocked request.
    struct Block
    {
        Time since{}; // a later success unblocks it: its last crash, or when this leader saw it in the table first
        Time trialsChanged{};
        unsigned trials = 0; // of the request in the table
    };

    void updateBlocks(const TableObjects &objects, Time now);
    std::vector<proto::Command> newBlocks(const TableObjects &objects, std::int64_t wallClockMs, Time now);
    std::vector<proto::Command> nextTrials(const TableObjects &objects, Time now) const;
    std::vector<proto::Command> successes() const;

    CrashEvidence m_evidence;
    std::map<std::string, Block> m_blocks; // by fingerprint

    struct Refusal
    {
        std::string host;
        Time reported{};
    };
    std::map<std::string, Refusal> m_refusals; // last one, by fingerprint
    std::map<std::string, Time> m_lastCrashes; // of the requests that this leader blocked
    std::map<std::string, Time> m_cleared; // when a host last reported a crash before a success
};

} // namespace banyanledge
