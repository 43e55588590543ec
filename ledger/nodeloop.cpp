#include "ledger/nodeloop.h"

#include <algorithm>

#include "base/invariant.h"
#include "base/log.h"
#include "base/metrics.h"
#include "ledger/snapshotfile.h"

namespace banyanledge
{

namespace
{

// Inputs that wait for the node's thread; messages beyond are dropped, which Raft treats like a lossy network.
constexpr std::size_t inputLimit = 20000;

// Part of the entries between two snapshots that stays in memory after one, so that a member that lags a little needs
// no snapshot.
constexpr std::uint64_t trailingDivisor = 4;

// Pause after a snapshot that could not be written, for example because the disk is full.
constexpr milliseconds snapshotRetry{10000};

proto::CommandResult failure(proto::ErrorKind kind, const std::string &message)
{
    proto::CommandResult result;
    result.set_kind(kind);
    result.set_message(message);
    return result;
}

proto::CommandResult outcomeUnknown()
{
    return failure(proto::ERROR_UNAVAILABLE,
                   "this host stopped leading before the outcome was known; resend with the same change id");
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

Node::Private::Private(Options given, Store opened, const RaftState &state,
                       const std::optional<proto::TableImage> &image)
    : options(std::move(given))
    , store(std::move(opened))
    , raft({options.id, state.hard.identity(), options.heartbeatInterval, options.electionTimeout, randomId(),
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
    worker = std::thread([this] { run(); });
    background = std::thread([this] { runJobs(); });
}

Node::Private::~Private()
{
    {
        const std::lock_guard lock(queueMutex);
        stopping = true;
    }
    wake.notify_all();
    jobWake.notify_all();
    worker.join();
    background.join();
}

void Node::Private::push(Input input)
{
    {
        const std::lock_guard lock(queueMutex);
        if (std::holds_alternative<proto::RaftMessage>(input) && queue.size() >= inputLimit) {
            countMetric("banyanledge_raft_messages_dropped_total");
            return;
        }
        queue.push_back(std::move(input));
    }
    wake.notify_one();
}

void Node::Private::addJob(std::function<void()> job)
{
    {
        const std::lock_guard lock(queueMutex);
        jobs.push_back(std::move(job));
    }
    jobWake.notify_one();
}

void Node::Private::run()
{
    for (;;) {
        std::vector<Input> inputs;
        {
            std::unique_lock lock(queueMutex);
            wake.wait_until(lock, raft.deadline(), [this] { return stopping || !queue.empty(); });
            if (stopping) {
                break;
            }
            inputs.swap(queue);
        }
        const auto now = Clock::now();
        raft.tick(now);
        for (auto &input : inputs) {
            handle(input, now);
        }
        flush(now);
    }
    failPending(0, outcomeUnknown());
    for (auto &[id, done] : reads) {
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
            jobWake.wait(lock, [this] { return stopping || !jobs.empty(); });
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
        const auto index = raft.propose(proposal->command);
        if (index) {
            pending[*index] = {raft.term(), std::move(proposal->done)};
        } else {
            proposal->done(failure(lastError().kind, lastError().message));
        }
    } else if (auto *read = std::get_if<ReadRequest>(&input)) {
        reads[nextRead] = std::move(read->done);
        raft.read(nextRead++);
    } else if (auto *change = std::get_if<MemberChange>(&input)) {
        const auto index = raft.changeMember(change->member, change->remove);
        if (index) {
            pending[*index] = {raft.term(), std::move(change->done)};
        } else {
            change->done(failure(lastError().kind, lastError().message));
        }
    } else if (auto *stored = std::get_if<SnapshotStored>(&input)) {
        snapshotRunning = false;
        nextSnapshot = stored->index > 0 ? now : now + snapshotRetry;
        if (stored->index > snapshotIndex) {
            snapshotIndex = stored->index;
            const auto trailing = options.snapshotEntries / trailingDivisor;
            raft.compact(stored->index - std::min(stored->index, trailing));
            if (!store.compact(stored->index)) {
                logWarning("cannot remove old log files", {{"error", lastError().message}});
            }
        }
    } else if (auto *loaded = std::get_if<SnapshotLoaded>(&input)) {
        if (raft.role() == Raft::Role::Leader) {
            options.send(raft.snapshotMessage(loaded->to, std::move(loaded->snapshot), now));
        }
    }
}

// Stores, sends and applies until Raft has nothing more to do.
void Node::Private::flush(Time now)
{
    const auto before = std::make_pair(raft.role(), raft.term());
    for (;;) {
        auto output = raft.output(now);
        if (output.empty()) {
            applyCommitted();
            break;
        }
        if (persist(output, now)) {
            for (const auto &message : output.messages) {
                options.send(message);
            }
        }
        for (const auto &message : output.heartbeats) {
            options.send(message);
        }
        for (const auto &to : output.snapshotsFor) {
            addJob([this, to] {
                if (auto snapshot = store.loadSnapshot()) {
                    push(SnapshotLoaded{to, std::move(*snapshot)});
                }
            });
        }
        applyCommitted();
        for (const auto &read : output.reads) {
            auto done = std::move(reads.extract(read.id).mapped());
            if (read.index) {
                confirmedReads.emplace(*read.index, std::move(done));
            } else {
                done(std::nullopt);
            }
        }
        finishReads();
    }
    finishReads();
    if (raft.role() != Raft::Role::Leader) {
        failPending(0, outcomeUnknown());
    }
    if (changed || before != std::make_pair(raft.role(), raft.term())) {
        callChanged();
    }
    publishStatus();
    startSnapshot(now);
}

bool Node::Private::persist(RaftOutput &output, Time now)
{
    const bool writes = output.state || !output.entries.empty();
    const auto start = Clock::now();
    const bool stored = store.save(output);
    if (writes) {
        observeMetric("banyanledge_raft_sync_seconds", {}, std::chrono::duration<double>(Clock::now() - start).count());
    }
    if (!stored) {
        const Error error{lastError().kind, lastError().message};
        logError("cannot store log entries; proposals are refused", {{"error", error.message}});
        countMetric("banyanledge_raft_store_failures_total");
        raft.persistFailed(now);
        failPending(raft.log().lastIndex(), failure(error.kind, error.message));
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
    const bool keep = raft.holds(snapshot);
    if (!store.install(snapshot, keep)) {
        logError("cannot store a snapshot", {{"error", lastError().message}});
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
    raft.installed(snapshot, now);
    changed = true;
}

void Node::Private::finishReads()
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
    // Copying a large table takes longer than an election timeout; heartbeats and syncs go on meanwhile.
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
            if (entry.has_config()) {
                appliedConfig = entry.config();
            }
            appliedTerm = entry.term();
            if (pending.contains(index)) {
                const bool own = pending.at(index).term == entry.term();
                results.emplace_back(index, own ? std::move(result) : outcomeUnknown());
            }
        }
    }
    changed = true;
    finishPending(results);
}

void Node::Private::finishPending(std::vector<std::pair<std::uint64_t, proto::CommandResult>> &results)
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

void Node::Private::startSnapshot(Time now)
{
    if (!snapshotRunning && now >= nextSnapshot && table.revision() >= snapshotIndex + options.snapshotEntries) {
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
    push(ImageTaken());
    const bool good = writeSnapshot(store.folder(), snapshot);
    if (!good) {
        logError("cannot write a snapshot; the log files stay", {{"error", lastError().message}});
    }
    push(SnapshotStored{good ? snapshot.last_index() : 0});
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

void Node::Private::callChanged()
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
