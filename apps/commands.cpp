#include "apps/commands.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/declaration.h"
#include "base/digest.h"
#include "base/log.h"

namespace banyanledge
{

namespace
{

using google::protobuf::Struct;
using google::protobuf::Value;

std::string toJson(const google::protobuf::Message &message)
{
    std::string text;
    google::protobuf::util::MessageToJsonString(message, &text);
    return text;
}

int exitCode(const OperatorReply &reply)
{
    if (reply.status >= 200 && reply.status < 300) {
        return ExitOk;
    }
    if (reply.status == 0 || reply.status == 503 || reply.status == 504) {
        return ExitUnavailable;
    }
    return errorFromReply(reply).kind == proto::ERROR_CONFLICT ? ExitConflict : ExitRejected;
}

int exitCode(proto::ErrorKind kind)
{
    return kind == proto::ERROR_UNAVAILABLE || kind == proto::ERROR_TIMEOUT ? ExitUnavailable : ExitRejected;
}

int reportError(const Invocation &invocation, const OperatorReply &reply)
{
    if (invocation.json && !reply.body.empty()) {
        std::cout << reply.body;
    }
    std::cerr << "banyanledge: " << errorFromReply(reply).message << "\n";
    return exitCode(reply);
}

int reportError(const Error &error, int code)
{
    std::cerr << "banyanledge: " << error.message << "\n";
    return code;
}

std::string chooseChangeId(const Invocation &invocation)
{
    return invocation.changeId.empty() ? "cli-" + randomKey().substr(0, 32) : invocation.changeId;
}

std::string formatScalar(const Value &value)
{
    switch (value.kind_case()) {
    case Value::kStringValue:
        return value.string_value().empty() ? "-" : value.string_value();
    case Value::kBoolValue:
        return value.bool_value() ? "yes" : "no";
    case Value::kNumberValue: {
        std::ostringstream text;
        text << value.number_value();
        return text.str();
    }
    default:
        return "-";
    }
}

// Prints objects as a table with one column for each scalar field of any of them.
void printTable(const google::protobuf::ListValue &list)
{
    std::map<std::string, std::size_t> widths;
    for (const auto &item : list.values()) {
        for (const auto &[name, value] : item.struct_value().fields()) {
            if (!value.has_struct_value() && !value.has_list_value()) {
                auto &width = widths[name];
                width = std::max({width, name.size(), formatScalar(value).size()});
            }
        }
    }
    const auto printCell = [](const std::string &text, std::size_t width) {
        std::cout << text << std::string(width + 2 - std::min(width + 1, text.size()), ' ');
    };
    for (const auto &[name, width] : widths) {
        printCell(name, width);
    }
    std::cout << "\n";
    for (const auto &item : list.values()) {
        const auto &fields = item.struct_value().fields();
        for (const auto &[name, width] : widths) {
            const auto found = fields.find(name);
            printCell(found == fields.end() ? "-" : formatScalar(found->second), width);
        }
        std::cout << "\n";
    }
}

// Prints each scalar field on a line and each list as a table.
void printObject(const Struct &object)
{
    for (const auto &[name, value] : std::map<std::string, Value>(object.fields().begin(), object.fields().end())) {
        if (value.has_list_value()) {
            if (value.list_value().values_size() > 0) {
                std::cout << name << ":\n";
                printTable(value.list_value());
            }
        } else if (value.has_struct_value()) {
            std::cout << name << "\n";
            printObject(value.struct_value());
        } else {
            std::cout << name << ": " << formatScalar(value) << "\n";
        }
    }
}

int printReply(const Invocation &invocation, const OperatorReply &reply)
{
    if (exitCode(reply) != ExitOk) {
        return reportError(invocation, reply);
    }
    Struct object;
    if (invocation.json || !google::protobuf::util::JsonStringToMessage(reply.body, &object).ok()) {
        std::cout << reply.body;
    } else {
        printObject(object);
    }
    return ExitOk;
}

int sendChange(const Invocation &invocation, const std::string &method, const std::string &path,
               const std::string &body)
{
    return printReply(invocation, invocation.client->send(method, path, body, chooseChangeId(invocation)));
}

int sendRead(const Invocation &invocation, const std::string &path)
{
    return printReply(invocation, invocation.client->send("GET", path, "", ""));
}

// Value of an option; empty if it is absent.
std::string optionValue(const Invocation &invocation, const std::string &name)
{
    const auto found = invocation.options.find(name);
    return found == invocation.options.end() ? "" : found->second;
}

// Sets a JSON field from an option, if given. The value must be a JSON number or boolean; the parser of the JSON text
// checks that it has the field's type.
bool setJsonField(std::map<std::string, std::string> &fields, const Invocation &invocation, const std::string &option,
                  const std::string &field)
{
    const std::string value = optionValue(invocation, option);
    if (value.empty()) {
        return true;
    }
    double number = 0;
    const char *end = value.data() + value.size();
    const auto [rest, code] = std::from_chars(value.data(), end, number);
    const bool isNumber = code == std::errc() && rest == end;
    if (!isNumber && value != "true" && value != "false") {
        fail(proto::ERROR_INVALID, "--" + option + ": '" + value + "' is not accepted; write a number, true or false");
        return false;
    }
    fields[field] = value;
    return true;
}

std::string jsonObject(const std::map<std::string, std::string> &fields)
{
    std::string text = "{";
    for (const auto &[name, value] : fields) {
        text += (text.size() > 1 ? "," : "") + jsonString(name) + ":" + value;
    }
    return text + "}";
}

// Sends a POST request without a body for an action on the object that the first operand names.
int postAction(const Invocation &invocation, const std::string &collection, const std::string &action)
{
    return sendChange(invocation, "POST", collection + pathSegment(invocation.operands[0]) + action, "");
}

int customerCreate(const Invocation &invocation)
{
    return sendChange(invocation, "POST", "/v1/customers", jsonObject({{"name", jsonString(invocation.operands[0])}}));
}

int customerCancel(const Invocation &invocation)
{
    return postAction(invocation, "/v1/customers/", "/cancel");
}

int customerReturn(const Invocation &invocation)
{
    return postAction(invocation, "/v1/customers/", "/return");
}

int customerList(const Invocation &invocation)
{
    return sendRead(invocation, "/v1/customers");
}

// Creates the key here and sends only its digest, so that a resent change issues the same key.
int keyIssue(const Invocation &invocation)
{
    const std::string key = randomKey();
    proto::IssueKey issue;
    issue.set_customer(invocation.operands[0]);
    issue.set_id(optionValue(invocation, "id").empty() ? "key-" + randomKey().substr(0, 16)
                                                       : optionValue(invocation, "id"));
    issue.set_digest(sha256(key));
    const OperatorReply reply = invocation.client->send("POST", "/v1/keys", toJson(issue), chooseChangeId(invocation));
    if (exitCode(reply) != ExitOk) {
        return reportError(invocation, reply);
    }
    if (invocation.json) {
        std::cout << jsonObject(
            {{"id", jsonString(issue.id())}, {"customer", jsonString(issue.customer())}, {"key", jsonString(key)}})
                  << "\n";
    } else {
        std::cout << "id: " << issue.id() << "\nkey: " << key << "\nThe key cannot be shown again.\n";
    }
    return ExitOk;
}

int keyWithdraw(const Invocation &invocation)
{
    return postAction(invocation, "/v1/keys/", "/withdraw");
}

int keyList(const Invocation &invocation)
{
    return sendRead(invocation, "/v1/keys");
}

// Current row of the service, region and customer in the operands; version 0 if there is none. Returns nullopt and sets
// lastError() if the rows can't be read.
std::optional<proto::Row> currentRow(const Invocation &invocation)
{
    const auto content = invocation.client->read("/v1/rows");
    if (!content) {
        return std::nullopt;
    }
    for (const auto &row : content->rows()) {
        if (row.service() == invocation.operands[0] && row.region() == invocation.operands[1]
            && row.customer() == invocation.operands[2]) {
            return row;
        }
    }
    proto::Row row;
    row.set_service(invocation.operands[0]);
    row.set_region(invocation.operands[1]);
    row.set_customer(invocation.operands[2]);
    return row;
}

// Sets the version that the change expects: that of --expected-version, else the one just read. Returns false and sets
// lastError() if the option is malformed.
bool expectedVersion(const Invocation &invocation, std::uint64_t read, std::uint64_t &version)
{
    const std::string text = optionValue(invocation, "expected-version");
    version = read;
    if (text.empty()) {
        return true;
    }
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, version);
    if (code != std::errc() || rest != end) {
        fail(proto::ERROR_INVALID, "--expected-version: '" + text + "' is not accepted; write a whole number");
        return false;
    }
    return true;
}

// Sets the fields given by options and keeps the other fields of the row.
int rowSet(const Invocation &invocation)
{
    std::map<std::string, std::string> fields;
    for (const auto &[option, field] : std::map<std::string, std::string>{{"weight", "weight"},
                                                                          {"rate", "rate"},
                                                                          {"burst", "burst"},
                                                                          {"max-in-flight", "maxInFlight"},
                                                                          {"open", "open"}}) {
        if (!setJsonField(fields, invocation, option, field)) {
            return reportError(lastError(), ExitUsage);
        }
    }
    proto::Row changes;
    if (fields.empty() || !google::protobuf::util::JsonStringToMessage(jsonObject(fields), &changes).ok()) {
        return reportError(
            {proto::ERROR_INVALID, "name the fields to set, e.g. --weight=50 (a whole number), --open=true"},
            ExitUsage);
    }
    const auto current = currentRow(invocation);
    if (!current) {
        return reportError(lastError(), exitCode(lastError().kind));
    }
    proto::PutRow put;
    *put.mutable_row() = *current;
    put.mutable_row()->MergeFrom(changes);
    put.mutable_row()->clear_revision();
    put.mutable_row()->clear_version();
    std::uint64_t version = 0;
    if (!expectedVersion(invocation, current->version(), version)) {
        return reportError(lastError(), ExitUsage);
    }
    put.set_expected_version(version);
    return sendChange(invocation, "PUT", "/v1/rows", toJson(put));
}

int rowDelete(const Invocation &invocation)
{
    const auto current = currentRow(invocation);
    if (!current) {
        return reportError(lastError(), exitCode(lastError().kind));
    }
    proto::DeleteRow change;
    change.set_service(current->service());
    change.set_region(current->region());
    change.set_customer(current->customer());
    std::uint64_t version = 0;
    if (!expectedVersion(invocation, current->version(), version)) {
        return reportError(lastError(), ExitUsage);
    }
    change.set_expected_version(version);
    return banyanledge::sendChange(invocation, "DELETE", "/v1/rows", toJson(change));
}

int rowList(const Invocation &invocation)
{
    return sendRead(invocation, "/v1/rows");
}

int drain(const Invocation &invocation)
{
    return postAction(invocation, "/v1/servers/", "/drain");
}

int undrain(const Invocation &invocation)
{
    return postAction(invocation, "/v1/servers/", "/undrain");
}

int serverList(const Invocation &invocation)
{
    return sendRead(invocation, "/v1/servers");
}

int blockedList(const Invocation &invocation)
{
    return sendRead(invocation, "/v1/blocked");
}

int unblock(const Invocation &invocation)
{
    return sendChange(invocation, "DELETE", "/v1/blocked/" + pathSegment(invocation.operands[0]), "");
}

int shiftStart(const Invocation &invocation)
{
    std::map<std::string, std::string> fields;
    if (!setJsonField(fields, invocation, "cap", "cap")
        || !setJsonField(fields, invocation, "cap-per-second", "capPerSecond")) {
        return reportError(lastError(), ExitUsage);
    }
    if (!fields.contains("cap")) {
        return reportError({proto::ERROR_INVALID, "--cap is missing; write the largest fraction to move, from 0 to 1"},
                           ExitUsage);
    }
    fields["service"] = jsonString(invocation.operands[0]);
    fields["fromRegion"] = jsonString(invocation.operands[1]);
    fields["toRegion"] = jsonString(invocation.operands[2]);
    if (!optionValue(invocation, "id").empty()) {
        fields["id"] = jsonString(optionValue(invocation, "id"));
    }
    return sendChange(invocation, "POST", "/v1/shifts", jsonObject(fields));
}

int shiftCancel(const Invocation &invocation)
{
    return postAction(invocation, "/v1/shifts/", "/cancel");
}

int shiftList(const Invocation &invocation)
{
    return sendRead(invocation, "/v1/shifts");
}

int status(const Invocation &invocation)
{
    return sendRead(invocation, "/v1/status");
}

int audit(const Invocation &invocation)
{
    std::string query;
    for (const std::string name : {"after", "limit"}) {
        if (!optionValue(invocation, name).empty()) {
            query += (query.empty() ? "?" : "&") + name + "=" + pathSegment(optionValue(invocation, name));
        }
    }
    return sendRead(invocation, "/v1/audit" + query);
}

int memberList(const Invocation &invocation)
{
    return sendRead(invocation, "/v1/members");
}

int memberAdd(const Invocation &invocation)
{
    return sendChange(
        invocation, "POST", "/v1/members",
        jsonObject({{"id", jsonString(invocation.operands[0])}, {"rpcAddress", jsonString(invocation.operands[1])}}));
}

int memberRemove(const Invocation &invocation)
{
    return sendChange(invocation, "DELETE", "/v1/members/" + pathSegment(invocation.operands[0]), "");
}

// Plans the changes from the table to the file. On failure prints the error, sets `code` and returns nullopt.
std::optional<std::vector<PlannedChange>> planFile(const Invocation &invocation, int &code)
{
    const std::string &path = invocation.operands[0];
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        code =
            reportError({proto::ERROR_IO, "cannot read " + path + "; check the path and its permissions"}, ExitUsage);
        return std::nullopt;
    }
    const auto declaration = parseDeclaration(text.str(), path);
    if (!declaration) {
        code = reportError(lastError(), ExitUsage);
        return std::nullopt;
    }
    auto rows = invocation.client->read("/v1/rows");
    const auto customers = rows ? invocation.client->read("/v1/customers") : std::nullopt;
    if (!customers) {
        code = reportError(lastError(), exitCode(lastError().kind));
        return std::nullopt;
    }
    rows->mutable_customers()->CopyFrom(customers->customers());
    return planChanges(*declaration, *rows);
}

void printPlan(const Invocation &invocation, const std::vector<PlannedChange> &changes, const std::string &verb)
{
    if (invocation.json) {
        std::string list;
        for (const auto &planned : changes) {
            list += (list.empty() ? "" : ",") + jsonString(planned.summary);
        }
        std::cout << "{\"" << verb << "\":[" << list << "]}\n";
        return;
    }
    for (const auto &planned : changes) {
        std::cout << planned.summary << "\n";
    }
    std::cout << changes.size() << " changes " << verb << "\n";
}

int plan(const Invocation &invocation)
{
    int code = ExitOk;
    const auto changes = planFile(invocation, code);
    if (changes) {
        printPlan(invocation, *changes, "planned");
    }
    return code;
}

int apply(const Invocation &invocation)
{
    int code = ExitOk;
    const auto changes = planFile(invocation, code);
    if (!changes) {
        return code;
    }
    const std::string id = chooseChangeId(invocation);
    std::vector<PlannedChange> applied;
    for (const auto &planned : *changes) {
        const OperatorReply reply =
            invocation.client->send(planned.method, planned.path, planned.body,
                                    id + "-" + toHex(sha256(planned.body + planned.path)).substr(0, 16));
        code = exitCode(reply);
        if (code != ExitOk) {
            reportError(invocation, reply);
            std::cerr << "banyanledge: stopped at: " << planned.summary << "\n";
            if (code == ExitConflict) {
                std::cerr << "banyanledge: it was changed by somebody else after it was read; run plan, decide which "
                             "values are right, correct the file and apply it again\n";
            }
            break;
        }
        applied.push_back(planned);
    }
    printPlan(invocation, applied, "applied");
    return code;
}

} // namespace

const std::vector<CommandSpec> &commandSpecs()
{
    static const std::vector<CommandSpec> all{
        {{"customer", "create"}, {"NAME"}, {}, "create a customer", customerCreate},
        {{"customer", "cancel"}, {"NAME"}, {}, "cancel a customer; its rows are kept", customerCancel},
        {{"customer", "return"}, {"NAME"}, {}, "reactivate a cancelled customer with its rows", customerReturn},
        {{"customer", "list"}, {}, {}, "list the customers", customerList},
        {{"key", "issue"}, {"CUSTOMER"}, {"id"}, "issue a key and show it once", keyIssue},
        {{"key", "withdraw"}, {"ID"}, {}, "withdraw a key; it stops working within 3 s", keyWithdraw},
        {{"key", "list"}, {}, {}, "list the keys without their values", keyList},
        {{"row", "set"},
         {"SERVICE", "REGION", "CUSTOMER"},
         {"weight", "rate", "burst", "max-in-flight", "open", "expected-version"},
         "set fields of a row and keep its other fields; * means any",
         rowSet},
        {{"row", "delete"}, {"SERVICE", "REGION", "CUSTOMER"}, {"expected-version"}, "delete a row", rowDelete},
        {{"row", "list"}, {}, {}, "list the rows", rowList},
        {{"drain"}, {"SERVER"}, {}, "send no new requests to a backend server", drain},
        {{"undrain"}, {"SERVER"}, {}, "send requests to a drained backend server again", undrain},
        {{"server", "list"}, {}, {}, "list the backend servers", serverList},
        {{"blocked", "list"},
         {},
         {},
         "list the requests that are not sent to servers, as they crash them",
         blockedList},
        {{"unblock"}, {"ID"}, {}, "send a blocked request to backend servers again", unblock},
        {{"shift", "start"},
         {"SERVICE", "FROM", "TO"},
         {"cap", "cap-per-second", "id"},
         "move a fraction of a region's requests to another region in steps",
         shiftStart},
        {{"shift", "cancel"}, {"ID"}, {}, "cancel a shift", shiftCancel},
        {{"shift", "list"}, {}, {}, "list the shifts", shiftList},
        {{"status"}, {}, {}, "show the state of the first control host that responds", status},
        {{"audit"}, {}, {"after", "limit"}, "show the audit trail: who changed what", audit},
        {{"member", "list"}, {}, {}, "list the hosts", memberList},
        {{"member", "add"}, {"ID", "IP:PORT"}, {}, "add a control host by its gRPC address", memberAdd},
        {{"member", "remove"}, {"ID"}, {}, "remove a control host", memberRemove},
        {{"plan"}, {"FILE"}, {}, "show the changes that apply would make", plan},
        {{"apply"}, {"FILE"}, {}, "change customers and rows to the state that the file declares", apply},
    };
    return all;
}

const CommandSpec *findCommand(const std::vector<std::string> &words)
{
    for (const auto &spec : commandSpecs()) {
        if (words.size() >= spec.words.size() && std::equal(spec.words.begin(), spec.words.end(), words.begin())) {
            return &spec;
        }
    }
    return nullptr;
}

} // namespace banyanledge
