// One member of the replicated log: runs the Raft core, its storage and the table on a thread of its own.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/types.h"
#include "ledger/table.h"

namespace banyanledge
{

class Node
{
public:
    struct Options
    {
        std::string id;
        std::string rpcAddress;
        std::string dataFolder;
        proto::LogConfig initialConfig; // used only when the data folder is empty and `join` is not set
        bool join = false; // start as a learner that waits for a leader to add it
        milliseconds heartbeatInterval{50};
        milliseconds electionTimeout{300}; // smallest; the largest is twice that
        std::uint64_t snapshotEntries = 10000;
        Duration removeUnreachableAfter{}; // see RaftOptions
        std::size_t minQuorum = 1;
        std::function<void(const proto::RaftMessage &)> send; // must not block
    };

    // Recovers the data folder and starts the thread. nullopt with lastError() for a damaged or unreadable folder.
    static std::optional<Node> open(Options options);

    Node(Node &&) noexcept;
    Node &operator=(Node &&) noexcept;
    ~Node();

    // Hands over a message from another member.
    void deliver(const proto::RaftMessage &message);

    // Proposes a command. `done` is called once, on the node's thread, after the command was applied, or with
    // ERROR_UNAVAILABLE when this member does not lead or stopped leading before it knew the outcome; a resend with the
    // same change id is safe then.
    void propose(const proto::Command &command, std::function<void(const proto::CommandResult &)> done);

    // Calls `done` with the applied revision after a quorum confirmed, in a round begun after this call, that this
    // member leads, and after everything committed before was applied. nullopt when it does not lead.
    void readIndex(std::function<void(std::optional<Revision>)> done);

    // Adds, promotes or removes one member; one change at a time. A new member is added as a learner and promoted by
    // the leader once it has synced everything committed.
    void changeMember(const proto::LogMember &member, bool remove,
                      std::function<void(const proto::CommandResult &)> done);

    // Objects changed after `since`, or the whole table when `since` is 0 or below the tombstones; `snapshot` tells
    // which. Safe from any thread.
    proto::TableContent contentSince(Revision since, bool *snapshot) const;

    // Audit records after a revision, oldest first. Safe from any thread.
    std::vector<proto::AuditRecord> audit(Revision after, std::size_t limit) const;

    // Claim of a request, if held or completed. Safe from any thread.
    std::optional<proto::Claim> claim(const std::string &customer, const std::string &requestId) const;

    // Revision of the last change of an object that entry hosts copy; claims and entries without a command do not
    // count. Safe from any thread.
    Revision contentRevision() const;

    // Calls `visit` with the table while no entry is applied. Safe from any thread; must be short.
    void readTable(const std::function<void(const Table &)> &visit) const;

    // Revision of the last applied entry. Safe from any thread.
    Revision appliedRevision() const;

    // Calls `changed` on the node's thread after entries were applied or the role changed; must not block.
    void onChange(std::function<void()> changed);

    proto::ControlStatus status() const;

private:
    class Private;
    explicit Node(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
