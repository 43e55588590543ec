// HTTP client of the operator interface of the control hosts.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/types.h"

namespace banyanledge
{

struct OperatorReply
{
    unsigned status = 0; // HTTP status; 0 if no control host responded
    std::string body; // JSON
};

class OperatorClient
{
public:
    struct Options
    {
        std::vector<std::string> servers; // IP:PORT of control hosts, in order of preference
        std::string token;
        milliseconds attemptTimeout{3000}; // of one attempt; a control host responds within 2.5 s
        milliseconds timeout{15000}; // of all attempts together
    };

    explicit OperatorClient(Options options);

    // Sends a request. While there is no connection or the response is 503 or 504, retries at the next control host
    // with the same change id until the timeout.
    OperatorReply send(const std::string &method, const std::string &path, const std::string &body,
                       const std::string &changeId) const;

    // Reads the objects at a path. Returns nullopt and sets lastError() on failure.
    std::optional<proto::TableContent> read(const std::string &path) const;

private:
    OperatorReply sendOnce(const std::string &server, const std::string &method, const std::string &path,
                           const std::string &body, const std::string &changeId) const;

    Options m_options;
};

// Error of a reply that is not a success, with the message and the remedy from its body.
Error errorFromReply(const OperatorReply &reply);

// Percent-encodes the text as one segment of a URL path.
std::string pathSegment(const std::string &text);

} // namespace banyanledge
