#include "ledger/table.h"

#include <algorithm>

#include "base/invariant.h"
#include "ledger/results.h"
#include "ledger/validation.h"

namespace banyanledge
{

namespace
{

std::string rowKey(const std::string &service, const std::string &region, const std::string &customer)
{
    return service + "/" + region + "/" + customer;
}

// Returns true if two objects are equal except for their revision.
template<typename Object>
bool equalExceptRevision(Object a, const Object &b)
{
    a.set_revision(b.revision());
    return a.SerializeAsString() == b.SerializeAsString();
}

// Whether the list does not show the start of the server's present process yet.
bool isListBehind(const proto::Server &server)
{
    return server.started_ms() != server.listed_start_ms();
}

proto::Server newServer(proto::Server listed, Revision revision)
{
    listed.set_drained(false);
    listed.set_ended(false);
    listed.set_incarnation(revision);
    listed.set_started_ms(listed.listed_start_ms());
    return listed;
}

// What the list says of a stored server. The list names each start, but later than the hosts see it.
proto::Server updatedServer(const proto::Server &stored, const proto::Server &listed, Revision revision)
{
    proto::Server server = listed;
    server.set_drained(stored.drained());
    server.set_incarnation(stored.incarnation());
    server.set_ended(stored.ended());
    server.set_started_ms(listed.started_ms() != 0 ? listed.started_ms() : stored.started_ms());
    if (listed.listed_start_ms() == 0) {
        server.set_listed_start_ms(stored.listed_start_ms());
    }
    if (server.listed_start_ms() == stored.listed_start_ms()) {
        if (isListBehind(server)) {
            server.set_warmup_left_ms(stored.warmup_left_ms());
        }
        return server;
    }
    // A start that hosts have not seen is a new incarnation; else the list confirms what they saw.
    if (stored.ended() || (stored.started_ms() != 0 && stored.started_ms() != listed.listed_start_ms())) {
        server.set_incarnation(revision);
    }
    server.set_ended(false);
    server.set_started_ms(listed.listed_start_ms());
    return server;
}

} // namespace

template<typename Object>
void Table::put(std::map<std::string, Object> &objects, Kind kind, const std::string &key, Object object)
{
    auto &stored = objects[key];
    m_byRevision.erase(stored.revision());
    stored = std::move(object);
    stored.set_revision(m_revision);
    m_byRevision[m_revision] = {kind, key};
    m_contentRevision = m_revision;
}

template<typename Object>
void Table::remove(std::map<std::string, Object> &objects, const char *kind, const std::string &key,
                   std::uint64_t version)
{
    const auto found = objects.find(key);
    m_byRevision.erase(found->second.revision());
    objects.erase(found);
    proto::Tombstone tombstone;
    tombstone.set_kind(kind);
    tombstone.set_key(key);
    tombstone.set_version(version);
    put(m_tombstones, Kind::Tombstone, std::string(kind) + ":" + key, tombstone);
    trimTombstones();
}

void Table::trimTombstones()
{
    if (m_tombstones.size() <= maxTombstones) {
        return;
    }
    const auto oldest = std::find_if(m_byRevision.begin(), m_byRevision.end(),
                                     [](const auto &entry) { return entry.second.kind == Kind::Tombstone; });
    const auto found = m_tombstones.find(oldest->second.key);
    m_tombstoneFloor = found->second.revision();
    m_versionFloor = std::max(m_versionFloor, found->second.version());
    m_tombstones.erase(found);
    m_byRevision.erase(oldest);
}

proto::CommandResult Table::apply(Revision revision, const proto::Command &command)
{
    advance(revision);
    m_clockMs = std::max(m_clockMs, command.time_ms());
    removeExpired();
    // A command that changes nothing, or is refused or repeated, is a decision like any other: once it is acknowledged,
    // an older command must not follow it.
    for (const std::string &subject : subjectsOf(command).recorded) {
        m_decisions.record(subject, m_revision);
    }
    const auto earlier = m_results.find(command.change_id());
    if (earlier != m_results.end()) {
        auto result = earlier->second.result();
        result.set_repeated(true);
        return result;
    }
    return applyOnce(command);
}

void Table::advance(Revision revision)
{
    BL_INVARIANT(revision > m_revision, "applied_revision_increases");
    m_revision = revision;
}

void Table::recordDecision(const std::string &subject)
{
    m_decisions.record(subject, m_revision);
}

Revision Table::newestDecision(const std::string &subject) const
{
    return m_decisions.newest(subject);
}

bool Table::hasResult(const std::string &changeId) const
{
    return m_results.contains(changeId);
}

// Removes results and claims older than the retention. Command time never decreases, so the oldest ones are at the
// front. A claim that was completed later has a second entry further back.
void Table::removeExpired()
{
    const auto expiryMs = m_clockMs - resultRetentionMs;
    while (!m_claimTimes.empty() && m_claimTimes.front().first < expiryMs) {
        const auto found = m_claims.find(m_claimTimes.front().second);
        if (found != m_claims.end() && found->second.time_ms() < expiryMs) {
            m_claims.erase(found);
        }
        m_claimTimes.pop_front();
    }
    while (!m_resultTimes.empty() && m_resultTimes.front().first < expiryMs) {
        m_results.erase(m_resultTimes.front().second);
        m_resultTimes.pop_front();
    }
}

proto::CommandResult Table::applyChange(const proto::CreateCustomer &change)
{
    const auto found = m_customers.find(change.name());
    if (found != m_customers.end()) {
        return errorResult(
            proto::ERROR_EXISTS,
            "customer " + change.name() + " exists"
                + (found->second.active() ? "; choose another name" : " and is cancelled; return it instead"));
    }
    proto::Customer customer;
    customer.set_name(change.name());
    customer.set_active(true);
    put(m_customers, Kind::Customer, change.name(), customer);
    return {};
}

// Rows and the withdrawn state of keys are kept, so that a customer that returns has its settings again.
proto::CommandResult Table::setCustomerActive(const std::string &name, bool active)
{
    const auto found = m_customers.find(name);
    if (found == m_customers.end()) {
        return notFound("customer", name);
    }
    if (found->second.active() != active) {
        proto::Customer customer = found->second;
        customer.set_active(active);
        put(m_customers, Kind::Customer, name, customer);
    }
    return {};
}

proto::CommandResult Table::applyChange(const proto::IssueKey &change)
{
    const auto customer = m_customers.find(change.customer());
    if (customer == m_customers.end()) {
        return notFound("customer", change.customer());
    }
    if (!customer->second.active()) {
        return errorResult(proto::ERROR_INVALID, "customer " + change.customer() + " is cancelled; return it first");
    }
    if (m_keys.contains(change.id())) {
        return errorResult(proto::ERROR_EXISTS, "key " + change.id() + " exists; choose another id");
    }
    if (m_keyIdByDigest.contains(change.digest())) {
        return errorResult(proto::ERROR_EXISTS, "a key with this digest was issued before; issue a new random key");
    }
    proto::Key key;
    key.set_id(change.id());
    key.set_digest(change.digest());
    key.set_customer(change.customer());
    m_keyIdByDigest[change.digest()] = change.id();
    put(m_keys, Kind::Key, change.id(), key);
    return {};
}

proto::CommandResult Table::applyChange(const proto::WithdrawKey &change)
{
    const auto found = m_keys.find(change.id());
    if (found == m_keys.end()) {
        return notFound("key", change.id());
    }
    if (!found->second.withdrawn()) {
        proto::Key key = found->second;
        key.set_withdrawn(true);
        put(m_keys, Kind::Key, change.id(), key);
    }
    return {};
}

proto::CommandResult Table::checkRowVersion(const std::string &key, std::uint64_t expected) const
{
    const auto found = m_rows.find(key);
    const std::uint64_t currentVersion = found != m_rows.end() ? found->second.version() : 0;
    proto::CommandResult result;
    if (currentVersion != expected) {
        result = errorResult(proto::ERROR_CONFLICT,
                             "row " + key + " has version " + std::to_string(currentVersion) + ", the edit expected "
                                 + std::to_string(expected) + "; read the row again and repeat the edit on it");
    }
    result.set_version(currentVersion);
    return result;
}

proto::CommandResult Table::applyChange(const proto::PutRow &change)
{
    proto::Row row = change.row();
    if (row.customer() != "*" && !m_customers.contains(row.customer())) {
        return notFound("customer", row.customer());
    }
    const auto key = rowKey(row.service(), row.region(), row.customer());
    auto result = checkRowVersion(key, change.expected_version());
    if (result.kind() != proto::ERROR_NONE) {
        return result;
    }
    std::uint64_t lastVersion = result.version();
    if (lastVersion == 0) {
        // Versions continue after those of a removed row, so that an edit made for the removed row cannot match the new
        // one.
        const auto removed = m_tombstones.find("row:" + key);
        lastVersion = removed != m_tombstones.end() ? removed->second.version() : m_versionFloor;
        if (removed != m_tombstones.end()) {
            m_byRevision.erase(removed->second.revision());
            m_tombstones.erase(removed);
        }
    }
    row.set_version(lastVersion + 1);
    result.set_version(lastVersion + 1);
    put(m_rows, Kind::Row, key, row);
    return result;
}

proto::CommandResult Table::applyChange(const proto::DeleteRow &change)
{
    const auto key = rowKey(change.service(), change.region(), change.customer());
    if (!m_rows.contains(key)) {
        return notFound("row", key);
    }
    auto result = checkRowVersion(key, change.expected_version());
    if (result.kind() == proto::ERROR_NONE) {
        remove(m_rows, "row", key, result.version());
        result.set_version(0);
    }
    return result;
}

void Table::putServer(const proto::Server &server)
{
    const auto found = m_servers.find(server.id());
    if (found != m_servers.end() && equalExceptRevision(server, found->second)) {
        return;
    }
    const auto removed = m_tombstones.find("server:" + server.id());
    if (removed != m_tombstones.end()) {
        m_byRevision.erase(removed->second.revision());
        m_tombstones.erase(removed);
    }
    put(m_servers, Kind::Server, server.id(), server);
}

proto::CommandResult Table::applyChange(const proto::PutServer &change)
{
    const auto found = m_servers.find(change.server().id());
    putServer(found == m_servers.end() ? newServer(change.server(), m_revision)
                                       : updatedServer(found->second, change.server(), m_revision));
    return {};
}

// Milliseconds; 0 when the service or its warm-up is not declared.
std::uint32_t Table::declaredWarmup(const std::string &service) const
{
    const auto &services = declaration().services();
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const auto &declared) { return declared.name() == service; });
    return found == services.end() ? 0 : found->warmup_ms();
}

// Each end and each start is an incarnation of its own, so that a repeated report names one that is over. Such a
// report is ignored: another host was first.
proto::CommandResult Table::applyChange(const proto::RecordProcessReport &change)
{
    const auto &report = change.report();
    const auto found = m_servers.find(report.id());
    const bool isCurrent = found != m_servers.end() && found->second.incarnation() == report.incarnation();
    if (!isCurrent || (report.ended() && found->second.ended())) {
        return {};
    }
    proto::Server server = found->second;
    const std::uint32_t warmup =
        report.warmup_left_ms() > 0 ? report.warmup_left_ms() : declaredWarmup(server.service());
    server.set_incarnation(m_revision);
    server.set_started_ms(0);
    server.set_ended(report.ended());
    server.set_warmup_left_ms(report.ended() ? 0 : warmup);
    putServer(server);
    return {};
}

proto::CommandResult Table::applyChange(const proto::RemoveServer &change)
{
    if (!m_servers.contains(change.id())) {
        return notFound("server", change.id());
    }
    remove(m_servers, "server", change.id(), 0);
    return {};
}

proto::CommandResult Table::applyChange(const proto::DrainServer &change)
{
    const auto found = m_servers.find(change.id());
    if (found == m_servers.end()) {
        return notFound("server", change.id());
    }
    if (found->second.drained() != change.drained()) {
        proto::Server server = found->second;
        server.set_drained(change.drained());
        put(m_servers, Kind::Server, change.id(), server);
    }
    return {};
}

proto::CommandResult Table::applyChange(const proto::StartShift &change)
{
    proto::Shift shift = change.shift();
    if (m_shifts.contains(shift.id())) {
        return errorResult(proto::ERROR_EXISTS, "shift " + shift.id() + " exists; choose another id");
    }
    shift.set_state(proto::SHIFT_RUNNING);
    BL_INVARIANT(shift.step() <= shift.cap(), "shift_step_within_cap");
    put(m_shifts, Kind::Shift, shift.id(), shift);
    return {};
}

proto::CommandResult Table::applyChange(const proto::AdvanceShift &change)
{
    const auto found = m_shifts.find(change.id());
    if (found == m_shifts.end()) {
        return notFound("shift", change.id());
    }
    proto::Shift shift = found->second;
    if (shift.state() == proto::SHIFT_CANCELLED) {
        return errorResult(proto::ERROR_CONFLICT, "shift " + shift.id() + " is cancelled; start a new one");
    }
    if (shift.step() != change.from_step()) {
        return errorResult(proto::ERROR_CONFLICT,
                           "shift " + shift.id() + " is at step " + std::to_string(shift.step())
                               + ", the change expected " + std::to_string(change.from_step())
                               + "; read the shift again");
    }
    if (change.step() > shift.cap()) {
        return errorResult(proto::ERROR_INVALID,
                           "step is above the cap of shift " + shift.id() + "; write a step up to "
                               + std::to_string(shift.cap()));
    }
    shift.set_step(change.step());
    shift.set_state(change.state());
    shift.set_reason(change.reason());
    BL_INVARIANT(shift.step() <= shift.cap(), "shift_step_within_cap");
    if (!equalExceptRevision(shift, found->second)) {
        put(m_shifts, Kind::Shift, shift.id(), shift);
    }
    return {};
}

proto::CommandResult Table::applyChange(const proto::PutMember &change)
{
    const auto &member = change.member();
    const auto found = m_members.find(member.id());
    if (found == m_members.end() || !equalExceptRevision(member, found->second)) {
        put(m_members, Kind::Member, member.id(), member);
    }
    return {};
}

// Removes a member only in the incarnation that was declared gone, as the host may have returned since the decision.
proto::CommandResult Table::applyChange(const proto::RemoveMember &change)
{
    const auto found = m_members.find(change.id());
    if (found == m_members.end()) {
        return notFound("member", change.id());
    }
    const proto::Member &member = found->second;
    if (member.state() != proto::MEMBER_GONE || member.incarnation() != change.incarnation()) {
        return errorResult(proto::ERROR_CONFLICT,
                           "member " + change.id()
                               + " is not gone or came back; only members that are gone are removed");
    }
    remove(m_members, "member", change.id(), 0);
    return {};
}

// A version that is not higher is ignored without an error, because the caller resends a declaration until it is
// acknowledged, possibly after a newer one was applied.
proto::CommandResult Table::applyChange(const proto::PutDeclaration &change)
{
    proto::CommandResult result;
    const auto currentVersion = declaration().version();
    result.set_version(std::max(currentVersion, change.declaration().version()));
    result.set_repeated(change.declaration().version() <= currentVersion);
    if (!result.repeated()) {
        put(m_declaration, Kind::Declaration, {}, change.declaration());
    }
    return result;
}

proto::CommandResult Table::applyChange(const proto::SetEvacuation &change)
{
    const auto found = m_evacuations.find(change.availability_zone());
    if (change.active() != (found != m_evacuations.end() && found->second.active())) {
        proto::Evacuation evacuation;
        evacuation.set_availability_zone(change.availability_zone());
        evacuation.set_active(change.active());
        put(m_evacuations, Kind::Evacuation, change.availability_zone(), evacuation);
    }
    return {};
}

proto::CommandResult Table::applyChange(const proto::BlockRequest &change)
{
    const proto::BlockedRequest &request = change.request();
    const auto found = m_blockedRequests.find(request.id());
    const Revision current = found != m_blockedRequests.end() ? found->second.revision() : 0;
    if (change.expected_revision() != 0 && change.expected_revision() != current) {
        return errorResult(proto::ERROR_CONFLICT,
                           "blocked request " + request.id()
                               + " was changed or unblocked meanwhile; read the blocked requests again");
    }
    if (change.expected_revision() == 0 && current != 0) {
        return {}; // blocked already
    }
    if (found == m_blockedRequests.end() && m_blockedRequests.size() >= maxBlockedRequests) {
        return errorResult(proto::ERROR_INVALID,
                           std::to_string(maxBlockedRequests) + " requests are blocked already; unblock one of them");
    }
    const auto removed = m_tombstones.find("blocked:" + request.id());
    if (removed != m_tombstones.end()) {
        m_byRevision.erase(removed->second.revision());
        m_tombstones.erase(removed);
    }
    put(m_blockedRequests, Kind::BlockedRequest, request.id(), request);
    return {};
}

proto::CommandResult Table::applyChange(const proto::UnblockRequest &change)
{
    if (!m_blockedRequests.contains(change.id())) {
        return notFound("blocked request", change.id());
    }
    remove(m_blockedRequests, "blocked", change.id(), 0);
    return {};
}

const std::map<std::string, proto::Customer> &Table::customers() const
{
    return m_customers;
}

const std::map<std::string, proto::Key> &Table::keys() const
{
    return m_keys;
}

const std::map<std::string, proto::Row> &Table::rows() const
{
    return m_rows;
}

const std::map<std::string, proto::Server> &Table::servers() const
{
    return m_servers;
}

const std::map<std::string, proto::Shift> &Table::shifts() const
{
    return m_shifts;
}

const std::map<std::string, proto::Member> &Table::members() const
{
    return m_members;
}

const proto::Declaration &Table::declaration() const
{
    return m_declaration.empty() ? proto::Declaration::default_instance() : m_declaration.begin()->second;
}

const std::map<std::string, proto::Evacuation> &Table::evacuations() const
{
    return m_evacuations;
}

const std::map<std::string, proto::BlockedRequest> &Table::blockedRequests() const
{
    return m_blockedRequests;
}

Revision Table::revision() const
{
    return m_revision;
}

Revision Table::contentRevision() const
{
    return m_contentRevision;
}

} // namespace banyanledge
