// Functions of Table that dispatch commands, build deltas, save and restore images, and keep the audit log.
#include <google/protobuf/util/json_util.h>

#include <algorithm>

#include "ledger/table.h"
#include "ledger/validation.h"

namespace banyanledge
{

namespace
{

template<typename Object>
std::string toJson(const std::map<std::string, Object> &objects, const std::string &key)
{
    std::string text;
    const auto found = objects.find(key);
    if (found != objects.end()) {
        google::protobuf::util::JsonPrintOptions options;
        options.always_print_primitive_fields = true;
        options.preserve_proto_field_names = true;
        // Converting a message without Any fields to JSON cannot fail. If it did, the text would be empty.
        (void)google::protobuf::util::MessageToJsonString(found->second, &text, options);
    }
    return text;
}

template<typename Object, typename List>
void addAll(const std::map<std::string, Object> &objects, List *list)
{
    list->Reserve(static_cast<int>(objects.size()));
    for (const auto &[key, object] : objects) {
        *list->Add() = object;
    }
}

std::string actionName(const proto::Command &command)
{
    const auto *oneof = proto::Command::descriptor()->FindOneofByName("change");
    const auto *field = command.GetReflection()->GetOneofFieldDescriptor(command, oneof);
    return field != nullptr ? field->name() : "unknown";
}

} // namespace

Table::ObjectRef Table::targetOf(const proto::Command &command)
{
    const auto rowKey = [](const auto &row) { return row.service() + "/" + row.region() + "/" + row.customer(); };
    switch (command.change_case()) {
    case proto::Command::kCreateCustomer:
        return {Kind::Customer, command.create_customer().name()};
    case proto::Command::kCancelCustomer:
        return {Kind::Customer, command.cancel_customer().name()};
    case proto::Command::kReturnCustomer:
        return {Kind::Customer, command.return_customer().name()};
    case proto::Command::kIssueKey:
        return {Kind::Key, command.issue_key().id()};
    case proto::Command::kWithdrawKey:
        return {Kind::Key, command.withdraw_key().id()};
    case proto::Command::kPutRow:
        return {Kind::Row, rowKey(command.put_row().row())};
    case proto::Command::kDeleteRow:
        return {Kind::Row, rowKey(command.delete_row())};
    case proto::Command::kPutServer:
        return {Kind::Server, command.put_server().server().id()};
    case proto::Command::kRemoveServer:
        return {Kind::Server, command.remove_server().id()};
    case proto::Command::kRemoveMember:
        return {Kind::Member, command.remove_member().id()};
    case proto::Command::kDrainServer:
        return {Kind::Server, command.drain_server().id()};
    case proto::Command::kStartShift:
        return {Kind::Shift, command.start_shift().shift().id()};
    case proto::Command::kAdvanceShift:
        return {Kind::Shift, command.advance_shift().id()};
    case proto::Command::kPutMember:
        return {Kind::Member, command.put_member().member().id()};
    case proto::Command::kPutDeclaration:
        return {Kind::Declaration, {}};
    case proto::Command::kSetEvacuation:
        return {Kind::Evacuation, command.set_evacuation().availability_zone()};
    case proto::Command::kBlockRequest:
        return {Kind::BlockedRequest, command.block_request().request().id()};
    case proto::Command::kUnblockRequest:
        return {Kind::BlockedRequest, command.unblock_request().id()};
    case proto::Command::kRecordProcessReport:
        return {Kind::Server, command.record_process_report().report().id()};
    default:
        return {};
    }
}

proto::CommandResult Table::dispatch(const proto::Command &command)
{
    switch (command.change_case()) {
    case proto::Command::kCreateCustomer:
        return applyChange(command.create_customer());
    case proto::Command::kCancelCustomer:
        return setCustomerActive(command.cancel_customer().name(), false);
    case proto::Command::kReturnCustomer:
        return setCustomerActive(command.return_customer().name(), true);
    case proto::Command::kIssueKey:
        return applyChange(command.issue_key());
    case proto::Command::kWithdrawKey:
        return applyChange(command.withdraw_key());
    case proto::Command::kPutRow:
        return applyChange(command.put_row());
    case proto::Command::kDeleteRow:
        return applyChange(command.delete_row());
    case proto::Command::kPutServer:
        return applyChange(command.put_server());
    case proto::Command::kRemoveServer:
        return applyChange(command.remove_server());
    case proto::Command::kRemoveMember:
        return applyChange(command.remove_member());
    case proto::Command::kDrainServer:
        return applyChange(command.drain_server());
    case proto::Command::kStartShift:
        return applyChange(command.start_shift());
    case proto::Command::kAdvanceShift:
        return applyChange(command.advance_shift());
    case proto::Command::kPutMember:
        return applyChange(command.put_member());
    case proto::Command::kPutDeclaration:
        return applyChange(command.put_declaration());
    case proto::Command::kSetEvacuation:
        return applyChange(command.set_evacuation());
    case proto::Command::kBlockRequest:
        return applyChange(command.block_request());
    case proto::Command::kUnblockRequest:
        return applyChange(command.unblock_request());
    case proto::Command::kRecordProcessReport:
        return applyChange(command.record_process_report());
    case proto::Command::kClaim:
        return applyChange(command.claim(), command.change_id());
    case proto::Command::kCompleteClaim:
        return applyChange(command.complete_claim());
    case proto::Command::kReleaseClaim:
        return applyChange(command.release_claim());
    case proto::Command::CHANGE_NOT_SET:
        break;
    }
    return {};
}

proto::CommandResult Table::applyOnce(const proto::Command &command)
{
    // Claims are idempotent by customer and request id and far more frequent than edits, so they get neither a stored
    // result nor an audit record.
    const bool isEdit = !command.has_claim() && !command.has_complete_claim() && !command.has_release_claim();
    const auto target = targetOf(command);
    const auto before = isEdit ? objectJson(target) : std::string();
    proto::CommandResult result;
    if (const auto problem = validateCommand(command)) {
        result.set_kind(problem->kind);
        result.set_message(problem->message);
    } else {
        result = dispatch(command);
    }
    result.set_revision(m_revision);
    if (isEdit) {
        storeResult(command, result);
        addAudit(command, target.key, before, objectJson(target), result);
    }
    return result;
}

void Table::storeResult(const proto::Command &command, const proto::CommandResult &result)
{
    if (command.change_id().empty()) {
        return;
    }
    auto &stored = m_results[command.change_id()];
    stored.set_change_id(command.change_id());
    stored.set_time_ms(m_clockMs);
    *stored.mutable_result() = result;
    m_resultTimes.emplace_back(m_clockMs, command.change_id());
}

void Table::addAudit(const proto::Command &command, const std::string &subject, const std::string &before,
                     const std::string &after, const proto::CommandResult &result)
{
    proto::AuditRecord record;
    record.set_revision(m_revision);
    record.set_change_id(command.change_id());
    record.set_actor(command.actor());
    record.set_time_ms(command.time_ms());
    record.set_action(actionName(command));
    record.set_subject(subject);
    record.set_before(before);
    record.set_after(after);
    *record.mutable_outcome() = result;
    m_audit.push_back(std::move(record));
    if (m_audit.size() > maxAuditRecords) {
        m_audit.pop_front();
    }
}

std::string Table::objectJson(const ObjectRef &target) const
{
    switch (target.kind) {
    case Kind::Customer:
        return toJson(m_customers, target.key);
    case Kind::Key:
        return toJson(m_keys, target.key);
    case Kind::Row:
        return toJson(m_rows, target.key);
    case Kind::Server:
        return toJson(m_servers, target.key);
    case Kind::Shift:
        return toJson(m_shifts, target.key);
    case Kind::Member:
        return toJson(m_members, target.key);
    case Kind::Declaration:
        // Only the version: full declarations would make the audit log of up to 100,000 records too large.
        return "{\"version\":" + std::to_string(declaration().version()) + "}";
    case Kind::Evacuation:
        return toJson(m_evacuations, target.key);
    case Kind::BlockedRequest:
        return toJson(m_blockedRequests, target.key);
    case Kind::Tombstone:
        break;
    }
    return {};
}

void Table::addObject(const ObjectRef &target, proto::TableContent &content) const
{
    switch (target.kind) {
    case Kind::Customer:
        *content.add_customers() = m_customers.at(target.key);
        break;
    case Kind::Key:
        *content.add_keys() = m_keys.at(target.key);
        break;
    case Kind::Row:
        *content.add_rows() = m_rows.at(target.key);
        break;
    case Kind::Server:
        *content.add_servers() = m_servers.at(target.key);
        break;
    case Kind::Shift:
        *content.add_shifts() = m_shifts.at(target.key);
        break;
    case Kind::Member:
        *content.add_members() = m_members.at(target.key);
        break;
    case Kind::Declaration:
        *content.mutable_declaration() = declaration();
        break;
    case Kind::Evacuation:
        *content.add_evacuations() = m_evacuations.at(target.key);
        break;
    case Kind::BlockedRequest:
        *content.add_blocked_requests() = m_blockedRequests.at(target.key);
        break;
    case Kind::Tombstone:
        *content.add_tombstones() = m_tombstones.at(target.key);
        break;
    }
}

proto::TableContent Table::fullContent() const
{
    proto::TableContent content;
    content.set_revision(m_revision);
    addAll(m_customers, content.mutable_customers());
    addAll(m_keys, content.mutable_keys());
    addAll(m_rows, content.mutable_rows());
    addAll(m_servers, content.mutable_servers());
    addAll(m_shifts, content.mutable_shifts());
    addAll(m_members, content.mutable_members());
    addAll(m_evacuations, content.mutable_evacuations());
    addAll(m_blockedRequests, content.mutable_blocked_requests());
    if (!m_declaration.empty()) {
        *content.mutable_declaration() = declaration();
    }
    return content;
}

proto::TableContent Table::contentSince(Revision since, bool *snapshot) const
{
    *snapshot = since == 0 || since < m_tombstoneFloor;
    if (*snapshot) {
        return fullContent();
    }
    proto::TableContent content;
    content.set_revision(m_revision);
    for (auto it = m_byRevision.upper_bound(since); it != m_byRevision.end(); ++it) {
        addObject(it->second, content);
    }
    return content;
}

std::vector<proto::AuditRecord> Table::audit(Revision after, std::size_t limit) const
{
    auto first = std::upper_bound(m_audit.begin(), m_audit.end(), after,
                                  [](Revision revision, const auto &record) { return revision < record.revision(); });
    const auto remaining = static_cast<std::size_t>(m_audit.end() - first);
    return {first, first + static_cast<std::ptrdiff_t>(std::min(remaining, limit))};
}

proto::TableImage Table::image() const
{
    proto::TableImage image;
    *image.mutable_content() = fullContent();
    addAll(m_tombstones, image.mutable_content()->mutable_tombstones());
    addAll(m_claims, image.mutable_claims());
    addAll(m_results, image.mutable_results());
    image.mutable_audit()->Add(m_audit.begin(), m_audit.end());
    image.set_tombstone_floor(m_tombstoneFloor);
    image.set_version_floor(m_versionFloor);
    image.set_clock_ms(m_clockMs);
    *image.mutable_decisions() = m_decisions.image();
    return image;
}

template<typename Object>
void Table::indexByRevision(const std::map<std::string, Object> &objects, Kind kind)
{
    for (const auto &[key, object] : objects) {
        m_byRevision[object.revision()] = {kind, key};
    }
}

void Table::restore(const proto::TableImage &image)
{
    *this = Table();
    const auto &content = image.content();
    m_revision = content.revision();
    m_tombstoneFloor = image.tombstone_floor();
    m_versionFloor = image.version_floor();
    m_clockMs = image.clock_ms();
    m_decisions.restore(image.has_decisions() ? &image.decisions() : nullptr, m_revision);
    for (const auto &customer : content.customers()) {
        m_customers.emplace_hint(m_customers.end(), customer.name(), customer);
    }
    for (const auto &key : content.keys()) {
        m_keys.emplace_hint(m_keys.end(), key.id(), key);
        m_keyIdByDigest.emplace(key.digest(), key.id());
    }
    for (const auto &row : content.rows()) {
        m_rows.emplace_hint(m_rows.end(), row.service() + "/" + row.region() + "/" + row.customer(), row);
    }
    for (const auto &server : content.servers()) {
        m_servers.emplace_hint(m_servers.end(), server.id(), server);
    }
    for (const auto &shift : content.shifts()) {
        m_shifts.emplace_hint(m_shifts.end(), shift.id(), shift);
    }
    for (const auto &member : content.members()) {
        m_members.emplace_hint(m_members.end(), member.id(), member);
    }
    for (const auto &evacuation : content.evacuations()) {
        m_evacuations.emplace_hint(m_evacuations.end(), evacuation.availability_zone(), evacuation);
    }
    for (const auto &request : content.blocked_requests()) {
        m_blockedRequests.emplace_hint(m_blockedRequests.end(), request.id(), request);
    }
    if (content.has_declaration()) {
        m_declaration.emplace(std::string(), content.declaration());
    }
    for (const auto &tombstone : content.tombstones()) {
        m_tombstones.emplace(tombstone.kind() + ":" + tombstone.key(), tombstone);
    }
    indexByRevision(m_customers, Kind::Customer);
    indexByRevision(m_keys, Kind::Key);
    indexByRevision(m_rows, Kind::Row);
    indexByRevision(m_servers, Kind::Server);
    indexByRevision(m_shifts, Kind::Shift);
    indexByRevision(m_members, Kind::Member);
    indexByRevision(m_declaration, Kind::Declaration);
    indexByRevision(m_evacuations, Kind::Evacuation);
    indexByRevision(m_blockedRequests, Kind::BlockedRequest);
    indexByRevision(m_tombstones, Kind::Tombstone);
    m_contentRevision = m_byRevision.empty() ? 0 : m_byRevision.rbegin()->first;
    for (const auto &claim : image.claims()) {
        storeClaim(claim);
    }
    for (const auto &result : image.results()) {
        m_results.emplace(result.change_id(), result);
        m_resultTimes.emplace_back(result.time_ms(), result.change_id());
    }
    std::sort(m_claimTimes.begin(), m_claimTimes.end());
    std::sort(m_resultTimes.begin(), m_resultTimes.end());
    m_audit.assign(image.audit().begin(), image.audit().end());
}

} // namespace banyanledge
