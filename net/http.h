// HTTP/1.1 messages and an incremental parser for both directions, over http_parser.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/messagelines.h"

namespace banyanledge
{

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Appends the line "NAME: VALUE\r\n".
void appendHeader(std::string &text, std::string_view name, std::string_view value);

// Value of the first header of that name, compared without regard to case; nullptr when absent.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

// Head of a request or a response.
struct HttpHead
{
    std::string method; // of a request
    std::string target; // of a request, with its query
    int status = 0; // of a response, from 100 to 599; 0 until the head is complete
    HttpHeaders headers;
    bool keepAlive = false; // the sender may use the connection again
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;
    bool bodyUntilClose = false; // the body ends with the connection
};

// Headers to forward: without hop-by-hop headers, those that Connection lists, Content-Length and Expect.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

// Memory that headers take.
std::size_t memoryBytes(const HttpHeaders &headers);

// Decoded query parameter of a request target; nullopt when absent.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

// Path of a request target, without its query.
std::string_view targetPath(std::string_view target);

// Standard reason phrase of a status code.
const char *reasonPhrase(int status);

// Parses one message at a time from bytes that arrive in pieces. A head that the rules of net/messagelines do not allow
// never becomes complete, and a body fails at the first chunk or trailer that they do not allow.
class HttpParser
{
public:
    using Kind = MessageKind;

    explicit HttpParser(Kind kind);
    ~HttpParser();
    HttpParser(HttpParser &&) noexcept;
    HttpParser &operator=(HttpParser &&) noexcept;

    // Takes bytes up to the end of the message and returns how many; the rest belongs to the next message.
    std::size_t feed(std::string_view bytes);

    // Tells the parser that the connection has ended, which completes a body without a declared length.
    void finish();

    // Declares that the next response has no body, because its request was a HEAD.
    void expectNoBody();

    bool headComplete() const;
    bool complete() const;
    bool failed() const; // the bytes are not valid HTTP
    std::string errorMessage() const; // what is wrong, for logs
    std::size_t headBytes() const; // size of the head so far
    std::size_t headMemoryBytes() const; // memory that the head takes

    const HttpHead &head() const;

    // Body bytes since the last call.
    std::string takeBody();

    // Starts over with the next message.
    void reset();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
