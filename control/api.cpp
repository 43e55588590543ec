#include "control/api.h"

#include <restinio/uri_helpers.hpp>
#include <restinio/utils/percent_encoding.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "base/digest.h"
#include "base/log.h"
#include "base/metrics.h"
#include "control/routes.h"

namespace banyanledge
{

namespace
{

// Longest change id, in bytes, that a client may send.
constexpr std::size_t maxChangeIdLength = 128;

// Splits a path into its decoded segments. Returns nullopt when the percent-encoding is invalid.
std::optional<std::vector<std::string>> splitPath(const std::string &path)
{
    std::vector<std::string> segments;
    std::istringstream stream(path.substr(std::min<std::size_t>(1, path.size())));
    std::string segment;
    while (std::getline(stream, segment, '/')) {
        auto decoded =
            restinio::utils::try_unescape_percent_encoding<restinio::utils::relaxed_unescape_traits>(segment);
        if (!decoded) {
            return std::nullopt;
        }
        segments.push_back(*decoded);
    }
    return segments;
}

// Returns the segments that match a "*" of the pattern, or nullopt when the path does not match.
std::optional<std::vector<std::string>> matchPath(const std::vector<std::string> &pattern,
                                                  const std::vector<std::string> &path)
{
    if (pattern.size() != path.size()) {
        return std::nullopt;
    }
    std::vector<std::string> parameters;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (pattern[i] == "*" && !path[i].empty()) {
            parameters.push_back(path[i]);
        } else if (pattern[i] != path[i]) {
            return std::nullopt;
        }
    }
    return parameters;
}

// Calls the handler of the route, or returns 404 for an unknown path and 405 for an unsupported method.
ApiResponse dispatch(ApiContext &context)
{
    std::string allowedMethods;
    const auto path = splitPath(context.request.path);
    for (const ApiRoute &route : apiRoutes()) {
        auto parameters = path ? matchPath(route.path, *path) : std::nullopt;
        if (!parameters) {
            continue;
        }
        if (route.method == context.request.method) {
            context.pathParameters = std::move(*parameters);
            return route.handler(context);
        }
        allowedMethods += (allowedMethods.empty() ? "" : ", ") + std::string(route.method);
    }
    if (allowedMethods.empty()) {
        return errorResponse(404, {proto::ERROR_NOT_FOUND, "this path does not exist"},
                             "use a path under /v1/customers, keys, rows, servers, blocked, shifts, status, audit or "
                             "members");
    }
    ApiResponse response = errorResponse(405, {proto::ERROR_INVALID, "this path does not support this method"},
                                         "use one of " + allowedMethods);
    response.headers.emplace_back("Allow", allowedMethods);
    return response;
}

// An empty id is valid; Api::handle() replaces it by a generated one.
bool isValidChangeId(const std::string &id)
{
    return id.size() <= maxChangeIdLength
        && std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 127; });
}

} // namespace

class Api::Private
{
public:
    Options options;
    LeaderClient &leader;

    std::optional<std::string> authenticate(const std::string &authorization) const;
    ApiResponse authorizeAndDispatch(const ApiRequest &request, const std::string &changeId) const;
    ApiResponse dispatchAndLog(ApiContext &context) const;
};

// Returns the name of the operator whose bearer token was sent, or nullopt when the token is missing or unknown or the
// operators file can't be used.
std::optional<std::string> Api::Private::authenticate(const std::string &authorization) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto operators = readOperators(options.operatorsFile);
    if (!operators) {
        logError("cannot use the operators file; all operator requests are refused", {{"reason", lastError().message}});
        return std::nullopt;
    }
    if (!authorization.starts_with(scheme)) {
        return std::nullopt;
    }
    const std::string digest = toHex(sha256(std::string_view(authorization).substr(scheme.size())));
    std::optional<std::string> found;
    for (const auto &[known, name] : *operators) {
        if (equalConstantTime(known, digest)) {
            found = name;
        }
    }
    return found;
}

ApiResponse Api::Private::authorizeAndDispatch(const ApiRequest &request, const std::string &changeId) const
{
    const auto name = authenticate(request.authorization);
    if (!name) {
        ApiResponse response =
            errorResponse(401, {proto::ERROR_UNAUTHORIZED, "the bearer token is missing or unknown"},
                          "send the header Authorization: Bearer TOKEN with a token of the operators file");
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
        return response;
    }
    if (request.body.size() > maxApiBodyBytes) {
        return errorResponse(413, {proto::ERROR_INVALID, "the body is larger than 1 MiB"},
                             "split it into several requests");
    }
    if (!isValidChangeId(request.changeId)) {
        return errorResponse(
            400,
            {proto::ERROR_INVALID,
             "the header Banyanledge-Change-Id is too long or holds spaces, control or non-ASCII characters"},
            "use at most 128 printable ASCII characters without spaces");
    }
    ApiContext context{
        request, options, leader, {}, *name, changeId, {request.arrived + options.timeout, request.isConnected}};
    return dispatchAndLog(context);
}

// Logs each request that may change something with its outcome. Bodies are not logged.
ApiResponse Api::Private::dispatchAndLog(ApiContext &context) const
{
    ApiResponse response = dispatch(context);
    if (context.request.method != "GET") {
        logInfo("operator request handled",
                {{"operator", context.actor},
                 {"method", context.request.method},
                 {"path", context.request.path},
                 {"change", context.changeId},
                 {"status", std::to_string(response.status)}});
    }
    return response;
}

Api::Api(Options options, LeaderClient &leader)
    : d(new Private{std::move(options), leader})
{
}

Api::~Api() = default;

ApiResponse Api::handle(const ApiRequest &request)
{
    const std::string changeId = request.changeId.empty() ? "change-" + randomKey().substr(0, 32) : request.changeId;
    ApiResponse response = d->authorizeAndDispatch(request, changeId);
    if (isValidChangeId(changeId)) {
        response.headers.emplace_back("Banyanledge-Change-Id", changeId);
    }
    if (response.status == 503) {
        response.headers.emplace_back("Retry-After", "1");
    }
    countMetric("banyanledge_operator_requests_total", {{"status", std::to_string(response.status)}});
    return response;
}

std::optional<std::map<std::string, std::string>> readOperators(const std::string &path)
{
    constexpr std::size_t digestLength = 64;
    std::ifstream file(path);
    if (!file) {
        return fail(proto::ERROR_IO,
                    "cannot read the operators file " + path + "; create it or correct [control] operators_file");
    }
    std::map<std::string, std::string> operators;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        std::istringstream fields(line);
        std::string name;
        std::string digest;
        std::string extraField;
        if (!(fields >> name) || name.starts_with('#')) {
            continue;
        }
        const bool wellFormed = static_cast<bool>(fields >> digest) && !(fields >> extraField);
        if (!wellFormed || digest.size() != digestLength
            || digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
            return fail(
                proto::ERROR_INVALID,
                path + ":" + std::to_string(number)
                    + ": malformed line; write NAME and the SHA-256 of the token as 64 lower-case hexadecimal digits");
        }
        operators[digest] = name;
    }
    return operators;
}

ApiResponse errorResponse(unsigned status, const Error &error, const std::string &remedy)
{
    ApiResponse response;
    response.status = status;
    response.body = "{\"kind\":" + jsonString(kindName(error.kind)) + ",\"message\":" + jsonString(error.message)
        + ",\"remedy\":" + jsonString(remedy) + "}";
    return response;
}

unsigned httpStatus(proto::ErrorKind kind)
{
    switch (kind) {
    case proto::ERROR_NONE:
        return 200;
    case proto::ERROR_INVALID:
        return 400;
    case proto::ERROR_UNAUTHORIZED:
        return 401;
    case proto::ERROR_NOT_FOUND:
        return 404;
    case proto::ERROR_CONFLICT:
    case proto::ERROR_EXISTS:
        return 409;
    case proto::ERROR_RATE_LIMITED:
        return 429;
    case proto::ERROR_OVERLOADED:
    case proto::ERROR_UNAVAILABLE:
    case proto::ERROR_IO:
        return 503;
    case proto::ERROR_TIMEOUT:
        return 504;
    default:
        return 500;
    }
}

} // namespace banyanledge
