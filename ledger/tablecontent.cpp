// Deltas, images and the audit log of the table.
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
        // A message without Any fields always has a JSON form; were it otherwise, the record would have no text.
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

Table::Place Table::placeOf(const proto::Command &command)
{
    const auto row = [](const auto &part) { return part.service() + "/" + part.region() + "/" + part.customer(); };
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
        return {Kind::Row, row(command.put_row().row())};
    case proto::Command::kDeleteRow:
        return {Kind::Row, row(command.delete_row())};
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
    default:
        return {};
    }
}

proto::CommandResult Table::dispatch(const proto::Command &command)
{
    switch (command.change_case()) {
    case proto::Command::kCreateCustomer:
        return change(command.create_customer());
    case proto::Command::kCancelCustomer:
        return setActive(command.cancel_customer().name(), false);
    case proto::Command::kReturnCustomer:
        return setActive(command.return_customer().name(), true);
    case proto::Command::kIssueKey:
        return change(command.issue_key());
    case proto::Command::kWithdrawKey:
        return change(command.withdraw_key());
    case proto::Command::kPutRow:
        return change(command.put_row());
    case proto::Command::kDeleteRow:
        return change(command.delete_row());
    case proto::Command::kPutServer:
        return change(command.put_server());
    case proto::Command::kRemoveServer:
        return change(command.remove_server());
    case proto::Command::kRemoveMember:
        return change(command.remove_member());
    case proto::Command::kDrainServer:
        return change(command.drain_server());
    case proto::Command::kStartShift:
        return change(command.start_shift());
    case proto::Command::kAdvanceShift:
        return change(command.advance_shift());
    case proto::Command::kPutMember:
        return change(command.put_member());
    case proto::Command::kPutDeclaration:
        return change(command.put_declaration());
    case proto::Command::kSetEvacuation:
        return change(command.set_evacuation());
    case proto::Command::kClaim:
        return change(command.claim(), command.change_id());
    case proto::Command::kCompleteClaim:
        return change(command.complete_claim());
    case proto::Command::kReleaseClaim:
        return change(command.release_claim());
    case proto::Command::CHANGE_NOT_SET:
        break;
    }
    return {};
}

proto::CommandResult Table::applyNew(const proto::Command &command)
{
    // Claims are idempotent by customer and request id and far more frequent than edits; they take neither a stored
    // result nor an audit record.
    const bool edit = !command.has_claim() && !command.has_complete_claim() && !command.has_release_claim();
    const auto place = placeOf(command);
    const auto before = edit ? describe(place) : std::string();
    proto::CommandResult result;
    if (const auto problem = validateCommand(command)) {
        result.set_kind(problem->kind);
        result.set_message(problem->message);
    } else {
        result = dispatch(command);
    }
    result.set_revision(m_revision);
    if (edit) {
        storeResult(command, result);
        addAudit(command, place.key, before, describe(place), result);
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
    if (m_audit.size() > auditLimit) {
        m_audit.pop_front();
    }
}

std::string Table::describe(const Place &place) const
{
    switch (place.kind) {
    case Kind::Customer:
        return toJson(m_customers, place.key);
    case Kind::Key:
        return toJson(m_keys, place.key);
    case Kind::Row:
        return toJson(m_rows, place.key);
    case Kind::Server:
        return toJson(m_servers, place.key);
    case Kind::Shift:
        return toJson(m_shifts, place.key);
    case Kind::Member:
        return toJson(m_members, place.key);
    case Kind::Declaration:
        // The whole text would fill the audit trail, which keeps up to 100,000 records.
        return "{\"version\":" + std::to_string(declaration().version()) + "}";
    case Kind::Evacuation:
        return toJson(m_evacuations, place.key);
    case Kind::Tombstone:
        break;
    }
    return {};
}

void Table::addObject(const Place &place, proto::TableContent &content) const
{
    switch (place.kind) {
    case Kind::Customer:
        *content.add_customers() = m_customers.at(place.key);
        break;
    case Kind::Key:
        *content.add_keys() = m_keys.at(place.key);
        break;
    case Kind::Row:
        *content.add_rows() = m_rows.at(place.key);
        break;
    case Kind::Server:
        *content.add_servers() = m_servers.at(place.key);
        break;
    case Kind::Shift:
        *content.add_shifts() = m_shifts.at(place.key);
        break;
    case Kind::Member:
        *content.add_members() = m_members.at(place.key);
        break;
    case Kind::Declaration:
        *content.mutable_declaration() = declaration();
        break;
    case Kind::Evacuation:
        *content.add_evacuations() = m_evacuations.at(place.key);
        break;
    case Kind::Tombstone:
        *content.add_tombstones() = m_tombstones.at(place.key);
        break;
    }
}

proto::TableContent Table::wholeContent() const
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
    if (!m_declaration.empty()) {
        *content.mutable_declaration() = declaration();
    }
    return content;
}

proto::TableContent Table::contentSince(Revision since, bool *snapshot) const
{
    *snapshot = since == 0 || since < m_tombstoneFloor;
    if (*snapshot) {
        return wholeContent();
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
    const auto left = static_cast<std::size_t>(m_audit.end() - first);
    return {first, first + static_cast<std::ptrdiff_t>(std::min(left, limit))};
}

proto::TableImage Table::image() const
{
    proto::TableImage image;
    *image.mutable_content() = wholeContent();
    addAll(m_tombstones, image.mutable_content()->mutable_tombstones());
    addAll(m_claims, image.mutable_claims());
    addAll(m_results, image.mutable_results());
    image.mutable_audit()->Add(m_audit.begin(), m_audit.end());
    image.set_tombstone_floor(m_tombstoneFloor);
    image.set_version_floor(m_versionFloor);
    image.set_clock_ms(m_clockMs);
    return image;
}

template<typename Object>
void Table::index(const std::map<std::string, Object> &objects, Kind kind)
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
    for (const auto &customer : content.customers()) {
        m_customers.emplace_hint(m_customers.end(), customer.name(), customer);
    }
    for (const auto &key : content.keys()) {
        m_keys.emplace_hint(m_keys.end(), key.id(), key);
        m_keyOfDigest.emplace(key.digest(), key.id());
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
    if (content.has_declaration()) {
        m_declaration.emplace(std::string(), content.declaration());
    }
    for (const auto &tombstone : content.tombstones()) {
        m_tombstones.emplace(tombstone.kind() + ":" + tombstone.key(), tombstone);
    }
    index(m_customers, Kind::Customer);
    index(m_keys, Kind::Key);
    index(m_rows, Kind::Row);
    index(m_servers, Kind::Server);
    index(m_shifts, Kind::Shift);
    index(m_members, Kind::Member);
    index(m_declaration, Kind::Declaration);
    index(m_evacuations, Kind::Evacuation);
    index(m_tombstones, Kind::Tombstone);
    m_contentRevision = m_byRevision.empty() ? 0 : m_byRevision.rbegin()->first;
    for (const auto &claim : image.claims()) {
        store(claim);
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
