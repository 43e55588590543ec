// Functions of Raft that run on the leader (proposals, replication, read index, membership changes), and output(),
// persisted() and persistFailed(), which connect Raft to its storage.
#include <algorithm>
#include <functional>

#include "base/invariant.h"
#include "ledger/raft.h"

namespace banyanledge
{

namespace
{

// Maximum number of entries sent to a member before it acknowledges them. Bounds the memory that a slow member costs.
constexpr std::uint64_t maxUnacknowledgedEntries = 4096;

// The same in bytes: entries are sent until this much is not acknowledged.
constexpr std::uint64_t maxUnacknowledgedBytes = 4 << 20;

// Size in bytes at which the entries of one message end; below gRPC's default message limit of 4 MB.
constexpr std::size_t maxMessageBytes = 1 << 20;

// Time after which an unacknowledged snapshot is sent again.
constexpr milliseconds snapshotTimeout{5000};

std::size_t voterCount(const proto::LogConfig &config)
{
    const auto &members = config.members();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const auto &member) { return member.voter(); }));
}

// Number of voters that make a majority.
std::size_t quorumOf(std::size_t voters)
{
    return voters / 2 + 1;
}

proto::LogMember *findMember(proto::LogConfig &config, const std::string &id)
{
    for (auto &member : *config.mutable_members()) {
        if (member.id() == id) {
            return &member;
        }
    }
    return nullptr;
}

std::nullopt_t failNotLeader()
{
    return fail(proto::ERROR_UNAVAILABLE,
                "this host is not the leader of the replicated log; send the command to the leader");
}

} // namespace

std::optional<std::uint64_t> Raft::propose(const proto::Command &command)
{
    if (m_role != Role::Leader) {
        return failNotLeader();
    }
    if (m_handoverEnd != Time{}) {
        return fail(proto::ERROR_UNAVAILABLE, "this leader hands over to another host; send the command again");
    }
    proto::LogEntry entry;
    *entry.mutable_command() = command;
    return appendEntry(std::move(entry));
}

bool Raft::committedInTerm() const
{
    return m_log.term(m_commit) == m_hardState.term();
}

std::optional<std::uint64_t> Raft::changeMember(const proto::LogMember &change, MemberChange kind)
{
    if (m_role != Role::Leader) {
        return failNotLeader();
    }
    // Two uncommitted changes could result in two majorities without a common member. The same could happen with one
    // change started before the leader has committed an entry of its own term, as it then doesn't know whether a change
    // of the previous leader is committed.
    if (m_log.configIndex() > m_commit || !committedInTerm()) {
        return fail(proto::ERROR_CONFLICT,
                    "another membership change, or the first entry of this leader, is not yet committed; retry later");
    }
    return kind == MemberChange::Add ? addMember(change) : removeMember(change, kind);
}

std::optional<std::uint64_t> Raft::confirmMember(const std::string &id)
{
    if (m_role != Role::Leader) {
        return failNotLeader();
    }
    proto::LogEntry entry;
    entry.set_noop(true);
    entry.set_decided_member(id);
    return appendEntry(std::move(entry));
}

std::optional<std::uint64_t> Raft::removeMember(const proto::LogMember &change, MemberChange kind)
{
    auto config = m_log.config();
    const auto *existing = findMember(config, change.id());
    if (existing == nullptr) {
        return fail(proto::ERROR_NOT_FOUND, "member " + change.id() + " does not exist; check the id");
    }
    const std::size_t voters = voterCount(config);
    if (existing->voter() && voters == 1) {
        return fail(proto::ERROR_INVALID, "member " + change.id() + " is the only voter; add another voter first");
    }
    if (kind == MemberChange::Leave && existing->voter() && quorumOf(voters - 1) < m_options.minQuorum) {
        return fail(proto::ERROR_INVALID,
                    "member " + change.id()
                        + " stays a voter, because the others would store too few copies of each "
                          "change; add another voter first");
    }
    auto *members = config.mutable_members();
    members->erase(std::find_if(members->begin(), members->end(),
                                [&change](const auto &member) { return member.id() == change.id(); }));
    return appendConfig(config, change.id());
}

std::optional<std::uint64_t> Raft::addMember(const proto::LogMember &change)
{
    auto config = m_log.config();
    auto *existing = findMember(config, change.id());
    const bool identityChanged =
        existing != nullptr && !change.identity().empty() && existing->identity() != change.identity();
    const bool addressChanged =
        existing != nullptr && !change.rpc_address().empty() && existing->rpc_address() != change.rpc_address();
    if (existing != nullptr && !identityChanged && !addressChanged) {
        return fail(proto::ERROR_EXISTS,
                    "member " + change.id() + " already exists with this address; no change is needed");
    }
    if (identityChanged && existing->voter() && voterCount(config) == 1) {
        return fail(proto::ERROR_INVALID,
                    "member " + change.id() + " is the only voter and cannot be replaced; add another voter first");
    }
    const bool isNew = existing == nullptr;
    if (isNew) {
        existing = config.add_members();
        existing->set_id(change.id());
    }
    if (isNew || identityChanged) {
        existing->set_voter(false);
        existing->set_identity(change.identity());
    }
    if (!change.rpc_address().empty()) {
        existing->set_rpc_address(change.rpc_address());
    }
    return appendConfig(config, change.id());
}

std::uint64_t Raft::appendConfig(const proto::LogConfig &config, const std::string &decidedMember)
{
    proto::LogEntry entry;
    *entry.mutable_config() = config;
    entry.set_decided_member(decidedMember);
    return appendEntry(std::move(entry));
}

void Raft::transferLeadership(Time now)
{
    if (m_role == Role::Leader && m_handoverEnd == Time{}) {
        m_handoverEnd = now + m_options.electionTimeout;
        m_timeoutNowSent = false;
    }
}

// Asks the voter with the longest log to start an election, once it has every entry of this leader: otherwise the
// others would refuse their votes. Ends a handover that no voter has taken in time.
void Raft::continueHandover(Time now)
{
    if (now >= m_handoverEnd) {
        m_handoverEnd = {};
    }
    if (m_handoverEnd == Time{} || m_timeoutNowSent) {
        return;
    }
    for (const auto &[id, progress] : m_progress) {
        const auto *successor = member(id);
        const bool answers = now < progress.lastContact + m_options.electionTimeout;
        if (successor->voter() && answers && progress.match == m_log.lastIndex()) {
            m_output.messages.push_back(message(proto::RaftMessage::TIMEOUT_NOW, id));
            m_timeoutNowSent = true;
            return;
        }
    }
}

// Turns members that answer with a new data folder into learners, removes an unreachable voter, and promotes learners
// that have synced every committed entry. Starts at most one change.
void Raft::updateMembership(Time now)
{
    if (m_log.configIndex() > m_commit || !committedInTerm() || m_handoverEnd != Time{}) {
        return;
    }
    for (const auto &[id, newIdentity] : m_newIdentities) {
        proto::LogMember replaced;
        replaced.set_id(id);
        replaced.set_identity(newIdentity.identity);
        if (newIdentity.confirmed && changeMember(replaced, MemberChange::Add)) {
            m_newIdentities.erase(id);
            return;
        }
    }
    if (removeUnreachableVoter(now)) {
        return;
    }
    auto config = m_log.config();
    for (auto &learner : *config.mutable_members()) {
        const auto found = m_progress.find(learner.id());
        if (learner.voter() || found == m_progress.end() || found->second.identity.empty()
            || found->second.match < m_commit || now >= found->second.lastContact + m_options.electionTimeout) {
            continue;
        }
        learner.set_voter(true);
        learner.set_identity(found->second.identity);
        appendConfig(config, {});
        return;
    }
}

// Returns the voters that have not answered for removeUnreachableAfter, the one that has been silent longest first.
std::vector<proto::LogMember> Raft::unreachableVoters(Time now) const
{
    std::vector<proto::LogMember> unreachable;
    for (const auto &voter : m_log.config().members()) {
        const auto found = m_progress.find(voter.id());
        if (voter.voter() && found != m_progress.end()
            && now >= found->second.lastContact + m_options.removeUnreachableAfter) {
            unreachable.push_back(voter);
        }
    }
    std::stable_sort(unreachable.begin(), unreachable.end(), [this](const auto &a, const auto &b) {
        return m_progress.at(a.id()).lastContact < m_progress.at(b.id()).lastContact;
    });
    return unreachable;
}

// Removes the voter that has been silent longest, while the group has more voters than it needs to bear the loss of all
// but a quorum of minQuorum. A group without successors keeps its silent voters, which count again once they return.
bool Raft::removeUnreachableVoter(Time now)
{
    if (m_options.removeUnreachableAfter == Duration(0) || voterCount(m_log.config()) <= neededVoters()) {
        return false;
    }
    const auto unreachable = unreachableVoters(now);
    return !unreachable.empty() && changeMember(unreachable.front(), MemberChange::Remove).has_value();
}

// A group of this size has a quorum of minQuorum, and still one after the loss of minQuorum - 1 voters.
std::size_t Raft::neededVoters() const
{
    return 2 * m_options.minQuorum - 1;
}

// Updates m_progress to the current members: removes former members, adds new ones, and resets those with a new data
// folder.
void Raft::rebuildProgress(Time now)
{
    std::map<std::string, Progress> updated;
    for (const auto &other : m_log.config().members()) {
        if (other.id() == m_options.id) {
            continue;
        }
        const auto found = m_progress.find(other.id());
        const bool same =
            found != m_progress.end() && (other.identity().empty() || found->second.identity == other.identity());
        auto &progress = updated[other.id()];
        if (same) {
            progress = found->second;
            continue;
        }
        progress.identity = other.identity();
        progress.next = m_log.lastIndex() + 1;
        progress.windowStart = progress.next;
        progress.lastContact = now;
        progress.lastProgress = now;
    }
    m_progress = std::move(updated);
}

bool Raft::hasRecentQuorum(Time now) const
{
    std::set<std::string> reachable{m_options.id};
    for (const auto &[id, progress] : m_progress) {
        if (now < progress.lastContact + m_options.electionTimeout) {
            reachable.insert(id);
        }
    }
    return isQuorum(reachable);
}

// Returns the highest index that at least `count` of the members have synced; 0 if there are fewer members.
std::uint64_t Raft::syncedOn(std::size_t count, bool votersOnly) const
{
    std::vector<std::uint64_t> matches;
    for (const auto &listed : m_log.config().members()) {
        if (votersOnly && !listed.voter()) {
            continue;
        }
        const auto found = m_progress.find(listed.id());
        const auto match = found != m_progress.end() ? found->second.match : 0;
        matches.push_back(listed.id() == m_options.id ? m_log.stableIndex() : match);
    }
    if (count == 0 || matches.size() < count) {
        return 0;
    }
    const auto position = matches.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(matches.begin(), position, matches.end(), std::greater<>());
    return *position;
}

// An entry needs a majority of the voters, and copies on minQuorum disks: after two of five hosts lost their disks, two
// of the remaining three voters would be a majority. Groups with fewer members need all of them.
void Raft::advanceCommit(Time now)
{
    const auto members = static_cast<std::size_t>(m_log.config().members_size());
    const std::uint64_t majority = syncedOn(quorumOf(voterCount(m_log.config())), true);
    const std::uint64_t synced = std::min(majority, syncedOn(std::min(m_options.minQuorum, members), false));
    // Entries of earlier terms are committed only through an entry of the current term, as a later leader could still
    // replace them before that (section 5.4.2 of the Raft paper).
    if (synced > m_commit && m_log.term(synced) == m_hardState.term()) {
        m_commit = synced;
    }
    if (m_log.configIndex() <= m_commit && committedInTerm() && !isVoter()) {
        becomeFollower(m_hardState.term(), "", now); // removed from the group
    }
}

void Raft::read(std::uint64_t id)
{
    if (m_role != Role::Leader) {
        m_output.reads.push_back({id, std::nullopt});
        return;
    }
    m_reads.emplace_back(id, m_round + 1);
    m_roundRequested = true;
}

void Raft::completeReads()
{
    // A leader doesn't know which entries are committed until it has committed one of its own term.
    if (m_reads.empty() || !committedInTerm()) {
        return;
    }
    const auto confirmed = [this](const std::pair<std::uint64_t, std::uint64_t> &read) {
        std::set<std::string> members{m_options.id};
        for (const auto &[id, progress] : m_progress) {
            if (progress.acknowledgedRound >= read.second) {
                members.insert(id);
            }
        }
        return read.second <= m_round && isQuorum(members);
    };
    // Rounds are confirmed in order, so the search ends at the first unconfirmed one.
    auto unconfirmed = m_reads.begin();
    for (; unconfirmed != m_reads.end() && confirmed(*unconfirmed); ++unconfirmed) {
        m_output.reads.push_back({unconfirmed->first, m_commit});
    }
    m_reads.erase(m_reads.begin(), unconfirmed);
}

void Raft::failReads()
{
    for (const auto &[id, round] : m_reads) {
        m_output.reads.push_back({id, std::nullopt});
    }
    m_reads.clear();
    m_roundRequested = false;
}

// Heartbeats carry no entries, so that a member with a full disk can still acknowledge the leader.
void Raft::sendHeartbeats(Time now)
{
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    for (const auto &[id, progress] : m_progress) {
        auto heartbeat = message(proto::RaftMessage::APPEND, id);
        const auto previous = progress.match >= m_log.baseIndex() ? progress.match : 0;
        heartbeat.set_log_index(previous);
        heartbeat.set_log_term(m_log.term(previous));
        heartbeat.set_commit(std::min(m_commit, previous));
        heartbeat.set_round(m_round);
        m_output.heartbeats.push_back(std::move(heartbeat));
    }
}

// Sends entries to the members that answered within the election timeout. The others receive heartbeats only.
void Raft::replicate(Time now)
{
    for (auto &[id, progress] : m_progress) {
        if (now < progress.lastContact + m_options.electionTimeout) {
            replicateTo(id, progress, now);
        }
    }
}

void Raft::replicateTo(const std::string &id, Progress &progress, Time now)
{
    const bool unacknowledged = progress.next > progress.match + 1;
    if (!unacknowledged) {
        progress.lastProgress = std::max(progress.lastProgress, now);
    } else if (now > progress.lastProgress + m_options.electionTimeout) {
        progress.next = std::max(progress.match, m_log.baseIndex()) + 1;
        progress.windowStart = progress.next;
        progress.lastProgress = now;
    }
    if (progress.next <= m_log.baseIndex()) {
        if (now >= progress.snapshotRetryTime) {
            progress.snapshotRetryTime = now + snapshotTimeout;
            m_output.snapshotRecipients.push_back(id);
        }
        return;
    }
    while (progress.next <= m_log.stableIndex() && progress.next - progress.windowStart < maxUnacknowledgedEntries
           && unacknowledgedBytes(progress) < maxUnacknowledgedBytes) {
        auto append = message(proto::RaftMessage::APPEND, id);
        const auto previous = progress.next - 1;
        append.set_log_index(previous);
        append.set_log_term(m_log.term(previous));
        for (auto &entry : m_log.slice(progress.next, m_log.stableIndex(), maxMessageBytes)) {
            *append.add_entries() = std::move(entry);
        }
        progress.next += static_cast<std::uint64_t>(append.entries_size());
        append.set_commit(std::min(m_commit, progress.next - 1));
        append.set_round(m_round);
        m_output.messages.push_back(std::move(append));
    }
}

// Encoded size of the entries that were sent to a member and are not acknowledged.
std::uint64_t Raft::unacknowledgedBytes(const Progress &progress) const
{
    return m_log.bytes(std::max(progress.windowStart - 1, m_log.baseIndex()), progress.next - 1);
}

proto::RaftMessage Raft::snapshotMessage(const std::string &to, proto::LogSnapshot snapshot, Time now)
{
    auto result = message(proto::RaftMessage::SNAPSHOT, to);
    const auto found = m_progress.find(to);
    if (found != m_progress.end()) {
        found->second.next = snapshot.last_index() + 1;
        found->second.windowStart = found->second.next;
        found->second.lastProgress = now + snapshotTimeout; // no resend of entries until the snapshot may have arrived
    }
    *result.mutable_snapshot() = std::move(snapshot);
    return result;
}

void Raft::compact(std::uint64_t index)
{
    BL_INVARIANT(index <= m_commit, "compaction_of_committed_entries");
    m_log.compact(index);
}

RaftOutput Raft::output(Time now)
{
    if (m_role == Role::Leader) {
        updateMembership(now);
        rebuildProgress(now);
        continueHandover(now);
        if (m_roundRequested) {
            ++m_round;
            m_roundRequested = false;
            sendHeartbeats(now);
        }
        replicate(now);
        completeReads();
    }
    RaftOutput result = std::move(m_output);
    m_output = {};
    result.entries = m_log.slice(m_log.stableIndex() + 1, m_log.lastIndex(), SIZE_MAX);
    result.snapshot = std::move(m_receivedSnapshot);
    m_receivedSnapshot.reset();
    if (m_hardState.term() != m_persistedHardState.term()
        || m_hardState.voted_for() != m_persistedHardState.voted_for()) {
        result.hardState = m_hardState;
        // No message may be sent before the new term or vote is synced.
        std::move(result.heartbeats.begin(), result.heartbeats.end(), std::back_inserter(result.messages));
        result.heartbeats.clear();
    }
    return result;
}

void Raft::persisted(Time now)
{
    m_persistedHardState = m_hardState;
    m_log.setStableIndex(m_log.lastIndex());
    if (m_role == Role::Leader) {
        advanceCommit(now);
    }
}

void Raft::persistFailed(Time now)
{
    if (m_log.lastIndex() > m_log.stableIndex()) {
        m_log.truncateAfter(m_log.stableIndex());
    }
    m_commit = std::min(m_commit, m_log.lastIndex());
    const bool termLost = m_hardState.term() != m_persistedHardState.term();
    m_hardState = m_persistedHardState;
    // Candidates and leaders of a term that was not stored step down, and so does a leader whose log has no entry of
    // its term any more, as it could not commit anything.
    if (termLost || (m_role == Role::Leader && m_log.lastTerm() != m_hardState.term())) {
        becomeFollower(m_hardState.term(), "", now);
    }
}

} // namespace banyanledge
