// The leader's part of Raft: proposals, replication, read index and members; and the exchange with storage.
#include <algorithm>
#include <functional>

#include "base/invariant.h"
#include "ledger/raft.h"

namespace banyanledge
{

namespace
{

// Entries sent ahead of a member's acknowledgement; more wait, so that a slow member costs bounded memory.
constexpr std::uint64_t sendWindow = 4096;

// Size of the entries in one message, in bytes; below gRPC's default limit of 4 MB.
constexpr std::size_t messageBytes = 1 << 20;

// Time after which a snapshot that was not acknowledged is sent again.
constexpr milliseconds snapshotTimeout{5000};

// Heartbeats without progress after which unacknowledged entries are sent again.
constexpr int resendHeartbeats = 4;

std::size_t voterCount(const proto::LogConfig &config)
{
    const auto &members = config.members();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const auto &member) { return member.voter(); }));
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

std::nullopt_t notLeading()
{
    return fail(proto::ERROR_UNAVAILABLE, "this host does not lead the replicated log; send the command to the leader");
}

} // namespace

std::optional<std::uint64_t> Raft::propose(const proto::Command &command)
{
    if (m_role != Role::Leader) {
        return notLeading();
    }
    proto::LogEntry entry;
    *entry.mutable_command() = command;
    return appendOwn(std::move(entry));
}

bool Raft::committedInTerm() const
{
    return m_log.term(m_commit) == m_hard.term();
}

std::optional<std::uint64_t> Raft::changeMember(const proto::LogMember &change, bool remove)
{
    if (m_role != Role::Leader) {
        return notLeading();
    }
    // Two uncommitted changes could form majorities without a common member, as could one that is started before the
    // leader knows that its predecessor's changes are settled.
    if (m_log.configIndex() > m_commit || !committedInTerm()) {
        return fail(proto::ERROR_CONFLICT, "another change of the members is not yet committed; repeat this one then");
    }
    auto config = m_log.config();
    auto *known = findMember(config, change.id());
    if (remove) {
        if (known == nullptr) {
            return fail(proto::ERROR_NOT_FOUND, "member " + change.id() + " does not exist; check the id");
        }
        if (known->voter() && voterCount(config) == 1) {
            return fail(proto::ERROR_INVALID, "member " + change.id() + " is the only voter; add another one first");
        }
        auto *members = config.mutable_members();
        members->erase(std::find_if(members->begin(), members->end(),
                                    [&change](const auto &member) { return member.id() == change.id(); }));
        return appendConfig(config);
    }
    const bool newFolder = known != nullptr && !change.identity().empty() && known->identity() != change.identity();
    const bool newAddress =
        known != nullptr && !change.rpc_address().empty() && known->rpc_address() != change.rpc_address();
    if (known != nullptr && !newFolder && !newAddress) {
        return fail(proto::ERROR_EXISTS, "member " + change.id() + " exists with this address; nothing is to be done");
    }
    if (newFolder && known->voter() && voterCount(config) == 1) {
        return fail(proto::ERROR_INVALID, "member " + change.id() + " is the only voter and cannot be replaced");
    }
    const bool isNew = known == nullptr;
    if (isNew) {
        known = config.add_members();
        known->set_id(change.id());
    }
    if (isNew || newFolder) {
        known->set_voter(false);
        known->set_identity(change.identity());
    }
    if (!change.rpc_address().empty()) {
        known->set_rpc_address(change.rpc_address());
    }
    return appendConfig(config);
}

std::uint64_t Raft::appendConfig(const proto::LogConfig &config)
{
    proto::LogEntry entry;
    *entry.mutable_config() = config;
    return appendOwn(std::move(entry));
}

// Replaces members that answer with a new data folder by learners, and promotes learners that synced everything
// committed. One change at a time.
void Raft::adjustMembers(Time now)
{
    if (m_log.configIndex() > m_commit || !committedInTerm()) {
        return;
    }
    for (const auto &[id, noted] : m_newIdentities) {
        proto::LogMember replaced;
        replaced.set_id(id);
        replaced.set_identity(noted.identity);
        if (noted.confirmed && changeMember(replaced, false)) {
            m_newIdentities.erase(id);
            return;
        }
    }
    if (removeSilent(now)) {
        return;
    }
    auto config = m_log.config();
    for (auto &learner : *config.mutable_members()) {
        const auto found = m_progress.find(learner.id());
        if (learner.voter() || found == m_progress.end() || found->second.identity.empty()
            || found->second.match < m_commit || now >= found->second.heard + m_options.electionTimeout) {
            continue;
        }
        learner.set_voter(true);
        learner.set_identity(found->second.identity);
        appendConfig(config);
        return;
    }
}

// Only an even number of voters has a smaller quorum with one less.
bool Raft::removeSilent(Time now)
{
    const std::size_t voters = voterCount(m_log.config());
    if (m_options.removeUnreachableAfter == Duration(0) || voters % 2 != 0 || voters / 2 < m_options.minQuorum) {
        return false;
    }
    for (const auto &voter : m_log.config().members()) {
        const auto found = m_progress.find(voter.id());
        if (voter.voter() && found != m_progress.end()
            && now >= found->second.heard + m_options.removeUnreachableAfter) {
            return changeMember(voter, true).has_value();
        }
    }
    return false;
}

// Keeps one progress for each other member; one whose data folder changed starts over.
void Raft::syncProgress(Time now)
{
    std::map<std::string, Progress> kept;
    for (const auto &other : m_log.config().members()) {
        if (other.id() == m_options.id) {
            continue;
        }
        const auto found = m_progress.find(other.id());
        const bool same =
            found != m_progress.end() && (other.identity().empty() || found->second.identity == other.identity());
        auto &progress = kept[other.id()];
        if (same) {
            progress = found->second;
            continue;
        }
        progress.identity = other.identity();
        progress.next = m_log.lastIndex() + 1;
        progress.window = progress.next;
        progress.heard = now;
        progress.moved = now;
    }
    m_progress = std::move(kept);
}

bool Raft::quorumHeard(Time now) const
{
    std::set<std::string> heard{m_options.id};
    for (const auto &[id, progress] : m_progress) {
        if (now < progress.heard + m_options.electionTimeout) {
            heard.insert(id);
        }
    }
    return quorum(heard);
}

void Raft::advanceCommit(Time now)
{
    std::vector<std::uint64_t> matches;
    for (const auto &voter : m_log.config().members()) {
        if (!voter.voter()) {
            continue;
        }
        const auto found = m_progress.find(voter.id());
        const auto other = found != m_progress.end() ? found->second.match : 0;
        matches.push_back(voter.id() == m_options.id ? m_log.stable() : other);
    }
    if (matches.empty()) {
        return;
    }
    const auto middle = matches.begin() + static_cast<std::ptrdiff_t>(matches.size() / 2);
    std::nth_element(matches.begin(), middle, matches.end(), std::greater<>());
    // Only an entry of the own term proves that all earlier entries stay.
    if (*middle > m_commit && m_log.term(*middle) == m_hard.term()) {
        m_commit = *middle;
    }
    if (m_log.configIndex() <= m_commit && committedInTerm() && !isVoter()) {
        becomeFollower(m_hard.term(), "", now); // removed from the group
    }
}

void Raft::read(std::uint64_t id)
{
    if (m_role != Role::Leader) {
        m_output.reads.push_back({id, std::nullopt});
        return;
    }
    m_reads.emplace_back(id, m_round + 1);
    m_roundWanted = true;
}

void Raft::answerReads()
{
    // Before an entry of its own term is committed, a leader does not know everything that is committed.
    if (m_reads.empty() || !committedInTerm()) {
        return;
    }
    const auto confirmed = [this](const std::pair<std::uint64_t, std::uint64_t> &read) {
        std::set<std::string> members{m_options.id};
        for (const auto &[id, progress] : m_progress) {
            if (progress.round >= read.second) {
                members.insert(id);
            }
        }
        return read.second <= m_round && quorum(members);
    };
    // Rounds are confirmed in order, so the first open one ends the search.
    auto open = m_reads.begin();
    for (; open != m_reads.end() && confirmed(*open); ++open) {
        m_output.reads.push_back({open->first, m_commit});
    }
    m_reads.erase(m_reads.begin(), open);
}

void Raft::failReads()
{
    for (const auto &[id, round] : m_reads) {
        m_output.reads.push_back({id, std::nullopt});
    }
    m_reads.clear();
    m_roundWanted = false;
}

// Heartbeats carry no entries, so that a member whose disk is full still confirms the leader.
void Raft::sendHeartbeats(Time now)
{
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    for (const auto &[id, progress] : m_progress) {
        auto heartbeat = message(proto::RaftMessage::APPEND, id);
        const auto previous = progress.match >= m_log.base() ? progress.match : 0;
        heartbeat.set_log_index(previous);
        heartbeat.set_log_term(m_log.term(previous));
        heartbeat.set_commit(std::min(m_commit, previous));
        heartbeat.set_round(m_round);
        m_output.heartbeats.push_back(std::move(heartbeat));
    }
}

void Raft::replicate(Time now)
{
    for (auto &[id, progress] : m_progress) {
        if (now < progress.heard + m_options.electionTimeout) {
            replicateTo(id, progress, now);
        }
    }
}

void Raft::replicateTo(const std::string &id, Progress &progress, Time now)
{
    if (progress.next > progress.match + 1 && now > progress.moved + resendHeartbeats * m_options.heartbeatInterval) {
        progress.next = std::max(progress.match, m_log.base()) + 1;
        progress.window = progress.next;
        progress.moved = now;
    }
    if (progress.next <= m_log.base()) {
        if (now >= progress.snapshotUntil) {
            progress.snapshotUntil = now + snapshotTimeout;
            m_output.snapshotsFor.push_back(id);
        }
        return;
    }
    while (progress.next <= m_log.stable() && progress.next - progress.window < sendWindow) {
        auto append = message(proto::RaftMessage::APPEND, id);
        const auto previous = progress.next - 1;
        append.set_log_index(previous);
        append.set_log_term(m_log.term(previous));
        for (auto &entry : m_log.slice(progress.next, m_log.stable(), messageBytes)) {
            *append.add_entries() = std::move(entry);
        }
        progress.next += static_cast<std::uint64_t>(append.entries_size());
        append.set_commit(std::min(m_commit, progress.next - 1));
        append.set_round(m_round);
        m_output.messages.push_back(std::move(append));
    }
}

proto::RaftMessage Raft::snapshotMessage(const std::string &to, proto::LogSnapshot snapshot, Time now)
{
    auto result = message(proto::RaftMessage::SNAPSHOT, to);
    const auto found = m_progress.find(to);
    if (found != m_progress.end()) {
        found->second.next = snapshot.last_index() + 1;
        found->second.window = found->second.next;
        found->second.moved = now + snapshotTimeout; // no resend of entries until the snapshot may have arrived
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
        adjustMembers(now);
        syncProgress(now);
        if (m_roundWanted) {
            ++m_round;
            m_roundWanted = false;
            sendHeartbeats(now);
        }
        replicate(now);
        answerReads();
    }
    RaftOutput result = std::move(m_output);
    m_output = {};
    result.entries = m_log.slice(m_log.stable() + 1, m_log.lastIndex(), SIZE_MAX);
    result.snapshot = std::move(m_offered);
    m_offered.reset();
    if (m_hard.term() != m_persistedHard.term() || m_hard.voted_for() != m_persistedHard.voted_for()) {
        result.state = m_hard;
        std::move(result.heartbeats.begin(), result.heartbeats.end(), std::back_inserter(result.messages));
        result.heartbeats.clear();
    }
    return result;
}

void Raft::persisted(Time now)
{
    m_persistedHard = m_hard;
    m_log.setStable(m_log.lastIndex());
    if (m_role == Role::Leader) {
        advanceCommit(now);
    }
}

void Raft::persistFailed(Time now)
{
    if (m_log.lastIndex() > m_log.stable()) {
        m_log.truncateAfter(m_log.stable());
    }
    m_commit = std::min(m_commit, m_log.lastIndex());
    const bool termLost = m_hard.term() != m_persistedHard.term();
    m_hard = m_persistedHard;
    if (termLost || (m_role == Role::Leader && m_log.lastTerm() != m_hard.term())) {
        becomeFollower(m_hard.term(), "", now);
    }
}

} // namespace banyanledge
