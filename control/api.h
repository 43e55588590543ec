// The operators' requests as plain values, so that they can be tested without a socket.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/types.h"
#include "control/leader.h"

namespace banyanledge
{

// Largest accepted body of an operator's request.
constexpr std::size_t maxApiBodyBytes = 1024UL * 1024;

struct ApiRequest
{
    std::string method;
    std::string path; // without the query, percent-encoded
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string changeId; // empty: one is made up
    std::string body;
};

struct ApiResponse
{
    unsigned status = 200;
    std::string body; // JSON
    std::vector<std::pair<std::string, std::string>> headers;
};

class Api
{
public:
    struct Options
    {
        std::string operatorsFile; // read again for each request, so that a withdrawn token stops at once
        std::function<proto::ControlStatus()> ownStatus;
        milliseconds timeout{2500}; // of one request; a change of leader takes less than 2 s
    };

    Api(Options options, LeaderClient &leader);
    ~Api();

    // Answers one request; blocks until the leader answered or the timeout passed. Safe from any thread.
    ApiResponse handle(const ApiRequest &request);

private:
    class Private;
    std::unique_ptr<Private> d;
};

// OperatorServer by the SHA-256 of their token in hexadecimal. nullopt with lastError() naming the line.
std::optional<std::map<std::string, std::string>> readOperators(const std::string &path);

// Body of an error: {kind, message, remedy}.
ApiResponse errorResponse(unsigned status, const Error &error, const std::string &remedy);

// HTTP status of a kind of error.
unsigned httpStatus(proto::ErrorKind kind);

} // namespace banyanledge
