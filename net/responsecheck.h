// Checks the heads of responses that libcurl reads, for readers that look at status and body only.
#pragma once

#include <cstddef>
#include <string>

#include "net/messagelines.h"

namespace banyanledge
{

// Check of the responses of one transfer.
class ResponseCheck
{
public:
    // Header callback of libcurl (CURLOPT_HEADERFUNCTION); `check` is the ResponseCheck of the transfer
    // (CURLOPT_HEADERDATA). Ends the transfer at a line that no response may have, which also closes the connection.
    static std::size_t readLine(char *data, std::size_t size, std::size_t count, void *check);

    // Why the transfer was ended, for logs; empty if it was not.
    const std::string &error() const;

private:
    MessageLines m_lines{MessageKind::Response};
    std::string m_error;
};

} // namespace banyanledge
