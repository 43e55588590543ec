// Raft without I/O: inputs are messages, ticks and proposals; outputs are entries to sync and messages to send.
// Pre-vote, read index, learners, single-server membership changes and identities of data folders, see docs/design.md.
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
    std::string id;
    std::string identity; // of the data folder
    Duration heartbeatInterval = milliseconds(50);
    Duration electionTimeout = milliseconds(300); // smallest; the largest is twice that
    std::uint64_t seed = 0; // of the election timeouts
    // A voter that has been silent for this long is removed when that makes the quorum smaller, but not smaller than
    // minQuorum; a replacement then leaves no dead voter behind. 0: never.
    Duration removeUnreachableAfter{};
    std::size_t minQuorum = 1;
};

// Durable state from which a member starts.
struct RaftState
{
    proto::HardState hard;
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotTerm = 0;
    proto::LogConfig config; // at the snapshot, or the first members of a new group
    std::vector<proto::LogEntry> entries; // after the snapshot
};

// Outcome of a read request.
struct RaftRead
{
    std::uint64_t id = 0;
    std::optional<std::uint64_t> index; // read once applied up to here; nullopt when this member does not lead
};

struct RaftOutput
{
    std::optional<proto::HardState> state; // to sync
    std::vector<proto::LogEntry> entries; // to sync; they replace everything from the first one's index on
    std::optional<proto::LogSnapshot> snapshot; // to store, then Raft::installed()
    std::vector<proto::RaftMessage> messages; // to send once state and entries are synced
    std::vector<proto::RaftMessage> heartbeats; // may be sent even when syncing failed
    std::vector<std::string> snapshotsFor; // members that need the newest snapshot, see Raft::snapshotMessage()
    std::vector<RaftRead> reads;

    bool empty() const;
};

class Raft
{
public:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    Raft(RaftOptions options, const RaftState &state, Time now);

    void tick(Time now);
    void step(const proto::RaftMessage &message, Time now);

    // Appends a command and returns its index; nullopt with lastError() when this member does not lead.
    std::optional<std::uint64_t> propose(const proto::Command &command);

    // Starts a membership change and returns the index of its entry; nullopt with lastError() when this member does not
    // lead or another change is not yet committed.
    std::optional<std::uint64_t> changeMember(const proto::LogMember &member, bool remove);

    // Asks for a read index; the outcome arrives in an output.
    void read(std::uint64_t id);

    // What has to be stored and sent. The caller stores it, then calls persisted() or persistFailed().
    RaftOutput output(Time now);
    void persisted(Time now);

    // Forgets what could not be stored, so that nothing depends on it.
    void persistFailed(Time now);

    // Whether the log holds a snapshot's last entry, so that the entries after it stay when it is installed.
    bool holds(const proto::LogSnapshot &snapshot) const;

    // The offered snapshot was stored durably.
    void installed(const proto::LogSnapshot &snapshot, Time now);

    // Message that carries a snapshot to a member.
    proto::RaftMessage snapshotMessage(const std::string &to, proto::LogSnapshot snapshot, Time now);

    // Drops entries up to an index covered by a stored snapshot.
    void compact(std::uint64_t index);

    // Time of the next needed tick().
    Time deadline() const;

    Role role() const;
    bool isVoter() const;
    std::uint64_t term() const;
    std::uint64_t commit() const;
    const std::string &leader() const; // empty if unknown
    const RaftLog &log() const;

private:
    // Replication state of one other member.
    struct Progress
    {
        std::string identity; // from which `match` was acknowledged
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        std::uint64_t window = 1; // first index sent and not acknowledged
        std::uint64_t round = 0; // newest acknowledged read round
        Time heard{};
        Time moved{}; // last change of `match`, or last resend
        Time snapshotUntil{}; // a snapshot is under way until then
    };

    // Data folder of a member that is not the one in the members' list.
    struct NewIdentity
    {
        std::string identity;
        std::uint64_t round = 0;
        bool confirmed = false;
    };

    void becomeFollower(std::uint64_t term, const std::string &leader, Time now);
    void becomeLeader(Time now);
    void campaign(Role role, Time now);
    void countVotes(Time now);
    void resetElectionDeadline(Time now);
    void onVoteRequest(const proto::RaftMessage &message, Time now);
    void onVoteReply(const proto::RaftMessage &message, Time now);
    void onAppend(const proto::RaftMessage &message, Time now);
    void onSnapshot(const proto::RaftMessage &message, Time now);
    void onProgressReply(const proto::RaftMessage &message, Time now);
    void noteNewIdentity(const proto::RaftMessage &reply);
    void storeEntries(const proto::RaftMessage &message);
    bool leaderHeard(Time now) const;
    bool quorum(const std::set<std::string> &members) const;
    bool quorumHeard(Time now) const;
    void advanceCommit(Time now);
    void answerReads();
    void failReads();
    void replicate(Time now);
    void replicateTo(const std::string &id, Progress &progress, Time now);
    void sendHeartbeats(Time now);
    void adjustMembers(Time now);
    bool removeSilent(Time now);
    void syncProgress(Time now);
    std::uint64_t appendOwn(proto::LogEntry entry);
    std::uint64_t appendConfig(const proto::LogConfig &config);
    bool committedInTerm() const;
    const proto::LogMember *member(const std::string &id) const;
    bool votesIn(const proto::LogConfig &config) const;
    bool mayCampaign() const;
    proto::RaftMessage message(proto::RaftMessage::Kind kind, const std::string &to) const;

    RaftOptions m_options;
    RaftLog m_log;
    proto::HardState m_hard;
    proto::HardState m_persistedHard;
    std::uint64_t m_commit = 0;
    Role m_role = Role::Follower;
    std::string m_leader;
    Time m_leaderHeard{};
    Time m_electionDeadline{};
    Time m_nextHeartbeat{};
    std::mt19937_64 m_random;
    std::map<std::string, std::string> m_votes; // voter to identity
    std::map<std::string, Progress> m_progress;
    std::map<std::string, NewIdentity> m_newIdentities; // members that answered with another data folder
    std::uint64_t m_round = 0;
    bool m_roundWanted = false;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_reads; // id and round
    std::optional<proto::LogSnapshot> m_offered;
    RaftOutput m_output;
};

} // namespace banyanledge
