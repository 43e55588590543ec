#include "ledger/nodeloop.h"

#include <algorithm>

#include "base/invariant.h"
#include "base/log.h"
#include "base/metrics.h"
#include "ledger/results.h"
#include "ledger/snapshotfile.h"

namespace banyanledge
{

namespace
{

// Maximum number and encoded size in bytes of queued inputs. Further Raft messages are dropped, which Raft tolerates
// like a lossy network. A message that finds no other one queued is always taken, because a snapshot may be larger.
constexpr std::size_t maxQueuedMessages = 20000;
constexpr std::size_t maxQueuedBytes = 8 << 20;

// After a snapshot, this part of Options::snapshotEntries and of snapshotBytes stays in memory, so that a member that
// lags only a little needs no snapshot.
constexpr std::uint64_t retainedDivisor = 4;

// Delay before the next snapshot after one could not be written, for example because the disk is full.
constexpr milliseconds snapshotRetryInterval{10000};

proto::CommandResult unknownOutcome()
{
    return errorResult(
        proto::ERROR_UNAVAILABLE,
        "this host lost leadership or stopped before the outcome was known; retry with the same change id");
}

std::string roleName(const Raft &raft)
{
    switch (raft.role()) {
    case Raft::Role::Leader:
        return "leader";
    case Raft::Role::Candidate:
    case Raft::Role::PreCandidate:
        return "candidate";
    case Raft::Role::Follower:
        break;
    }
    return raft.isVoter() ? "follower" : "learner";
}

} // namespace

Node::Private::Private(Options initialOptions, Store opened, const RaftState &state,
                       const std::optional<proto::TableImage> &image)
    : options(std::move(initialOptions))
    , store(std::move(opened))
    , raft({options.id, state.hardState.identity(), options.heartbeatInterval, options.electionTimeout, randomId(),
            options.removeUnreachableAfter, options.minQuorum},
           state, Clock::now())
    , snapshotIndex(state.snapshotIndex)
    , appliedTerm(state.snapshotTerm)
    , appliedConfig(state.config)
{
    if (image) {
        table.restore(*image);
    }
    publishStatus();
    raftThread = std::thread([this] { run(); });
    jobThread = std::thread([this] { runJobs(); });
}

Node::Private::~Private()
{
    {
        const std::lock_guard lock(queueMutex);
        stopping = true;
    }
    queueCondition.notify_all();
    jobCondition.notify_all();
    raftThread.join();
    jobThread.join();
}

void Node::Private::push(Input input)
{
    {
        const std::lock_guard lock(queueMutex);
        if (const auto *message = std::get_if<proto::RaftMessage>(&input)) {
            const std::size_t size = message->ByteSizeLong();
            const bool full = queuedMessageBytes > 0 && queuedMessageBytes + size > maxQueuedBytes;
            if (full || queue.size() >= maxQueuedMessages) {
                countMetric("banyanledge_raft_messages_dropped_total");
                return;
            }
            queuedMessageBytes += size;
        }
        queue.push_back(std::move(input));
    }
    queueCondition.notify_one();
}

void Node::Private::addJob(std::function<void()> job)
{
    {
        const std::lock_guard lock(queueMutex);
        jobs.push_back(std::move(job));
    }
    jobCondition.notify_one();
}

void Node::Private::run()
{
    for (;;) {
        std::vector<Input> inputs;
        {
            std::unique_lock lock(queueMutex);
            queueCondition.wait_until(lock, raft.deadline(), [this] { return stopping || !queue.empty(); });
            if (stopping) {
                break;
            }
            inputs.swap(queue);
            queuedMessageBytes = 0;
        }
        // Messages before timers: after a slow sync or a pause, replies that arrived meanwhile count.
        const auto now = Clock::now();
        for (auto &input : inputs) {
            handle(input, now);
        }
        raft.tick(now);
        processOutput(now);
    }
    failPending(0, unknownOutcome());
    failWaitingOrders(unknownOutcome());
    for (auto &[id, done] : pendingReads) {
        done(std::nullopt);
    }
    for (auto &[index, done] : confirmedReads) {
        done(std::nullopt);
    }
}

void Node::Private::runJobs()
{
    for (;;) {
        std::function<void()> job;
        {
            std::unique_lock lock(queueMutex);
            jobCondition.wait(lock, [this] { return stopping || !jobs.empty(); });
            if (stopping) {
                return;
            }
            job = std::move(jobs.front());
            jobs.pop_front();
        }
        job();
    }
}

void Node::Private::handle(Input &input, Time now)
{
    if (auto *message = std::get_if<proto::RaftMessage>(&input)) {
        if (message->to() == options.id) {
            raft.step(*message, now);
        }
    } else if (auto *proposal = std::get_if<Proposal>(&input)) {
        handleOrder(*proposal);
    } else if (auto *read = std::get_if<ReadRequest>(&input)) {
        pendingReads[nextReadId] = std::move(read->done);
        raft.read(nextReadId++);
    } else if (std::holds_alternative<Handover>(input)) {
        raft.transferLeadership(now);
    } else if (auto *change = std::get_if<MemberRequest>(&input)) {
        handleOrder(*change);
    } else if (auto *stored = std::get_if<SnapshotStored>(&input)) {
        snapshotRunning = false;
        nextSnapshotTime = stored->index > 0 ? now : now + snapshotRetryInterval;
        if (stored->index > snapshotIndex) {
            snapshotIndex = stored->index;
            snapshotSize = stored->bytes;
            raft.compact(stored->index - retainedEntries(stored->index));
            if (!store.compact(stored->index)) {
                logWarning("cannot remove log files covered by a snapshot", {{"error", lastError().message}});
            }
        }
    } else if (auto *loaded = std::get_if<SnapshotLoaded>(&input)) {
        if (raft.role() == Raft::Role::Leader) {
            options.send(raft.snapshotMessage(loaded->to, std::move(loaded->snapshot), now));
        }
    }
}

// Stores, sends and applies until Raft has no more output.
void Node::Private::processOutput(Time now)
{
    const auto before = std::make_pair(raft.role(), raft.term());
    for (;;) {
        auto output = raft.output(now);
        if (output.empty()) {
            applyCommitted();
            if (handleWaitingOrders()) {
                continue;
            }
            break;
        }
        // Heartbeats depend on nothing that is not stored yet, and must not wait for a slow disk.
        for (const auto &message : output.heartbeats) {
            options.send(message);
        }
        if (persist(output, now)) {
            for (const auto &message : output.messages) {
                options.send(message);
            }
        }
        for (const auto &to : output.snapshotRecipients) {
            addJob([this, to] {
                if (auto snapshot = store.loadSnapshot()) {
                    push(SnapshotLoaded{to, std::move(*snapshot)});
                }
            });
        }
        applyCommitted();
        for (const auto &read : output.reads) {
            auto done = std::move(pendingReads.extract(read.id).mapped());
            if (read.index) {
                confirmedReads.emplace(*read.index, std::move(done));
            } else {
                done(std::nullopt);
            }
        }
        completeReads();
    }
    completeReads();
    if (raft.role() != Raft::Role::Leader) {
        failPending(0, unknownOutcome());
        orderGuard.truncateAfter(0);
    }
    if (changed || before != std::make_pair(raft.role(), raft.term())) {
        notifyChange();
    }
    publishStatus();
    startSnapshot(now);
}

bool Node::Private::persist(RaftOutput &output, Time now)
{
    const bool writes = output.hardState || !output.entries.empty();
    const auto start = Clock::now();
    const bool stored = store.save(output);
    if (writes) {
        observeMetric("banyanledge_raft_sync_seconds", {}, std::chrono::duration<double>(Clock::now() - start).count());
    }
    if (!stored) {
        const Error error{lastError().kind, lastError().message};
        logError("cannot store log entries; proposals are rejected", {{"error", error.message}});
        countMetric("banyanledge_raft_store_failures_total");
        raft.persistFailed(now);
        failPending(raft.log().lastIndex(), errorResult(error.kind, error.message));
        orderGuard.truncateAfter(raft.log().lastIndex());
        return false;
    }
    raft.persisted(now);
    if (output.snapshot) {
        install(*output.snapshot, now);
    }
    return true;
}

void Node::Private::install(const proto::LogSnapshot &snapshot, Time now)
{
    const bool keepEntries = raft.containsLastEntry(snapshot);
    if (!store.install(snapshot, keepEntries)) {
        logError("cannot store a received snapshot", {{"error", lastError().message}});
        return;
    }
    Table restored;
    restored.restore(snapshot.image());
    BL_INVARIANT(restored.revision() >= table.revision(), "applied_revision_increases");
    {
        const std::unique_lock lock(tableMutex);
        table = std::move(restored);
        appliedTerm = snapshot.last_term();
        appliedConfig = snapshot.config();
    }
    snapshotIndex = snapshot.last_index();
    raft.snapshotInstalled(snapshot, now);
    changed = true;
}

void Node::Private::completeReads()
{
    while (!confirmedReads.empty() && confirmedReads.begin()->first <= table.revision()) {
        const auto read = confirmedReads.extract(confirmedReads.begin());
        read.mapped()(table.revision());
    }
}

void Node::Private::applyCommitted()
{
    const auto commit = raft.commit();
    if (table.revision() >= commit) {
        return;
    }
    // A snapshot copies the table under this lock, which for a large table takes longer than an election timeout.
    // Entries are applied after that; heartbeats and syncs continue meanwhile.
    const std::unique_lock image(imageMutex, std::try_to_lock);
    if (!image) {
        return;
    }
    std::vector<std::pair<std::uint64_t, proto::CommandResult>> results;
    {
        const std::unique_lock lock(tableMutex);
        for (auto index = table.revision() + 1; index <= commit; ++index) {
            const auto &entry = raft.log().at(index);
            proto::CommandResult result;
            if (entry.has_command()) {
                result = table.apply(index, entry.command());
            } else {
                table.advance(index);
                result.set_revision(index);
            }
            if (!entry.decided_member().empty()) {
                table.recordDecision(controlMemberSubject(entry.decided_member()));
            }
            if (entry.has_config()) {
                appliedConfig = entry.config();
            }
            appliedTerm = entry.term();
            if (pending.contains(index)) {
                const Pending &proposal = pending.at(index);
                const bool ownProposal = proposal.term == entry.term();
                results.emplace_back(index, ownProposal ? proposal.result.value_or(result) : unknownOutcome());
            }
        }
    }
    changed = true;
    orderGuard.recordApplied(commit);
    completePending(results);
}

void Node::Private::completePending(std::vector<std::pair<std::uint64_t, proto::CommandResult>> &results)
{
    for (const auto &[index, result] : results) {
        const auto done = std::move(pending.at(index).done);
        pending.erase(index);
        done(result);
    }
}

void Node::Private::failPending(std::uint64_t after, const proto::CommandResult &result)
{
    std::map<std::uint64_t, Pending> failed;
    for (auto it = pending.upper_bound(after); it != pending.end(); it = pending.erase(it)) {
        failed[it->first] = std::move(it->second);
    }
    for (auto &[index, proposal] : failed) {
        proposal.done(result);
    }
}

std::uint64_t Node::Private::retainedEntries(std::uint64_t index) const
{
    const RaftLog &log = raft.log();
    std::uint64_t retained = 0;
    while (retained < options.snapshotEntries / retainedDivisor && index - retained > log.baseIndex()
           && log.bytes(index - retained - 1, index) <= options.snapshotBytes / retainedDivisor) {
        ++retained;
    }
    return retained;
}

void Node::Private::startSnapshot(Time now)
{
    const RaftLog &log = raft.log();
    logBytes = log.bytes(log.baseIndex(), log.lastIndex());
    if (snapshotRunning || now < nextSnapshotTime) {
        return;
    }
    const auto applied = table.revision();
    const auto appliedBytes = log.bytes(std::max(snapshotIndex, log.baseIndex()), applied);
    if (applied >= snapshotIndex + options.snapshotEntries
        || appliedBytes >= std::max(options.snapshotBytes, snapshotSize)) {
        snapshotRunning = true;
        addJob([this] { writeSnapshotJob(); });
    }
}

void Node::Private::writeSnapshotJob()
{
    proto::LogSnapshot snapshot;
    {
        const std::lock_guard image(imageMutex);
        const std::shared_lock lock(tableMutex);
        snapshot.set_last_index(table.revision());
        snapshot.set_last_term(appliedTerm);
        *snapshot.mutable_config() = appliedConfig;
        *snapshot.mutable_image() = table.image();
    }
    push(TableCopied());
    const bool written = writeSnapshot(store.folder(), snapshot);
    if (!written) {
        logError("cannot write a snapshot; the log files are kept", {{"error", lastError().message}});
    }
    push(SnapshotStored{written ? snapshot.last_index() : 0, snapshot.ByteSizeLong()});
}

void Node::Private::publishStatus()
{
    proto::ControlStatus status;
    status.set_id(options.id);
    status.set_role(roleName(raft));
    status.set_term(raft.term());
    status.set_leader(raft.leader());
    status.set_last_index(raft.log().lastIndex());
    status.set_commit_index(raft.commit());
    status.set_applied_index(table.revision());
    *status.mutable_config() = raft.log().config();
    for (const auto &member : status.config().members()) {
        if (member.id() == raft.leader()) {
            status.set_leader_address(member.rpc_address());
        }
    }
    const std::lock_guard lock(statusMutex);
    currentStatus = std::move(status);
}

void Node::Private::notifyChange()
{
    changed = false;
    publishStatus();
    std::vector<std::function<void()>> callbacks;
    {
        const std::lock_guard lock(statusMutex);
        callbacks = changeCallbacks;
    }
    for (const auto &callback : callbacks) {
        callback();
    }
}

} // namespace banyanledge
