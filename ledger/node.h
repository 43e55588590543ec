// A member of the replicated log: runs the Raft core, its storage and the state machine on a thread of its own.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/types.h"
#include "ledger/raft.h"
#include "ledger/table.h"

namespace banyanledge
{

// A member of the Raft group. Its const functions, and those that queue a request, may be called from any thread.
class Node
{
public:
    struct Options
    {
        std::string id; // id of this host, unique in the group
        std::string rpcAddress;
        std::string dataFolder; // created if missing
        proto::LogConfig initialConfig; // first members of a new group; ignored when `join` is set or a snapshot exists
        bool join = false; // start without members and wait for a leader to add this host as a learner
        milliseconds heartbeatInterval{50};
        milliseconds electionTimeout{300}; // minimum; each timeout is chosen at random from once to twice this
        std::uint64_t snapshotEntries = 10000; // applied entries between two snapshots
        // Encoded size in bytes of the applied entries between two snapshots; the size of the newest snapshot if that
        // is larger, so that a large table is not written for every few changes.
        std::uint64_t snapshotBytes = 4 << 20;
        Duration removeUnreachableAfter{}; // see RaftOptions
        std::size_t minQuorum = 1; // see RaftOptions
        std::function<void(const proto::RaftMessage &)> send; // called on the node's thread; must not block
    };

    // Recovers the data folder and starts the node's threads. Returns nullopt and sets lastError() when the folder is
    // in use, unreadable or damaged, or when this host is not among the first members of a new group.
    static std::optional<Node> open(Options options);

    Node(Node &&) noexcept;
    Node &operator=(Node &&) noexcept;
    ~Node();

    // Queues a message from another member. Messages are dropped when the queue is full.
    void deliver(const proto::RaftMessage &message);

    // Proposes a command. `done` is called once, on the node's thread: with the result after the command was applied,
    // with ERROR_IO when the entry could not be stored, or with ERROR_UNAVAILABLE when this member is not the leader,
    // or lost leadership or stopped before the outcome was known. A retry with the same change id is then safe. A
    // command with a seen revision gets ERROR_CONFLICT, and is not appended, when a newer decision on one of its
    // subjects was applied since (see ledger/subjects.h).
    void propose(const proto::Command &command, std::function<void(const proto::CommandResult &)> done);

    // Requests a linearizable read. Calls `done` on the node's thread with the applied revision, after a quorum has
    // confirmed this member's leadership in a heartbeat round started after this call and after every entry committed
    // before that round was applied. Calls it with nullopt when this member is not the leader.
    void readIndex(std::function<void(std::optional<Revision>)> done);

    // Changes one member. Only one change may be in progress at a time. A new member is added as a learner; the leader
    // promotes it to voter once it has synced every committed entry. `done` is called as for propose(), with
    // ERROR_EXISTS or ERROR_NOT_FOUND once it is committed that the member stays as it is. `seenRevision` is that of
    // the state on which the change was decided; 0: not checked.
    void changeMember(const proto::LogMember &member, MemberChange kind, Revision seenRevision,
                      std::function<void(const proto::CommandResult &)> done);

    // Hands over leadership if this member leads, see Raft::transferLeadership().
    void transferLeadership();

    // Returns the objects changed after revision `since`, or the whole table when `since` is 0 or older than the
    // retained tombstones. Sets `*snapshot` to true in the second case.
    proto::TableContent contentSince(Revision since, bool *snapshot) const;

    // Returns at most `limit` audit records after a revision, oldest first.
    std::vector<proto::AuditRecord> audit(Revision after, std::size_t limit) const;

    // Returns the claim of a request if it is held or completed.
    std::optional<proto::Claim> claim(const std::string &customer, const std::string &requestId) const;

    // Returns the revision of the last change to an object that is replicated to entry hosts. Claims and entries
    // without a command don't change it.
    Revision contentRevision() const;

    // Calls `visit` with the table under a shared lock. No entry is applied meanwhile, so `visit` must be short.
    void readTable(const std::function<void(const Table &)> &visit) const;

    // Returns the revision of the last applied entry.
    Revision appliedRevision() const;

    // Returns the encoded size in bytes of the log entries in memory.
    std::uint64_t logBytes() const;

    // Registers a callback that is called on the node's thread after entries were applied or the role or term changed.
    // It must not block.
    void onChange(std::function<void()> changed);

    // Returns role, term, leader, log indexes and members as of the last completed step of the node's thread.
    proto::ControlStatus status() const;

private:
    class Private;
    explicit Node(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
