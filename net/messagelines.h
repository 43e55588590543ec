// Rules of HTTP/1.1 (RFC 9110 and 9112) for the lines of a message, which all readers of messages share.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace banyanledge
{

// Ends each line. Readers accept lines of a head that end with LF alone.
constexpr std::string_view lineEnd = "\r\n";

// Names of the fields that tell the length of a body.
constexpr std::string_view lengthField = "Content-Length";
constexpr std::string_view codingField = "Transfer-Encoding";

enum class MessageKind { Request, Response };

// Whether a response may have this status.
bool isValidStatus(int status);

// Whether a response of this status ends with its head, whatever the head says of a body.
bool isBodylessStatus(int status);

// Whether two texts, such as names of headers, are equal without regard to case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

// Whether the text is a token, as the name of a field has to be.
bool isToken(std::string_view text);

// Whether the text holds no control characters but tabs, as the value of a field and the reason of a status have to.
bool isFieldText(std::string_view text);

// The text without the blanks and tabs around it.
std::string_view trimmed(std::string_view text);

// Checks that no CR in a line, or in a part of it, is followed by another character than LF, because some readers take
// it for a line end; false with lastError().
bool checkLineEnds(std::string_view text);

// Number of bytes that the chunk after the line "SIZE" or "SIZE;EXTENSION" has; nullopt with lastError() if the line is
// not valid.
std::optional<std::uint64_t> parseChunkSize(std::string_view line);

// An empty line before the start line, which means nothing.
struct EmptyLine
{
};

// First line of a message.
struct StartLine
{
    int status = 0; // of a response
};

// A field of the head or of the trailers. The views refer to the line.
struct FieldLine
{
    std::string_view name;
    std::string_view value; // without the blanks and tabs around it
};

// Continues the value of the field before it (obs-fold).
struct FieldContinuation
{
};

// The empty line that ends the head, or the trailers after a chunked body.
struct SectionEnd
{
};

using MessageLine = std::variant<EmptyLine, StartLine, FieldLine, FieldContinuation, SectionEnd>;

// What a head says of the length of the body.
struct BodyFraming
{
    std::optional<std::uint64_t> length; // in bytes
    bool chunked = false;
};

// Reads the lines of one message: its head and its trailers, and before them the heads of interim responses.
class MessageLines
{
public:
    explicit MessageLines(MessageKind kind);

    // Reads a line with its line end. nullopt with lastError() if it is not allowed at this place; the rest of the
    // message can't be read then.
    std::optional<MessageLine> read(std::string_view line);

    // As far as the present head has been read.
    const BodyFraming &bodyFraming() const;

private:
    enum class Section { None, Head, InterimHead, Trailers };

    std::optional<MessageLine> readStartLine(std::string_view line);
    std::optional<MessageLine> readSectionEnd();
    std::optional<MessageLine> readContinuation(std::string_view line) const;
    std::optional<MessageLine> readField(std::string_view line);
    bool readBodyFraming(const FieldLine &field);
    bool readLength(std::string_view value);
    bool readCoding(std::string_view value);

    MessageKind m_kind;
    Section m_section = Section::None;
    BodyFraming m_bodyFraming;
    bool m_hasField = false; // a field of the present section has been read
    bool m_framesBody = false; // the newest field tells the length of the body
};

} // namespace banyanledge
