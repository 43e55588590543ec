#include "ledger/raft.h"

#include <algorithm>

#include "base/invariant.h"

namespace banyanledge
{

namespace
{

// Limit on the doublings of the random part of the election timeout.
constexpr unsigned maxRangeDoublings = 3;

} // namespace

bool RaftOutput::empty() const
{
    return !hardState && entries.empty() && !snapshot && messages.empty() && heartbeats.empty()
        && snapshotRecipients.empty() && reads.empty();
}

Raft::Raft(RaftOptions options, const RaftState &state, Time now)
    : m_options(std::move(options))
    , m_log(state.snapshotIndex, state.snapshotTerm, state.config, state.entries)
    , m_hardState(state.hardState)
    , m_persistedHardState(state.hardState)
    , m_commit(state.snapshotIndex)
    , m_random(m_options.seed)
{
    resetElectionDeadline(now);
}

const proto::LogMember *Raft::member(const std::string &id) const
{
    for (const auto &member : m_log.config().members()) {
        if (member.id() == id) {
            return &member;
        }
    }
    return nullptr;
}

// A member whose data folder has another identity than the one in `config` is not that voter: it may have lost the
// votes and entries that the voter had acknowledged.
bool Raft::isVoterIn(const proto::LogConfig &config) const
{
    return std::any_of(config.members().begin(), config.members().end(), [this](const auto &member) {
        return member.id() == m_options.id && member.voter()
            && (member.identity().empty() || member.identity() == m_options.identity);
    });
}

bool Raft::isVoter() const
{
    return isVoterIn(m_log.config());
}

// A member whose removal is not yet committed may have the longest log, and then no other member can be elected.
bool Raft::canCampaign() const
{
    return isVoter() || isVoterIn(m_log.configAt(m_commit));
}

proto::RaftMessage Raft::message(proto::RaftMessage::Kind kind, const std::string &to) const
{
    proto::RaftMessage result;
    result.set_kind(kind);
    result.set_from(m_options.id);
    result.set_to(to);
    result.set_term(m_hardState.term());
    result.set_identity(m_options.identity);
    return result;
}

// Between distant members an election takes a large part of the election timeout, so that candidates often split the
// votes. Each failed election doubles the range of the random part, so that one of them starts well before the others.
void Raft::resetElectionDeadline(Time now)
{
    const auto range = m_options.electionTimeout.count() << std::min(m_failedElections, maxRangeDoublings);
    std::uniform_int_distribution<Duration::rep> extra(0, range);
    m_electionDeadline = now + m_options.electionTimeout + Duration(extra(m_random));
}

void Raft::becomeFollower(std::uint64_t term, const std::string &leader, Time now)
{
    if (term > m_hardState.term()) {
        m_hardState.set_term(term);
        m_hardState.clear_voted_for();
    }
    if (m_role != Role::Follower) {
        resetElectionDeadline(now);
    }
    m_role = Role::Follower;
    m_leader = leader;
    m_handoverEnd = {};
    m_failedElections = leader.empty() ? m_failedElections : 0;
    m_votes.clear();
    m_progress.clear();
    m_newIdentities.clear();
    failReads();
}

void Raft::tick(Time now)
{
    if (m_role == Role::Leader) {
        if (!hasRecentQuorum(now)) {
            becomeFollower(m_hardState.term(), "", now);
        } else if (now >= m_nextHeartbeat) {
            sendHeartbeats(now);
        }
        return;
    }
    if (now >= m_electionDeadline) {
        m_failedElections += m_leader.empty() ? 1 : 0;
        resetElectionDeadline(now);
        if (canCampaign()) {
            campaign(Role::PreCandidate, now);
        } else {
            m_leader.clear();
        }
    }
}

Time Raft::deadline() const
{
    return m_role == Role::Leader ? m_nextHeartbeat : m_electionDeadline;
}

// A pre-vote asks whether an election could succeed without raising the term, so that a member that was partitioned
// does not depose a working leader when it returns.
void Raft::campaign(Role role, Time now, bool handover)
{
    m_role = role;
    m_campaignTime = role == Role::PreCandidate ? now : m_campaignTime;
    m_leader.clear();
    m_votes.clear();
    m_votes[m_options.id] = m_options.identity;
    const bool isVote = role == Role::Candidate;
    if (isVote) {
        m_hardState.set_term(m_hardState.term() + 1);
        m_hardState.set_voted_for(m_options.id);
        resetElectionDeadline(now);
    }
    for (const auto &other : m_log.config().members()) {
        if (other.voter() && other.id() != m_options.id) {
            auto request = message(isVote ? proto::RaftMessage::VOTE : proto::RaftMessage::PRE_VOTE, other.id());
            request.set_term(m_hardState.term() + (isVote ? 0 : 1));
            request.set_log_index(m_log.lastIndex());
            request.set_log_term(m_log.lastTerm());
            request.set_handover(handover);
            m_output.messages.push_back(std::move(request));
        }
    }
    countVotes(now);
}

bool Raft::isQuorum(const std::set<std::string> &members) const
{
    std::size_t voters = 0;
    std::size_t found = 0;
    for (const auto &member : m_log.config().members()) {
        voters += member.voter() ? 1 : 0;
        found += member.voter() && members.contains(member.id()) ? 1 : 0;
    }
    // The first election of a group needs every member. Two of three hosts that lost their disks look like members of a
    // new group, and must not start an empty log in place of the third host's data.
    const bool firstElection = m_log.lastIndex() == 0;
    return voters > 0 && (firstElection ? found == voters : found > voters / 2);
}

void Raft::countVotes(Time now)
{
    std::set<std::string> voters;
    for (const auto &[id, identity] : m_votes) {
        voters.insert(id);
    }
    if (!isQuorum(voters)) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        campaign(Role::Candidate, now);
    } else {
        becomeLeader(now);
    }
}

void Raft::becomeLeader(Time now)
{
    m_role = Role::Leader;
    m_leader = m_options.id;
    m_failedElections = 0;
    m_progress.clear();
    rebuildProgress(now);
    proto::LogEntry entry;
    if (m_log.lastIndex() == 0) {
        // The first entry records the identities of the data folders that voted.
        auto *config = entry.mutable_config();
        *config = m_log.config();
        for (auto &member : *config->mutable_members()) {
            member.set_identity(m_votes[member.id()]);
        }
    } else {
        entry.set_noop(true);
    }
    appendEntry(std::move(entry));
    sendHeartbeats(now);
}

std::uint64_t Raft::appendEntry(proto::LogEntry entry)
{
    entry.set_term(m_hardState.term());
    entry.set_index(m_log.lastIndex() + 1);
    m_log.append(std::move(entry));
    return m_log.lastIndex();
}

bool Raft::hasRecentLeader(Time now) const
{
    return m_role == Role::Leader || (!m_leader.empty() && now < m_lastLeaderContact + m_options.electionTimeout);
}

void Raft::step(const proto::RaftMessage &message, Time now)
{
    using Message = proto::RaftMessage;
    if (message.kind() == Message::VOTE || message.kind() == Message::PRE_VOTE) {
        onVoteRequest(message, now);
        return;
    }
    // A granted pre-vote carries the term of the intended election, which no member has reached yet.
    const bool preVoteGranted = message.kind() == Message::PRE_VOTE_REPLY && message.success();
    if (message.term() > m_hardState.term() && !preVoteGranted) {
        becomeFollower(message.term(), "", now);
    }
    switch (message.kind()) {
    case Message::VOTE_REPLY:
    case Message::PRE_VOTE_REPLY:
        onVoteReply(message, now);
        break;
    case Message::APPEND:
        onAppend(message, now);
        break;
    case Message::SNAPSHOT:
        onSnapshot(message, now);
        break;
    case Message::TIMEOUT_NOW:
        onTimeoutNow(message, now);
        break;
    case Message::APPEND_REPLY:
    case Message::SNAPSHOT_REPLY:
        onReplicationReply(message, now);
        break;
    default:
        break;
    }
}

// Two members that both win their pre-votes split the votes, and the election fails when it needs the votes of both. Of
// two with the same log, the one with the smaller id goes first. Only for an election timeout, because this member may
// not reach a quorum that the other one reaches.
bool Raft::goesBefore(const proto::RaftMessage &request, Time now) const
{
    const bool campaigns = m_role == Role::PreCandidate || m_role == Role::Candidate;
    const bool sameLog = request.log_term() == m_log.lastTerm() && request.log_index() == m_log.lastIndex();
    return campaigns && sameLog && m_options.id < request.from() && now < m_campaignTime + m_options.electionTimeout;
}

void Raft::onVoteRequest(const proto::RaftMessage &request, Time now)
{
    const bool isVote = request.kind() == proto::RaftMessage::VOTE;
    // While there is a working leader that does not hand over, only a member that was removed or partitioned starts an
    // election. Ignore it.
    if (hasRecentLeader(now) && request.term() > m_hardState.term() && !request.handover()) {
        return;
    }
    if (isVote && request.term() > m_hardState.term()) {
        becomeFollower(request.term(), "", now);
    }
    const bool upToDate = request.log_term() > m_log.lastTerm()
        || (request.log_term() == m_log.lastTerm() && request.log_index() >= m_log.lastIndex());
    const bool voteAvailable = m_hardState.voted_for().empty() || m_hardState.voted_for() == request.from();
    const bool granted = upToDate
        && (isVote ? request.term() == m_hardState.term() && voteAvailable
                   : request.term() > m_hardState.term() && !goesBefore(request, now));
    if (isVote && granted) {
        m_hardState.set_voted_for(request.from());
        resetElectionDeadline(now);
    } else if (granted && m_role == Role::PreCandidate) {
        becomeFollower(m_hardState.term(), "", now); // the sender goes first
    }
    auto reply = message(isVote ? proto::RaftMessage::VOTE_REPLY : proto::RaftMessage::PRE_VOTE_REPLY, request.from());
    reply.set_success(granted);
    reply.set_term(granted ? request.term() : m_hardState.term());
    m_output.messages.push_back(std::move(reply));
}

void Raft::onVoteReply(const proto::RaftMessage &reply, Time now)
{
    const bool isVote = reply.kind() == proto::RaftMessage::VOTE_REPLY;
    const bool current = isVote ? m_role == Role::Candidate && reply.term() == m_hardState.term()
                                : m_role == Role::PreCandidate && reply.term() == m_hardState.term() + 1;
    const auto *voter = member(reply.from());
    if (!current || !reply.success() || voter == nullptr || !voter->voter()) {
        return;
    }
    // A host that lost its disk lost its earlier votes, so it does not count as the voter in the log.
    if (!voter->identity().empty() && voter->identity() != reply.identity()) {
        return;
    }
    m_votes[reply.from()] = reply.identity();
    countVotes(now);
}

// The leader hands over. The pre-vote is skipped, because it would fail while the leader is known.
void Raft::onTimeoutNow(const proto::RaftMessage &request, Time now)
{
    if (request.term() == m_hardState.term() && m_role == Role::Follower && canCampaign()) {
        campaign(Role::Candidate, now, true);
    }
}

void Raft::onAppend(const proto::RaftMessage &request, Time now)
{
    const bool heartbeat = request.entries().empty();
    auto reply = message(proto::RaftMessage::APPEND_REPLY, request.from());
    reply.set_round(request.round());
    if (request.term() < m_hardState.term()) {
        m_output.messages.push_back(std::move(reply));
        return;
    }
    BL_INVARIANT(m_role != Role::Leader || request.from() == m_options.id, "one_leader_per_term");
    if (m_role != Role::Follower || m_leader != request.from()) {
        becomeFollower(request.term(), request.from(), now);
    }
    m_lastLeaderContact = now;
    resetElectionDeadline(now);
    const auto previous = request.log_index();
    const bool matches =
        previous < m_log.baseIndex() || (previous <= m_log.lastIndex() && m_log.term(previous) == request.log_term());
    if (matches) {
        mergeEntries(request);
        const auto last = previous + static_cast<std::uint64_t>(request.entries_size());
        m_commit = std::max(m_commit, std::min({request.commit(), last, m_log.lastIndex()}));
        reply.set_success(true);
        reply.set_log_index(last);
    } else {
        // Skip all entries of the conflicting term, so that the leader needs one round trip per term and not per entry.
        auto hint = std::min(previous, m_log.lastIndex() + 1);
        const auto conflicting = m_log.term(hint);
        while (hint > m_commit + 1 && conflicting != 0 && m_log.term(hint - 1) == conflicting) {
            --hint;
        }
        reply.set_reject_hint(std::max<std::uint64_t>(hint, 1));
    }
    // A reply that acknowledges only synced entries can be sent even when syncing fails.
    const bool durable = heartbeat && previous <= m_log.stableIndex();
    (durable ? m_output.heartbeats : m_output.messages).push_back(std::move(reply));
}

void Raft::mergeEntries(const proto::RaftMessage &request)
{
    for (const auto &entry : request.entries()) {
        if (entry.index() <= m_log.baseIndex()) {
            continue;
        }
        if (entry.index() <= m_log.lastIndex()) {
            if (m_log.term(entry.index()) == entry.term()) {
                continue;
            }
            BL_INVARIANT(entry.index() > m_commit, "committed_entries_kept");
            m_log.truncateAfter(entry.index() - 1);
        }
        m_log.append(entry);
    }
}

void Raft::onSnapshot(const proto::RaftMessage &request, Time now)
{
    if (request.term() < m_hardState.term()) {
        return;
    }
    if (m_role != Role::Follower || m_leader != request.from()) {
        becomeFollower(request.term(), request.from(), now);
    }
    m_lastLeaderContact = now;
    resetElectionDeadline(now);
    const auto &snapshot = request.snapshot();
    if (snapshot.last_index() <= m_commit) {
        auto reply = message(proto::RaftMessage::SNAPSHOT_REPLY, request.from());
        reply.set_success(true);
        reply.set_log_index(std::min(m_commit, m_log.stableIndex()));
        m_output.messages.push_back(std::move(reply));
        return;
    }
    m_receivedSnapshot = snapshot;
}

bool Raft::containsLastEntry(const proto::LogSnapshot &snapshot) const
{
    return snapshot.last_index() <= m_log.stableIndex() && m_log.term(snapshot.last_index()) == snapshot.last_term();
}

void Raft::snapshotInstalled(const proto::LogSnapshot &snapshot, Time now)
{
    if (containsLastEntry(snapshot)) {
        m_log.compact(snapshot.last_index());
    } else {
        m_log = RaftLog(snapshot.last_index(), snapshot.last_term(), snapshot.config(), {});
    }
    m_commit = std::max(m_commit, snapshot.last_index());
    resetElectionDeadline(now);
    if (!m_leader.empty()) {
        auto reply = message(proto::RaftMessage::SNAPSHOT_REPLY, m_leader);
        reply.set_success(true);
        reply.set_log_index(snapshot.last_index());
        m_output.messages.push_back(std::move(reply));
    }
}

// A reply with another identity may be a delayed one from an earlier data folder. The identity is confirmed as the
// current one only by a reply to a heartbeat round that started after the identity was first seen.
void Raft::recordNewIdentity(const proto::RaftMessage &reply)
{
    auto &newIdentity = m_newIdentities[reply.from()];
    if (newIdentity.identity != reply.identity()) {
        newIdentity = {reply.identity(), m_round + 1, false};
        m_roundRequested = true;
    } else if (reply.round() >= newIdentity.round) {
        newIdentity.confirmed = true;
    }
}

void Raft::onReplicationReply(const proto::RaftMessage &reply, Time now)
{
    const auto *sender = member(reply.from());
    if (m_role != Role::Leader || reply.term() != m_hardState.term() || sender == nullptr) {
        return;
    }
    if (!sender->identity().empty() && sender->identity() != reply.identity()) {
        recordNewIdentity(reply);
        return;
    }
    auto &progress = m_progress[reply.from()];
    if (progress.identity != reply.identity()) {
        if (reply.round() < progress.acknowledgedRound) {
            return; // delayed reply from the lost data folder
        }
        // This is the first reply of a learner whose identity is not recorded, or its first one after it lost its data
        // folder. Replication starts over.
        progress = Progress{};
        progress.identity = reply.identity();
        progress.next = m_log.lastIndex() + 1;
        progress.windowStart = progress.next;
        progress.lastProgress = now;
    }
    progress.lastContact = now;
    progress.acknowledgedRound = std::max(progress.acknowledgedRound, reply.round());
    if (!reply.success()) {
        if (reply.reject_hint() > progress.match) {
            progress.next = std::min(reply.reject_hint(), m_log.lastIndex() + 1);
            progress.windowStart = progress.next;
            progress.lastProgress = now;
        }
    } else if (reply.log_index() > progress.match) {
        progress.match = reply.log_index();
        progress.next = std::max(progress.next, progress.match + 1);
        progress.windowStart = std::max(progress.windowStart, progress.match + 1);
        progress.lastProgress = now;
    }
    if (reply.kind() == proto::RaftMessage::SNAPSHOT_REPLY) {
        progress.snapshotRetryTime = now;
    }
    advanceCommit(now);
    completeReads();
}

Raft::Role Raft::role() const
{
    return m_role;
}

std::uint64_t Raft::term() const
{
    return m_hardState.term();
}

std::uint64_t Raft::commit() const
{
    return m_commit;
}

const std::string &Raft::leader() const
{
    return m_leader;
}

const RaftLog &Raft::log() const
{
    return m_log;
}

} // namespace banyanledge
