// Raft consensus without I/O. Inputs are messages, ticks and proposals; outputs are entries to sync and messages to
// send. Implements pre-vote, read index, learners and single-server membership changes. Each data folder has a random
// identity, so that a host that lost its disk, and with it its votes, does not count as the voter it was before. See
// docs/design.md.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/types.h"
#include "ledger/raftlog.h"

namespace banyanledge
{

struct RaftOptions
{
    std::string id; // id of this member
    std::string identity; // identity of this member's data folder
    Duration heartbeatInterval = milliseconds(50);
    // Minimum; each timeout is chosen at random from once to twice this, and from a wider range after failed elections.
    Duration electionTimeout = milliseconds(300);
    std::uint64_t seed = 0; // seed of the random election timeouts
    // The leader removes voters that have not answered for this long while there are more than 2 * minQuorum - 1
    // voters. Without this, a replaced host would stay in the group as a dead voter. 0 disables it.
    Duration removeUnreachableAfter{};
    std::size_t minQuorum = 1; // voters; also the number of disks that have to hold an entry before it is committed
};

// Durable state that a member starts from.
struct RaftState
{
    proto::HardState hardState;
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotTerm = 0;
    proto::LogConfig config; // members at the snapshot, or the first members of a new group
    std::vector<proto::LogEntry> entries; // entries after the snapshot
};

// Result of Raft::read().
struct RaftRead
{
    std::uint64_t id = 0; // as given to Raft::read()
    // The read may run once this index is applied. nullopt when this member is not the leader.
    std::optional<std::uint64_t> index;
};

// What the caller must store and send, see Raft::output().
struct RaftOutput
{
    std::optional<proto::HardState> hardState; // term and vote to sync, if they changed
    // Entries to sync. They replace all stored entries from the first one's index on.
    std::vector<proto::LogEntry> entries;
    std::optional<proto::LogSnapshot> snapshot; // received snapshot to store, then call Raft::snapshotInstalled()
    std::vector<proto::RaftMessage> messages; // messages to send after hard state and entries are synced
    std::vector<proto::RaftMessage> heartbeats; // heartbeats and replies to send even when syncing failed
    std::vector<std::string> snapshotRecipients; // members to send the newest snapshot to, see Raft::snapshotMessage()
    std::vector<RaftRead> reads; // completed or failed read requests

    bool empty() const;
};

enum class MemberChange {
    Add, // or update the address or the data folder
    Remove,
    Leave, // remove a member that ends as planned, only if the quorum of the others is at least minQuorum
};

// One member of a Raft group. Not thread-safe.
class Raft
{
public:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    Raft(RaftOptions options, const RaftState &state, Time now);

    // Handles elapsed timers: starts an election or, on the leader, sends heartbeats.
    void tick(Time now);

    // Handles a message from another member.
    void step(const proto::RaftMessage &message, Time now);

    // Appends a command and returns its log index. Returns nullopt and sets lastError() when this member is not the
    // leader.
    std::optional<std::uint64_t> propose(const proto::Command &command);

    // Changes one member and returns the log index of the change. Returns nullopt and sets lastError() when this member
    // is not the leader, another change is not yet committed, or the change is not possible.
    std::optional<std::uint64_t> changeMember(const proto::LogMember &member, MemberChange kind);

    // Appends an entry that changes nothing and decides that a member of the group stays as it is. Returns its log
    // index, or nullopt with lastError() when this member is not the leader.
    std::optional<std::uint64_t> confirmMember(const std::string &id);

    // Hands leadership over to the voter with the longest log, which starts an election at once. Commands are refused
    // until that voter leads or an election timeout has passed. Does nothing on other members than the leader.
    void transferLeadership(Time now);

    // Requests a read index for a linearizable read. The result is in RaftOutput::reads of a later output.
    void read(std::uint64_t id);

    // Returns what must be stored and sent. The caller stores it, then calls persisted() or persistFailed().
    RaftOutput output(Time now);

    // Records that hard state and entries of the last output are synced.
    void persisted(Time now);

    // Discards the hard state and entries that could not be synced, so that no message depends on them.
    void persistFailed(Time now);

    // Returns true if the log contains the last entry of a snapshot. Entries after it are then kept when the snapshot
    // is installed.
    bool containsLastEntry(const proto::LogSnapshot &snapshot) const;

    // Records that the snapshot of an output is stored durably.
    void snapshotInstalled(const proto::LogSnapshot &snapshot, Time now);

    // Returns the message that sends a snapshot to a member.
    proto::RaftMessage snapshotMessage(const std::string &to, proto::LogSnapshot snapshot, Time now);

    // Discards entries up to an index, which a stored snapshot must cover.
    void compact(std::uint64_t index);

    // Returns the time at which tick() must be called next.
    Time deadline() const;

    Role role() const;
    bool isVoter() const; // by the newest members in the log, with this data folder
    std::uint64_t term() const;
    std::uint64_t commit() const; // index of the last committed entry
    const std::string &leader() const; // empty if unknown, or if it has not contacted this member for a timeout
    const RaftLog &log() const;

private:
    // Replication state of one other member.
    struct Progress
    {
        std::string identity; // identity of the data folder that acknowledged `match`
        std::uint64_t match = 0; // last index known to be synced on the member
        std::uint64_t next = 1; // next index to send
        std::uint64_t windowStart = 1; // first index sent but not acknowledged
        std::uint64_t acknowledgedRound = 0; // newest heartbeat round that was acknowledged
        Time lastContact{}; // last reply
        // Time from which the delay of a resend counts: last acknowledgement, rejection or resend of entries; in the
        // future after a snapshot was sent.
        Time lastProgress{};
        Time snapshotRetryTime{}; // no snapshot is sent before this time
    };

    // Identity of a member's data folder that differs from the one in the log, because the member lost its disk.
    struct NewIdentity
    {
        std::string identity;
        std::uint64_t round = 0; // a reply to this round or a later one confirms the identity
        bool confirmed = false;
    };

    void becomeFollower(std::uint64_t term, const std::string &leader, Time now);
    void becomeLeader(Time now);
    // `handover`: the leader asked for the election, so its presence is no reason to refuse the vote.
    void campaign(Role role, Time now, bool handover = false);
    // Once a quorum has granted its votes, a pre-candidate starts the election and a candidate becomes leader.
    void countVotes(Time now);
    void resetElectionDeadline(Time now);
    void onVoteRequest(const proto::RaftMessage &message, Time now);
    // Returns true if this member campaigns too and goes before the sender of a pre-vote request.
    bool goesBefore(const proto::RaftMessage &request, Time now) const;
    void onVoteReply(const proto::RaftMessage &message, Time now);
    void onTimeoutNow(const proto::RaftMessage &message, Time now);
    void onAppend(const proto::RaftMessage &message, Time now);
    void onSnapshot(const proto::RaftMessage &message, Time now);
    void onReplicationReply(const proto::RaftMessage &message, Time now);
    void recordNewIdentity(const proto::RaftMessage &reply);
    void mergeEntries(const proto::RaftMessage &message);
    bool hasRecentLeader(Time now) const;
    bool isQuorum(const std::set<std::string> &members) const;
    bool hasRecentQuorum(Time now) const;
    std::uint64_t syncedOn(std::size_t count, bool votersOnly) const;
    void advanceCommit(Time now);
    void completeReads();
    void failReads();
    void replicate(Time now);
    std::uint64_t unacknowledgedBytes(const Progress &progress) const;
    void replicateTo(const std::string &id, Progress &progress, Time now);
    void sendHeartbeats(Time now);
    std::optional<std::uint64_t> addMember(const proto::LogMember &member);
    std::optional<std::uint64_t> removeMember(const proto::LogMember &member, MemberChange kind);
    void continueHandover(Time now);
    void updateMembership(Time now);
    std::size_t neededVoters() const;
    std::vector<proto::LogMember> unreachableVoters(Time now) const;
    bool removeUnreachableVoter(Time now);
    void rebuildProgress(Time now);
    std::uint64_t appendEntry(proto::LogEntry entry);
    // `decidedMember` is empty for changes that follow from the state of the group, such as a promotion.
    std::uint64_t appendConfig(const proto::LogConfig &config, const std::string &decidedMember);
    // Returns true if an entry of the current term is committed.
    bool committedInTerm() const;
    const proto::LogMember *member(const std::string &id) const;
    bool isVoterIn(const proto::LogConfig &config) const;
    bool canCampaign() const;
    proto::RaftMessage message(proto::RaftMessage::Kind kind, const std::string &to) const;

    RaftOptions m_options;
    RaftLog m_log;
    Time m_handoverEnd{}; // time at which a handover is given up; Time{} without one
    bool m_timeoutNowSent = false; // during this handover
    proto::HardState m_hardState;
    proto::HardState m_persistedHardState;
    std::uint64_t m_commit = 0;
    Role m_role = Role::Follower;
    std::string m_leader;
    Time m_lastLeaderContact{};
    Time m_electionDeadline{};
    Time m_campaignTime{}; // begin of the last pre-vote of this member
    unsigned m_failedElections = 0; // in a row, since a leader was last known
    Time m_nextHeartbeat{};
    std::mt19937_64 m_random;
    std::map<std::string, std::string> m_votes; // granted votes: identity by voter
    std::map<std::string, Progress> m_progress;
    std::map<std::string, NewIdentity> m_newIdentities; // by member
    std::uint64_t m_round = 0; // number of the last heartbeat round; confirms leadership for reads
    bool m_roundRequested = false; // the next output starts a new heartbeat round
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_reads; // read id and the round that confirms it
    std::optional<proto::LogSnapshot> m_receivedSnapshot; // not yet part of an output
    RaftOutput m_output;
};

} // namespace banyanledge
