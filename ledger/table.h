// The state machine of the replicated log: applies commands in log order, alike on every control host.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/types.h"

namespace banyanledge
{

// How long results by change id and claims are kept, by command time.
constexpr std::int64_t resultLifetimeMs = 24LL * 60 * 60 * 1000;

// Tombstones kept for deltas; a host that missed more removals receives the whole table.
constexpr std::size_t tombstoneLimit = 10000;

// Audit records kept; about a month of the 2,800 changes per day of section 1.7 of the design.
constexpr std::size_t auditLimit = 100000;

class Table
{
public:
    // Applies the command at a log index. A command whose change id was applied before returns the first result with
    // `repeated` set and changes nothing. Refusals are results too, with a kind and a message that names the remedy.
    proto::CommandResult apply(Revision revision, const proto::Command &command);

    // Records that an entry without a command was applied.
    void advance(Revision revision);

    // Log index of the last applied entry.
    Revision revision() const;

    // Log index of the last change of an object that entry hosts copy; claims do not count.
    Revision contentRevision() const;

    // Objects changed after `since`, or the whole table when `since` is 0 or older than the kept tombstones;
    // `snapshot` tells which. The time grows with the number of changes, not with the size of the table.
    proto::TableContent contentSince(Revision since, bool *snapshot) const;

    // Audit records after a revision, oldest first.
    std::vector<proto::AuditRecord> audit(Revision after, std::size_t limit) const;

    // Claim of a request, nullptr when absent or released.
    const proto::Claim *claim(const std::string &customer, const std::string &requestId) const;

    // Whole state; equal states have equal serialized images.
    proto::TableImage image() const;
    void restore(const proto::TableImage &image);

    const std::map<std::string, proto::Customer> &customers() const;
    const std::map<std::string, proto::Key> &keys() const; // by id
    const std::map<std::string, proto::Row> &rows() const; // by "service/region/customer"
    const std::map<std::string, proto::Server> &servers() const;
    const std::map<std::string, proto::Shift> &shifts() const;
    const std::map<std::string, proto::Member> &members() const;
    const proto::Declaration &declaration() const; // version 0 while none was put
    const std::map<std::string, proto::Evacuation> &evacuations() const; // by availability zone

private:
    enum class Kind { Customer, Key, Row, Server, Shift, Member, Declaration, Evacuation, Tombstone };

    // Place of an object; tombstones are stored under "kind:key".
    struct Place
    {
        Kind kind = Kind::Customer;
        std::string key;
    };

    static Place placeOf(const proto::Command &command);
    proto::CommandResult applyNew(const proto::Command &command);
    proto::CommandResult dispatch(const proto::Command &command);
    void storeResult(const proto::Command &command, const proto::CommandResult &result);
    void addAudit(const proto::Command &command, const std::string &subject, const std::string &before,
                  const std::string &after, const proto::CommandResult &result);
    proto::CommandResult change(const proto::CreateCustomer &change);
    proto::CommandResult setActive(const std::string &name, bool active);
    proto::CommandResult change(const proto::IssueKey &change);
    proto::CommandResult change(const proto::WithdrawKey &change);
    proto::CommandResult change(const proto::PutRow &change);
    proto::CommandResult change(const proto::DeleteRow &change);
    proto::CommandResult change(const proto::PutServer &change);
    proto::CommandResult change(const proto::RemoveServer &change);
    proto::CommandResult change(const proto::DrainServer &change);
    proto::CommandResult change(const proto::StartShift &change);
    proto::CommandResult change(const proto::AdvanceShift &change);
    proto::CommandResult change(const proto::PutMember &change);
    proto::CommandResult change(const proto::RemoveMember &change);
    proto::CommandResult change(const proto::PutDeclaration &change);
    proto::CommandResult change(const proto::SetEvacuation &change);
    proto::CommandResult change(const proto::ClaimRequest &change, const std::string &changeId);
    proto::CommandResult change(const proto::CompleteClaim &change);
    proto::CommandResult change(const proto::ReleaseClaim &change);

    template<typename Object>
    void put(std::map<std::string, Object> &objects, Kind kind, const std::string &key, Object object);
    template<typename Object>
    void remove(std::map<std::string, Object> &objects, const char *kind, const std::string &key,
                std::uint64_t version);
    template<typename Object>
    void index(const std::map<std::string, Object> &objects, Kind kind);
    void trimTombstones();
    proto::CommandResult checkRowVersion(const std::string &key, std::uint64_t expected) const;
    std::string describe(const Place &place) const;
    void addObject(const Place &place, proto::TableContent &content) const;
    proto::TableContent wholeContent() const;
    void expire();
    void store(const proto::Claim &claim);

    Revision m_revision = 0;
    Revision m_contentRevision = 0;
    Revision m_tombstoneFloor = 0;
    std::uint64_t m_versionFloor = 0;
    std::int64_t m_clockMs = 0;
    std::map<std::string, proto::Customer> m_customers;
    std::map<std::string, proto::Key> m_keys;
    std::map<std::string, proto::Row> m_rows;
    std::map<std::string, proto::Server> m_servers;
    std::map<std::string, proto::Shift> m_shifts;
    std::map<std::string, proto::Member> m_members;
    std::map<std::string, proto::Declaration> m_declaration; // none or one, under an empty name
    std::map<std::string, proto::Evacuation> m_evacuations;
    std::map<std::string, proto::Tombstone> m_tombstones;
    std::map<std::string, std::string> m_keyOfDigest;
    std::map<Revision, Place> m_byRevision; // one place for each object, at its last change
    std::map<std::string, proto::Claim> m_claims; // by "customer/request id"
    std::map<std::string, proto::ChangeResult> m_results; // by change id
    std::deque<std::pair<std::int64_t, std::string>> m_claimTimes; // oldest first, for expiry
    std::deque<std::pair<std::int64_t, std::string>> m_resultTimes;
    std::deque<proto::AuditRecord> m_audit;
};

} // namespace banyanledge
