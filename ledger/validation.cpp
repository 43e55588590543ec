#include "ledger/validation.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/settings.h"

namespace banyanledge
{

namespace
{

using Problem = std::optional<Error>;

// Size of a SHA-256 digest in bytes.
constexpr std::size_t digestLength = 32;

Problem invalid(const std::string &message)
{
    return Error{proto::ERROR_INVALID, message};
}

Problem checkName(const std::string &field, const std::string &text)
{
    if (isValidName(text)) {
        return std::nullopt;
    }
    return invalid(field + " is not a name; write 1 to 128 letters, digits, '.', '_' or '-'");
}

Problem checkNameOrWildcard(const std::string &field, const std::string &text)
{
    return text == "*" ? std::nullopt : checkName(field, text);
}

Problem checkNonNegative(const std::string &field, double value)
{
    if (std::isfinite(value) && value >= 0) {
        return std::nullopt;
    }
    return invalid(field + " must be a number of at least 0");
}

Problem checkFraction(const std::string &field, double value)
{
    if (value >= 0 && value <= 1) {
        return std::nullopt;
    }
    return invalid(field + " must be from 0 to 1");
}

// Returns the first problem that is set, in the order of the arguments.
template<typename... Problems>
Problem firstProblem(Problems... problems)
{
    Problem found;
    ((found = found ? found : problems), ...);
    return found;
}

Problem checkRowFields(const proto::Row &row)
{
    const bool allServices = row.service() == "*";
    const bool allRegions = row.region() == "*";
    if ((row.has_rate() || row.has_burst()) && (!allServices || !allRegions)) {
        return invalid("rate and burst hold across the fleet; set them on the row with service * and region *");
    }
    if ((row.has_weight() || row.has_max_in_flight()) && allServices) {
        return invalid("weight and max_in_flight belong to a service; set them on a row that names one");
    }
    if (row.has_open() && (allServices || !allRegions || row.customer() != "*")) {
        return invalid("open belongs to a whole service; set it on the row with that service, region * and customer *");
    }
    if (row.has_weight() && row.weight() > maxRowWeight) {
        return invalid("weight must be from 0 to 1000");
    }
    return firstProblem(checkNonNegative("rate", row.rate()), checkNonNegative("burst", row.burst()));
}

Problem check(const proto::PutRow &change)
{
    const auto &row = change.row();
    return firstProblem(checkNameOrWildcard("service", row.service()), checkNameOrWildcard("region", row.region()),
                        checkNameOrWildcard("customer", row.customer()), checkRowFields(row));
}

Problem check(const proto::DeleteRow &change)
{
    return firstProblem(checkNameOrWildcard("service", change.service()),
                        checkNameOrWildcard("region", change.region()),
                        checkNameOrWildcard("customer", change.customer()));
}

Problem check(const proto::IssueKey &change)
{
    if (change.digest().size() != digestLength) {
        return invalid("digest must be the 32 bytes of the key's SHA-256");
    }
    return firstProblem(checkName("key id", change.id()), checkName("customer", change.customer()));
}

Problem check(const proto::PutServer &change)
{
    const auto &server = change.server();
    if (!isAddress(server.address())) {
        return invalid("address of server " + server.id() + " must be IP:PORT, for example 10.0.0.1:80");
    }
    return firstProblem(checkName("server id", server.id()), checkName("service", server.service()),
                        checkName("region", server.region()));
}

Problem check(const proto::StartShift &change)
{
    const auto &shift = change.shift();
    if (shift.from_region() == shift.to_region()) {
        return invalid("from_region and to_region are equal; name two regions");
    }
    if (shift.step() > shift.cap()) {
        return invalid("step is above cap; write a step from 0 to cap");
    }
    return firstProblem(checkName("shift id", shift.id()), checkNameOrWildcard("service", shift.service()),
                        checkName("from_region", shift.from_region()), checkName("to_region", shift.to_region()),
                        checkFraction("cap", shift.cap()), checkFraction("step", shift.step()),
                        checkNonNegative("cap_per_second", shift.cap_per_second()));
}

Problem check(const proto::AdvanceShift &change)
{
    if (!proto::ShiftState_IsValid(change.state())) {
        return invalid("state is unknown; write running, paused, done or cancelled");
    }
    return firstProblem(checkName("shift id", change.id()), checkFraction("step", change.step()));
}

Problem check(const proto::PutMember &change)
{
    const auto &member = change.member();
    const auto checkAddress = [](const std::string &field, const std::string &text) {
        return text.empty() || isAddress(text) ? std::nullopt : invalid(field + " must be IP:PORT");
    };
    if (!proto::MemberState_IsValid(member.state())) {
        return invalid("state is unknown; write joining, live, leaving or gone");
    }
    return firstProblem(checkName("member id", member.id()), checkName("region", member.region()),
                        checkAddress("http_address", member.http_address()),
                        checkAddress("rpc_address", member.rpc_address()));
}

Problem check(const proto::PutDeclaration &change)
{
    if (change.declaration().version() == 0) {
        return invalid("version of the declaration is 0; write a version of at least 1");
    }
    return validateDeclaration(change.declaration());
}

// Request ids are chosen by callers, so any printable ASCII character is allowed.
template<typename Change>
Problem checkClaim(const Change &change)
{
    const auto &id = change.request_id();
    const auto printable = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
    if (id.empty() || id.size() > maxNameLength || !std::all_of(id.begin(), id.end(), printable)) {
        return invalid("request id must be 1 to 128 printable ASCII characters without spaces");
    }
    return firstProblem(change.customer().empty() ? std::nullopt : checkNameOrWildcard("customer", change.customer()),
                        checkName("host", change.host()));
}

} // namespace

bool isValidName(const std::string &text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

std::optional<Error> validateDeclaration(const proto::Declaration &declaration)
{
    std::set<std::string> services;
    for (const auto &service : declaration.services()) {
        if (service.name().empty()) {
            return invalid("a service has no name; write one");
        }
        services.insert(service.name());
    }
    std::set<std::pair<std::string, std::string>> routeKeys;
    for (const auto &route : declaration.routes()) {
        const auto routeError = [&route](const std::string &message) {
            return invalid("route " + route.name() + ": " + message);
        };
        if (route.host().empty()) {
            return routeError("host is empty; write the host name that callers use");
        }
        if (!route.path_prefix().starts_with('/') || !route.path_prefix().ends_with('/')) {
            return routeError("path prefix must begin and end with a slash");
        }
        if (!routeKeys.emplace(route.host(), route.path_prefix()).second) {
            return routeError("another route has the same host and path prefix; remove one of them");
        }
        if (route.max_attempts() == 0) {
            return routeError("max attempts is 0; write at least 1");
        }
        if (milliseconds(route.timeout_ms()) > maxDeadline) {
            return routeError("timeout must be at most 600000 ms");
        }
        if (route.split().empty()) {
            return routeError("no service is named; write one or a split");
        }
        for (const auto &weightedService : route.split()) {
            if (!services.contains(weightedService.service())) {
                return routeError("service " + weightedService.service()
                                  + " is not declared; declare it or name another");
            }
            if (!std::isfinite(weightedService.weight()) || weightedService.weight() < 0) {
                return routeError("the weight of service " + weightedService.service() + " must be at least 0");
            }
        }
    }
    return std::nullopt;
}

std::optional<Error> validateCommand(const proto::Command &command)
{
    switch (command.change_case()) {
    case proto::Command::kCreateCustomer:
        return checkName("customer", command.create_customer().name());
    case proto::Command::kCancelCustomer:
        return checkName("customer", command.cancel_customer().name());
    case proto::Command::kReturnCustomer:
        return checkName("customer", command.return_customer().name());
    case proto::Command::kIssueKey:
        return check(command.issue_key());
    case proto::Command::kWithdrawKey:
        return checkName("key id", command.withdraw_key().id());
    case proto::Command::kPutRow:
        return check(command.put_row());
    case proto::Command::kDeleteRow:
        return check(command.delete_row());
    case proto::Command::kPutServer:
        return check(command.put_server());
    case proto::Command::kRemoveServer:
        return checkName("server id", command.remove_server().id());
    case proto::Command::kRemoveMember:
        return checkName("member id", command.remove_member().id());
    case proto::Command::kDrainServer:
        return checkName("server id", command.drain_server().id());
    case proto::Command::kStartShift:
        return check(command.start_shift());
    case proto::Command::kAdvanceShift:
        return check(command.advance_shift());
    case proto::Command::kPutMember:
        return check(command.put_member());
    case proto::Command::kPutDeclaration:
        return check(command.put_declaration());
    case proto::Command::kSetEvacuation:
        return checkName("availability zone", command.set_evacuation().availability_zone());
    case proto::Command::kBlockRequest:
        return checkName("id of the blocked request", command.block_request().request().id());
    case proto::Command::kUnblockRequest:
        return checkName("id of the blocked request", command.unblock_request().id());
    case proto::Command::kRecordProcessReport:
        return checkName("server id", command.record_process_report().report().id());
    case proto::Command::kClaim:
        return checkClaim(command.claim());
    case proto::Command::kCompleteClaim:
        return checkClaim(command.complete_claim());
    case proto::Command::kReleaseClaim:
        return checkClaim(command.release_claim());
    case proto::Command::CHANGE_NOT_SET:
        break;
    }
    return invalid("the command names no change; this host may run an older version than the sender");
}

} // namespace banyanledge
