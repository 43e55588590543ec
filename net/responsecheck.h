// Checks the responses that libcurl reads, for readers that look at status and body only.
#pragma once

#include <cstddef>
#include <limits>
#include <string>

#include "net/bodydecoder.h"
#include "net/messagelines.h"

namespace banyanledge
{

// Check of the response of one transfer, which also collects its body. Its two callbacks of libcurl end the transfer at
// bytes that no response may have, which also closes the connection. libcurl must pass chunks on as they arrived
// (CURLOPT_HTTP_TRANSFER_DECODING 0), because it reads them less strictly.
class ResponseCheck
{
public:
    explicit ResponseCheck(std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max());

    // Header callback of libcurl (CURLOPT_HEADERFUNCTION); `check` is the ResponseCheck of the transfer
    // (CURLOPT_HEADERDATA).
    static std::size_t readLine(char *data, std::size_t size, std::size_t count, void *check);

    // Write callback of libcurl (CURLOPT_WRITEFUNCTION); `check` is the ResponseCheck of the transfer
    // (CURLOPT_WRITEDATA). Also ends the transfer when the body exceeds the maximum.
    static std::size_t readBody(char *data, std::size_t size, std::size_t count, void *check);

    // Whether a chunked body has ended; true for other bodies, whose end libcurl checks.
    bool complete() const;

    const std::string &body() const;

    // What is wrong with the response, for logs; empty if nothing is, or only the size of the body.
    std::string error() const;

private:
    void fail();

    std::size_t m_maxBodyBytes;
    MessageLines m_lines{MessageKind::Response};
    BodyDecoder m_decoder;
    std::string m_body;
    std::string m_error;
};

} // namespace banyanledge
