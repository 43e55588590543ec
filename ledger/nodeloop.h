// Private state and event loop of a Node.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <thread>
#include <variant>

#include "ledger/node.h"
#include "ledger/orderguard.h"
#include "ledger/raft.h"
#include "ledger/store.h"

namespace banyanledge
{

// Locks are taken in the order queueMutex, imageMutex, tableMutex, statusMutex. None is held while callbacks run.
class Node::Private
{
public:
    using ResultCallback = std::function<void(const proto::CommandResult &)>;
    using ReadCallback = std::function<void(std::optional<Revision>)>;

    struct Proposal
    {
        proto::Command command;
        ResultCallback done;
    };

    struct ReadRequest
    {
        ReadCallback done;
    };

    struct MemberRequest
    {
        proto::LogMember member;
        MemberChange kind = MemberChange::Add;
        Revision seenRevision = 0;
        ResultCallback done;
    };

    // Leadership is to be handed over.
    struct Handover
    {
    };

    // A snapshot of this member's table was written, or failed.
    struct SnapshotStored
    {
        std::uint64_t index = 0; // 0 if writing failed
        std::uint64_t bytes = 0; // encoded size
    };

    // The newest snapshot was read from disk for another member.
    struct SnapshotLoaded
    {
        std::string to;
        proto::LogSnapshot snapshot;
    };

    // The table was copied for a snapshot, so entries can be applied again.
    struct TableCopied
    {
    };

    using Input = std::variant<proto::RaftMessage, Proposal, ReadRequest, MemberRequest, Handover, SnapshotStored,
                               SnapshotLoaded, TableCopied>;

    Private(Options initialOptions, Store opened, const RaftState &state,
            const std::optional<proto::TableImage> &image);
    ~Private();

    // Queues an input for the Raft thread. Drops Raft messages when the queue is full.
    void push(Input input);

    // Queues slow work, such as reading or writing a snapshot, for the job thread.
    void addJob(std::function<void()> job);

    void run();
    void runJobs();
    void handle(Input &input, Time now);
    void handleOrder(Proposal &proposal);
    void handleOrder(MemberRequest &change);
    template<typename Order>
    OrderGuard::Verdict judge(const Order &order) const;
    // Judges the waiting orders again, as entries were applied or this host leads no more. Returns true if it appended
    // any.
    bool handleWaitingOrders();
    void failWaitingOrders(const proto::CommandResult &result);
    void processOutput(Time now);
    bool persist(RaftOutput &output, Time now);
    void install(const proto::LogSnapshot &snapshot, Time now);
    void applyCommitted();
    void completeReads();
    void completePending(std::vector<std::pair<std::uint64_t, proto::CommandResult>> &results);
    // Fails all pending requests with a log index greater than `after`.
    void failPending(std::uint64_t after, const proto::CommandResult &result);
    // Starts a snapshot if enough entries were applied since the last one.
    void startSnapshot(Time now);
    void writeSnapshotJob();
    // Number of entries up to `index` that stay in memory after a snapshot.
    std::uint64_t retainedEntries(std::uint64_t index) const;
    void publishStatus();
    void notifyChange();

    // A proposal or membership change that is not yet applied.
    struct Pending
    {
        std::uint64_t term = 0;
        ResultCallback done;
        std::optional<proto::CommandResult> result; // replaces that of the entry
    };

    Options options;
    Store store;
    Raft raft;
    std::map<std::uint64_t, Pending> pending; // by log index
    OrderGuard orderGuard;
    std::vector<std::variant<Proposal, MemberRequest>> waitingOrders; // not appended, in the order of their arrival
    std::map<std::uint64_t, ReadCallback> pendingReads; // by read id; leadership not yet confirmed
    std::multimap<std::uint64_t, ReadCallback> confirmedReads; // by the log index that must be applied first
    std::uint64_t nextReadId = 1;
    std::uint64_t snapshotIndex; // last log index of the newest snapshot
    std::uint64_t snapshotSize = 0; // bytes; 0 before this process has written one
    std::atomic<std::uint64_t> logBytes = 0; // see Node::logBytes()
    bool snapshotRunning = false;
    Time nextSnapshotTime{}; // no snapshot is started before this time
    bool changed = false; // entries were applied since the last notification

    std::mutex imageMutex; // held while a snapshot copies the table and while entries are applied
    mutable std::shared_mutex tableMutex; // guards the next three members
    Table table;
    std::uint64_t appliedTerm;
    proto::LogConfig appliedConfig;

    mutable std::mutex statusMutex; // guards the next two members
    proto::ControlStatus currentStatus;
    std::vector<std::function<void()>> changeCallbacks;

    std::mutex queueMutex; // guards the next four members
    std::vector<Input> queue;
    std::size_t queuedMessageBytes = 0; // encoded size of the Raft messages in the queue
    std::deque<std::function<void()>> jobs;
    bool stopping = false;
    std::condition_variable queueCondition;
    std::condition_variable jobCondition;
    std::thread raftThread;
    std::thread jobThread;
};

} // namespace banyanledge
