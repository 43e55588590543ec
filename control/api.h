// HTTP API for operators: authentication, routing and error responses. Requests and responses are plain values, so that
// the API can be tested without a socket.
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

// Larger request bodies are refused with status 413.
constexpr std::size_t maxApiBodyBytes = 1024UL * 1024;

struct ApiRequest
{
    std::string method;
    std::string path; // percent-encoded, without the query
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string changeId; // header Banyanledge-Change-Id; empty: one is generated
    std::string body;
    Time arrived = Clock::now(); // when the request was received
    std::function<bool()> isConnected; // whether its client still waits; empty: it always does
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
        std::string operatorsFile; // read for each request, so that a removed token is refused at once
        std::function<proto::ControlStatus()> ownStatus; // returns the state of this control host
        milliseconds timeout{2500}; // for one request; longer than a change of leader, which takes less than 2 s
    };

    Api(Options options, LeaderClient &leader);
    ~Api();

    // Authenticates and handles one request. Blocks until the leader has answered or the timeout has passed. May be
    // called from any thread.
    ApiResponse handle(const ApiRequest &request);

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Reads the operators file and returns the operators' names by the SHA-256 of their token in hexadecimal. Returns
// nullopt when the file can't be read or a line is malformed; lastError() then names the file or the line.
std::optional<std::map<std::string, std::string>> readOperators(const std::string &path);

// Returns a response with the status and the JSON body {kind, message, remedy}.
ApiResponse errorResponse(unsigned status, const Error &error, const std::string &remedy);

// Returns the HTTP status for a kind of error.
unsigned httpStatus(proto::ErrorKind kind);

} // namespace banyanledge
