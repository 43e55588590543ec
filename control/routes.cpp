#include "control/routes.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>

#include "base/digest.h"
#include "base/log.h"

namespace banyanledge
{

namespace
{

using google::protobuf::Message;

std::string defaultRemedy(proto::ErrorKind kind)
{
    switch (kind) {
    case proto::ERROR_INVALID:
        return "correct the request and send it again";
    case proto::ERROR_NOT_FOUND:
        return "list the objects and use a name that exists";
    case proto::ERROR_CONFLICT:
        return "read the object again, decide on the values in force and send the change with their version";
    case proto::ERROR_EXISTS:
        return "use another name, or change the object that exists";
    case proto::ERROR_UNAVAILABLE:
    case proto::ERROR_TIMEOUT:
        return "send the request again with the same Banyanledge-Change-Id, here or to another control host";
    case proto::ERROR_IO:
        return "free disk space or repair the disk of the control leader, then send the request again";
    default:
        return "see the log of the control leader";
    }
}

std::string toJson(const Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true; // as in settings, declarations and look-ups
    options.always_print_primitive_fields = true;
    std::string text;
    if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok()) {
        return "{}";
    }
    return text;
}

// Parses the JSON body into the message. Returns an error response when the body does not match it.
std::optional<ApiResponse> parseBody(const ApiContext &context, Message &message)
{
    const auto status = google::protobuf::util::JsonStringToMessage(context.request.body, &message);
    if (status.ok()) {
        return std::nullopt;
    }
    std::string fields;
    for (int i = 0; i < message.GetDescriptor()->field_count(); ++i) {
        fields += (i > 0 ? ", " : "") + message.GetDescriptor()->field(i)->name();
    }
    return errorResponse(400, {proto::ERROR_INVALID, "the body is invalid: " + std::string(status.message())},
                         "send a JSON object with the fields " + fields);
}

// Splits a message of the form "problem; remedy". A message without a remedy gets the default one of its kind.
ApiResponse refusalResponse(proto::ErrorKind kind, const std::string &message)
{
    const auto split = message.find("; ");
    if (split == std::string::npos) {
        return errorResponse(httpStatus(kind), {kind, message}, defaultRemedy(kind));
    }
    return errorResponse(httpStatus(kind), {kind, message.substr(0, split)}, message.substr(split + 2));
}

ApiResponse resultResponse(const ApiContext &context, const proto::CommandResult &result,
                           const std::string &extraFields = {})
{
    if (result.kind() != proto::ERROR_NONE) {
        ApiResponse response = refusalResponse(result.kind(), result.message());
        if (result.kind() == proto::ERROR_CONFLICT) {
            response.body.insert(response.body.size() - 1, ",\"version\":" + std::to_string(result.version()));
        }
        return response;
    }
    ApiResponse response;
    response.body = "{\"change_id\":" + jsonString(context.changeId)
        + ",\"revision\":" + std::to_string(result.revision()) + ",\"version\":" + std::to_string(result.version())
        + ",\"repeated\":" + (result.repeated() ? "true" : "false") + extraFields + "}";
    return response;
}

proto::Command newCommand(const ApiContext &context)
{
    proto::Command command;
    command.set_change_id(context.changeId);
    command.set_actor(context.actor);
    return command;
}

ApiResponse propose(const ApiContext &context, const proto::Command &command, const std::string &extraFields = {})
{
    return resultResponse(context, context.leader.proposeOrder(command, context.caller), extraFields);
}

// Reads the table and returns the part that `select` moves to its second argument.
template<typename Select>
ApiResponse selectFromTable(const ApiContext &context, Select select)
{
    proto::ReadReply reply = context.leader.read({}, context.caller.deadline);
    if (reply.kind() != proto::ERROR_NONE) {
        return refusalResponse(reply.kind(), reply.message());
    }
    proto::TableContent selected;
    selected.set_revision(reply.content().revision());
    select(*reply.mutable_content(), selected);
    ApiResponse response;
    response.body = toJson(selected);
    return response;
}

ApiResponse listCustomers(const ApiContext &context)
{
    return selectFromTable(context, [](proto::TableContent &content, proto::TableContent &selected) {
        selected.mutable_customers()->Swap(content.mutable_customers());
    });
}

ApiResponse createCustomer(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    if (auto error = parseBody(context, *command.mutable_create_customer())) {
        return *error;
    }
    return propose(context, command);
}

ApiResponse cancelCustomer(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    command.mutable_cancel_customer()->set_name(context.pathParameters[0]);
    return propose(context, command);
}

ApiResponse returnCustomer(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    command.mutable_return_customer()->set_name(context.pathParameters[0]);
    return propose(context, command);
}

ApiResponse listKeys(const ApiContext &context)
{
    return selectFromTable(context, [](proto::TableContent &content, proto::TableContent &selected) {
        selected.mutable_keys()->Swap(content.mutable_keys());
        for (auto &key : *selected.mutable_keys()) {
            key.clear_digest();
        }
    });
}

// Whether the table holds the key with this digest.
bool holdsDigest(const ApiContext &context, const proto::IssueKey &issue)
{
    const proto::ReadReply reply = context.leader.read({}, context.caller.deadline);
    const auto &keys = reply.content().keys();
    return std::any_of(keys.begin(), keys.end(), [&issue](const proto::Key &key) {
        return key.id() == issue.id() && key.digest() == issue.digest();
    });
}

// A client that generates the key itself sends only the digest and can resend the change. A key generated here is shown
// once; a resend can't show it again, because only its digest is stored.
ApiResponse issueKey(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    auto &issue = *command.mutable_issue_key();
    if (auto error = parseBody(context, issue)) {
        return *error;
    }
    if (issue.id().empty()) {
        issue.set_id("key-" + toHex(sha256(context.changeId)).substr(0, 16));
    }
    const std::string extraFields = ",\"id\":" + jsonString(issue.id());
    if (!issue.digest().empty()) {
        return propose(context, command, extraFields);
    }
    const std::string key = randomKey();
    issue.set_digest(sha256(key));
    const auto result = context.leader.proposeOrder(command, context.caller);
    // A repeated result with this digest comes from a retry of the proposal above, so the key is in force.
    if (result.kind() == proto::ERROR_NONE && result.repeated() && !holdsDigest(context, issue)) {
        return errorResponse(
            409,
            {proto::ERROR_CONFLICT,
             "the first request with this change id issued key " + issue.id() + ", which is shown only once"},
            "withdraw key " + issue.id() + " if it was not received, and issue another one");
    }
    return resultResponse(context, result, extraFields + ",\"key\":" + jsonString(key));
}

ApiResponse withdrawKey(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    command.mutable_withdraw_key()->set_id(context.pathParameters[0]);
    return propose(context, command);
}

ApiResponse listRows(const ApiContext &context)
{
    return selectFromTable(context, [](proto::TableContent &content, proto::TableContent &selected) {
        selected.mutable_rows()->Swap(content.mutable_rows());
    });
}

ApiResponse putRow(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    if (auto error = parseBody(context, *command.mutable_put_row())) {
        return *error;
    }
    return propose(context, command);
}

ApiResponse deleteRow(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    if (auto error = parseBody(context, *command.mutable_delete_row())) {
        return *error;
    }
    return propose(context, command);
}

ApiResponse listServers(const ApiContext &context)
{
    return selectFromTable(context, [](proto::TableContent &content, proto::TableContent &selected) {
        selected.mutable_servers()->Swap(content.mutable_servers());
    });
}

ApiResponse setDrained(const ApiContext &context, bool drained)
{
    proto::Command command = newCommand(context);
    command.mutable_drain_server()->set_id(context.pathParameters[0]);
    command.mutable_drain_server()->set_drained(drained);
    return propose(context, command);
}

ApiResponse drainServer(const ApiContext &context)
{
    return setDrained(context, true);
}

ApiResponse undrainServer(const ApiContext &context)
{
    return setDrained(context, false);
}

ApiResponse listBlockedRequests(const ApiContext &context)
{
    return selectFromTable(context, [](proto::TableContent &content, proto::TableContent &selected) {
        selected.mutable_blocked_requests()->Swap(content.mutable_blocked_requests());
    });
}

ApiResponse unblockRequest(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    command.mutable_unblock_request()->set_id(context.pathParameters[0]);
    return propose(context, command);
}

ApiResponse listShifts(const ApiContext &context)
{
    return selectFromTable(context, [](proto::TableContent &content, proto::TableContent &selected) {
        selected.mutable_shifts()->Swap(content.mutable_shifts());
    });
}

ApiResponse startShift(const ApiContext &context)
{
    proto::Command command = newCommand(context);
    auto &shift = *command.mutable_start_shift()->mutable_shift();
    if (auto error = parseBody(context, shift)) {
        return *error;
    }
    if (shift.id().empty()) {
        shift.set_id("shift-" + toHex(sha256(context.changeId)).substr(0, 12));
    }
    // Only the control leader sets the progress, so a shift starts with nothing moved.
    shift.set_step(0);
    shift.set_state(proto::SHIFT_RUNNING);
    shift.set_failover(false);
    return propose(context, command, ",\"id\":" + jsonString(shift.id()));
}

// The step of the shift in the table; 0 without such a shift.
double shiftStep(const proto::TableContent &content, const std::string &id)
{
    const auto &shifts = content.shifts();
    const auto found =
        std::find_if(shifts.begin(), shifts.end(), [&id](const proto::Shift &shift) { return shift.id() == id; });
    return found == shifts.end() ? 0 : found->step();
}

// The step may advance between the read and the change, so the change is tried again on a conflict. A shift that does
// not exist is cancelled too: the table refuses that, and an older order that starts the shift can't follow.
ApiResponse cancelShift(const ApiContext &context)
{
    constexpr int maxAttempts = 5;
    const std::string &id = context.pathParameters[0];
    proto::CommandResult result;
    for (int i = 0; i < maxAttempts; ++i) {
        const proto::ReadReply reply = context.leader.read({}, context.caller.deadline);
        if (reply.kind() != proto::ERROR_NONE) {
            return refusalResponse(reply.kind(), reply.message());
        }
        if (!context.caller.isWaiting(Clock::now())) {
            return refusalResponse(proto::ERROR_UNAVAILABLE, "the time of the request has passed");
        }
        proto::Command command = newCommand(context);
        // A refused attempt has used its change id, so later attempts append their number.
        command.set_change_id(context.changeId + (i > 0 ? "-" + std::to_string(i) : ""));
        command.set_seen_revision(reply.content().revision());
        auto &advance = *command.mutable_advance_shift();
        advance.set_id(id);
        advance.set_from_step(shiftStep(reply.content(), id));
        advance.set_step(advance.from_step());
        advance.set_state(proto::SHIFT_CANCELLED);
        advance.set_reason("cancelled by " + context.actor);
        result = context.leader.propose(command, context.caller.deadline);
        if (result.kind() != proto::ERROR_CONFLICT) {
            break;
        }
    }
    return resultResponse(context, result);
}

// Returns the state of this host, with the progress of the entry hosts from the leader if it answers.
ApiResponse showStatus(const ApiContext &context)
{
    proto::ControlStatus status = context.options.ownStatus();
    proto::ControlStatus leaderStatus = context.leader.status(context.caller.deadline);
    status.mutable_hosts()->Swap(leaderStatus.mutable_hosts());
    ApiResponse response;
    response.body = toJson(status);
    return response;
}

std::optional<std::uint64_t> numericQueryParameter(const ApiContext &context, const std::string &name,
                                                   std::uint64_t fallback)
{
    const auto found = context.request.query.find(name);
    if (found == context.request.query.end()) {
        return fallback;
    }
    std::uint64_t value = 0;
    const char *end = found->second.data() + found->second.size();
    const auto [rest, code] = std::from_chars(found->second.data(), end, value);
    return code == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

ApiResponse showAudit(const ApiContext &context)
{
    constexpr std::uint64_t maxAuditLimit = 10000;
    const auto after = numericQueryParameter(context, "after", 0);
    const auto limit = numericQueryParameter(context, "limit", 1000);
    if (!after || !limit || *limit == 0 || *limit > maxAuditLimit) {
        return errorResponse(400, {proto::ERROR_INVALID, "after and limit have to be numbers, limit from 1 to 10000"},
                             "write for example /v1/audit?after=120&limit=100");
    }
    proto::ReadRequest request;
    request.set_audit(true);
    request.set_audit_after(*after);
    request.set_audit_limit(static_cast<std::uint32_t>(*limit));
    proto::ReadReply reply = context.leader.read(request, context.caller.deadline);
    if (reply.kind() != proto::ERROR_NONE) {
        return refusalResponse(reply.kind(), reply.message());
    }
    proto::ReadReply selected;
    selected.mutable_audit()->Swap(reply.mutable_audit());
    ApiResponse response;
    response.body = toJson(selected);
    return response;
}

ApiResponse listMembers(const ApiContext &context)
{
    ApiResponse response = selectFromTable(context, [](proto::TableContent &content, proto::TableContent &selected) {
        selected.mutable_members()->Swap(content.mutable_members());
    });
    if (response.status == 200) {
        const auto config = context.leader.status(context.caller.deadline).config();
        response.body.insert(response.body.size() - 1, ",\"control\":" + toJson(config));
    }
    return response;
}

ApiResponse addMember(const ApiContext &context)
{
    proto::ChangeMembersRequest request;
    if (auto error = parseBody(context, *request.mutable_member())) {
        return *error;
    }
    request.mutable_member()->set_voter(false); // promoted by the leader once it has caught up
    return resultResponse(context, context.leader.changeMember(request, context.caller));
}

ApiResponse removeMember(const ApiContext &context)
{
    proto::ChangeMembersRequest request;
    request.mutable_member()->set_id(context.pathParameters[0]);
    request.set_remove(true);
    return resultResponse(context, context.leader.changeMember(request, context.caller));
}

} // namespace

const std::vector<ApiRoute> &apiRoutes()
{
    static const std::vector<ApiRoute> all{
        {"GET", {"v1", "customers"}, listCustomers},
        {"POST", {"v1", "customers"}, createCustomer},
        {"POST", {"v1", "customers", "*", "cancel"}, cancelCustomer},
        {"POST", {"v1", "customers", "*", "return"}, returnCustomer},
        {"GET", {"v1", "keys"}, listKeys},
        {"POST", {"v1", "keys"}, issueKey},
        {"DELETE", {"v1", "keys", "*"}, withdrawKey},
        {"POST", {"v1", "keys", "*", "withdraw"}, withdrawKey},
        {"GET", {"v1", "rows"}, listRows},
        {"PUT", {"v1", "rows"}, putRow},
        {"DELETE", {"v1", "rows"}, deleteRow},
        {"GET", {"v1", "servers"}, listServers},
        {"POST", {"v1", "servers", "*", "drain"}, drainServer},
        {"POST", {"v1", "servers", "*", "undrain"}, undrainServer},
        {"GET", {"v1", "blocked"}, listBlockedRequests},
        {"DELETE", {"v1", "blocked", "*"}, unblockRequest},
        {"GET", {"v1", "shifts"}, listShifts},
        {"POST", {"v1", "shifts"}, startShift},
        {"POST", {"v1", "shifts", "*", "cancel"}, cancelShift},
        {"GET", {"v1", "status"}, showStatus},
        {"GET", {"v1", "audit"}, showAudit},
        {"GET", {"v1", "members"}, listMembers},
        {"POST", {"v1", "members"}, addMember},
        {"DELETE", {"v1", "members", "*"}, removeMember},
    };
    return all;
}

} // namespace banyanledge
