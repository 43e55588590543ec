// Rules of HTTP/1.1 (RFC 9110 and 9112) for the lines of a message, which all readers of messages share.
#pragma once

#include <optional>
#include <string_view>
#include <variant>

namespace banyanledge
{

// Whether a response may have this status.
bool isValidStatus(int status);

// An empty line before the start line, which means nothing.
struct EmptyLine
{
};

// First line of a message.
struct StartLine
{
    int status = 0; // of a response
};

// A line between the start line and the end of the head, or between the last chunk and the end of the message.
struct FieldLine
{
};

// The empty line that ends the head, or the trailers after a chunked body.
struct SectionEnd
{
};

using MessageLine = std::variant<EmptyLine, StartLine, FieldLine, SectionEnd>;

// Reads the lines of one message head, then those of its trailers.
class MessageLines
{
public:
    enum class Kind { Request, Response };

    explicit MessageLines(Kind kind);

    // Reads a line with its line end. nullopt with lastError() if it is not allowed at this place; the rest of the
    // message can't be read then.
    std::optional<MessageLine> read(std::string_view line);

private:
    Kind m_kind;
    bool m_started = false; // the start line has been read
};

} // namespace banyanledge
