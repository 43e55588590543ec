// State machine of the replicated log. Applies commands in log order and deterministically, so that the tables of all
// control hosts are equal at the same index.
//
// Error messages of the validation and of the table become part of stored change results and audit records, so all
// builds of a group have to word them alike; a changed text would make the control hosts of two builds store different
// results.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/types.h"
#include "ledger/subjects.h"

namespace banyanledge
{

// Retention of command results and claims in ms, measured by the times in the commands.
constexpr std::int64_t resultRetentionMs = 24LL * 60 * 60 * 1000;

// Number of tombstones retained for deltas. A host that missed more removals receives the whole table.
constexpr std::size_t maxTombstones = 10000;

// Largest number of blocked requests, which bounds the memory of every host.
constexpr std::size_t maxBlockedRequests = 1000;

// Number of audit records retained: about a month at the 2,800 changes per day of section 1.7 of the design.
constexpr std::size_t maxAuditRecords = 100000;

// The replicated configuration and claims. Not thread-safe.
class Table
{
public:
    // Applies the command at a log index. A command whose change id was applied before changes nothing and returns the
    // first result with `repeated` set. A rejected command returns an error kind and a message that says what to do.
    proto::CommandResult apply(Revision revision, const proto::Command &command);

    // Records that an entry was applied; called directly for entries without a command.
    void advance(Revision revision);

    // Records a decision by the entry that was applied last, for entries without a command.
    void recordDecision(const std::string &subject);

    // Returns the revision of the newest decision on a subject of ledger/subjects.h.
    Revision newestDecision(const std::string &subject) const;

    // Whether the claim that a command takes, or was to take, has been released.
    bool isClaimReleased(const std::string &claimChangeId) const;

    // Whether the result of a change is kept, so that the change would not be applied again.
    bool hasResult(const std::string &changeId) const;

    // Returns the log index of the last applied entry.
    Revision revision() const;

    // Returns the log index of the last change to an object that is replicated to entry hosts. Claims don't change it.
    Revision contentRevision() const;

    // Returns the objects changed after revision `since`, or the whole table when `since` is 0 or older than the
    // retained tombstones. Sets `*snapshot` to true in the second case. A delta takes time in proportion to the number
    // of changed objects, not to the size of the table.
    proto::TableContent contentSince(Revision since, bool *snapshot) const;

    // Returns at most `limit` audit records after a revision, oldest first.
    std::vector<proto::AuditRecord> audit(Revision after, std::size_t limit) const;

    // Returns the claim of a request, or nullptr if it was never claimed, was released or has expired.
    const proto::Claim *claim(const std::string &customer, const std::string &requestId) const;

    // Returns the whole state for a snapshot. Equal states have equal serialized images.
    proto::TableImage image() const;

    // Replaces the whole state by that of an image.
    void restore(const proto::TableImage &image);

    const std::map<std::string, proto::Customer> &customers() const;
    const std::map<std::string, proto::Key> &keys() const; // by id
    const std::map<std::string, proto::Row> &rows() const; // by "service/region/customer"
    const std::map<std::string, proto::Server> &servers() const;
    const std::map<std::string, proto::Shift> &shifts() const;
    const std::map<std::string, proto::Member> &members() const;
    const proto::Declaration &declaration() const; // version 0 before the first one
    const std::map<std::string, proto::Evacuation> &evacuations() const; // by availability zone
    const std::map<std::string, proto::BlockedRequest> &blockedRequests() const; // by id

private:
    enum class Kind { Customer, Key, Row, Server, Shift, Member, Declaration, Evacuation, BlockedRequest, Tombstone };

    // Kind and key of an object. The key of a tombstone is "kind:key".
    struct ObjectRef
    {
        Kind kind = Kind::Customer;
        std::string key;
    };

    // Returns the object that a command changes.
    static ObjectRef targetOf(const proto::Command &command);
    // Validates and applies a command whose change id is new, then stores its result and an audit record.
    proto::CommandResult applyOnce(const proto::Command &command);
    proto::CommandResult dispatch(const proto::Command &command);
    void storeResult(const proto::Command &command, const proto::CommandResult &result);
    void addAudit(const proto::Command &command, const std::string &subject, const std::string &before,
                  const std::string &after, const proto::CommandResult &result);
    proto::CommandResult applyChange(const proto::CreateCustomer &change);
    proto::CommandResult setCustomerActive(const std::string &name, bool active);
    proto::CommandResult applyChange(const proto::IssueKey &change);
    proto::CommandResult applyChange(const proto::WithdrawKey &change);
    proto::CommandResult applyChange(const proto::PutRow &change);
    proto::CommandResult applyChange(const proto::DeleteRow &change);
    proto::CommandResult applyChange(const proto::PutServer &change);
    proto::CommandResult applyChange(const proto::RecordProcessReport &change);
    void putServer(const proto::Server &server);
    std::uint32_t declaredWarmup(const std::string &service) const;
    proto::CommandResult applyChange(const proto::RemoveServer &change);
    proto::CommandResult applyChange(const proto::DrainServer &change);
    proto::CommandResult applyChange(const proto::StartShift &change);
    proto::CommandResult applyChange(const proto::AdvanceShift &change);
    proto::CommandResult applyChange(const proto::PutMember &change);
    proto::CommandResult applyChange(const proto::RemoveMember &change);
    proto::CommandResult applyChange(const proto::PutDeclaration &change);
    proto::CommandResult applyChange(const proto::SetEvacuation &change);
    proto::CommandResult applyChange(const proto::BlockRequest &change);
    proto::CommandResult applyChange(const proto::UnblockRequest &change);
    proto::CommandResult applyChange(const proto::ClaimRequest &change, const std::string &changeId);
    proto::CommandResult applyChange(const proto::CompleteClaim &change);
    proto::CommandResult applyChange(const proto::ReleaseClaim &change);

    // Stores an object with the current revision.
    template<typename Object>
    void put(std::map<std::string, Object> &objects, Kind kind, const std::string &key, Object object);
    // Removes an object and stores a tombstone. `version` is the last version of a row, and 0 for other objects.
    template<typename Object>
    void remove(std::map<std::string, Object> &objects, const char *kind, const std::string &key,
                std::uint64_t version);
    template<typename Object>
    void indexByRevision(const std::map<std::string, Object> &objects, Kind kind);
    void trimTombstones();
    // Returns ERROR_NONE when `expected` is the row's current version, which is 0 while the row does not exist. The
    // result contains the current version in both cases.
    proto::CommandResult checkRowVersion(const std::string &key, std::uint64_t expected) const;
    std::string objectJson(const ObjectRef &target) const;
    void addObject(const ObjectRef &target, proto::TableContent &content) const;
    // Returns all objects, but no tombstones.
    proto::TableContent fullContent() const;
    void removeExpired();
    void storeClaim(const proto::Claim &claim);

    Revision m_revision = 0;
    Revision m_contentRevision = 0;
    Revision m_tombstoneFloor = 0; // revision of the newest tombstone that was dropped
    std::uint64_t m_versionFloor = 0; // highest row version among the dropped tombstones
    std::int64_t m_clockMs = 0; // latest command time; never decreases
    std::map<std::string, proto::Customer> m_customers;
    std::map<std::string, proto::Key> m_keys;
    std::map<std::string, proto::Row> m_rows;
    std::map<std::string, proto::Server> m_servers;
    std::map<std::string, proto::Shift> m_shifts;
    std::map<std::string, proto::Member> m_members;
    std::map<std::string, proto::Declaration> m_declaration; // at most one, with an empty key
    std::map<std::string, proto::Evacuation> m_evacuations;
    std::map<std::string, proto::BlockedRequest> m_blockedRequests;
    std::map<std::string, proto::Tombstone> m_tombstones;
    std::map<std::string, std::string> m_keyIdByDigest;
    std::map<Revision, ObjectRef> m_byRevision; // each object at the revision of its last change
    std::map<std::string, proto::Claim> m_claims; // by "customer/request id"
    std::map<std::string, proto::ChangeResult> m_results; // by change id
    std::deque<std::pair<std::int64_t, std::string>> m_claimTimes; // time in ms and key of claims, oldest first
    std::deque<std::pair<std::int64_t, std::string>> m_resultTimes; // time in ms and change id of results, oldest first
    std::deque<proto::AuditRecord> m_audit;
    NewestDecisions m_decisions;
};

} // namespace banyanledge
