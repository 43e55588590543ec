#include "net/messagelines.h"

#include <algorithm>
#include <charconv>

#include "base/error.h"

namespace banyanledge
{

namespace
{

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isLetter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool isBlank(char character)
{
    return character == ' ' || character == '\t';
}

// Takes the text up to the next blank off `text` and returns it.
std::string_view takeWord(std::string_view &text)
{
    const std::string_view word = text.substr(0, text.find(' '));
    text.remove_prefix(word.size());
    return word;
}

void skipBlanks(std::string_view &text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
}

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n')) {
        line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
    }
    return line;
}

// Status of a word of exactly three digits; nullopt with lastError() otherwise, or when no response may have it.
std::optional<int> parseStatus(std::string_view word)
{
    constexpr std::size_t statusDigits = 3;
    int status = 0;
    if (word.size() == statusDigits && std::all_of(word.begin(), word.end(), isDigit)) {
        std::from_chars(word.data(), word.data() + word.size(), status);
    }
    if (!isValidStatus(status)) {
        return fail(proto::ERROR_INVALID, "the status is not a number from 100 to 599");
    }
    return status;
}

// Whether the word is "HTTP/1." and a digit.
bool isSupportedVersion(std::string_view word)
{
    constexpr std::string_view prefix = "HTTP/1.";
    return word.size() == prefix.size() + 1 && word.starts_with(prefix) && isDigit(word.back());
}

// Status of "HTTP/1.1 STATUS REASON"; nullopt with lastError() when the line is not valid.
std::optional<int> parseStatusLine(std::string_view line)
{
    if (!isSupportedVersion(takeWord(line))) {
        return fail(proto::ERROR_INVALID, "the status line does not begin with HTTP/1.x");
    }
    skipBlanks(line);
    const auto status = parseStatus(takeWord(line));
    if (status && !isFieldText(line)) {
        return fail(proto::ERROR_INVALID, "the status line holds a control character");
    }
    return status;
}

// The number that the whole text is, in decimal digits.
std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    return error == std::errc() && end == last ? std::optional(number) : std::nullopt;
}

// The element of a comma-separated list whose other elements are empty; an empty text if there is no such element.
std::string_view onlyElement(std::string_view list)
{
    std::string_view only;
    while (!list.empty()) {
        const auto comma = list.find(',');
        const std::string_view element = trimmed(list.substr(0, comma));
        if (!element.empty() && !only.empty()) {
            return {};
        }
        only = element.empty() ? only : element;
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return only;
}

std::nullopt_t failLength()
{
    return fail(proto::ERROR_INVALID, "the length of the body is ambiguous");
}

std::nullopt_t failValue()
{
    return fail(proto::ERROR_INVALID, "the value of a header holds a control character");
}

// Name and value of "NAME: VALUE"; nullopt with lastError() when they are not valid. A name with a blank before its
// colon is not valid, because other readers would take it without the blank.
std::optional<FieldLine> parseFieldLine(std::string_view line)
{
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !isToken(name)) {
        return fail(proto::ERROR_INVALID, "the name of a header is not a token");
    }
    const std::string_view value = line.substr(colon + 1);
    if (!isFieldText(value)) {
        return failValue();
    }
    return FieldLine{name, trimmed(value)};
}

} // namespace

bool isValidStatus(int status)
{
    return status >= 100 && status <= 599;
}

bool isBodylessStatus(int status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool isToken(std::string_view text)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [symbols](char character) {
        return isLetter(character) || isDigit(character) || symbols.find(character) != std::string_view::npos;
    });
}

bool isFieldText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return (code < 0x20 && character != '\t') || code == 0x7f;
    });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && isBlank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isBlank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

bool checkLineEnds(std::string_view text)
{
    const auto position = text.find('\r');
    if (position == std::string_view::npos || position + 1 == text.size() || text[position + 1] == '\n') {
        return true;
    }
    fail(proto::ERROR_INVALID, "a CR is not followed by LF");
    return false;
}

std::optional<std::uint64_t> parseChunkSize(std::string_view line)
{
    constexpr int hexadecimal = 16;
    std::uint64_t size = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), size, hexadecimal);
    if (error != std::errc() || !line.ends_with(lineEnd)) {
        return fail(proto::ERROR_INVALID, "a line that has to be the size of a chunk is not valid");
    }
    line.remove_prefix(static_cast<std::size_t>(end - line.data()));
    const std::string_view extensions = trimmed(withoutLineEnd(line));
    if (!isFieldText(extensions) || (!extensions.empty() && extensions.front() != ';')) {
        return fail(proto::ERROR_INVALID, "the extension of a chunk is not valid");
    }
    return size;
}

MessageLines::MessageLines(MessageKind kind)
    : m_kind(kind)
{
}

const BodyFraming &MessageLines::bodyFraming() const
{
    return m_bodyFraming;
}

std::optional<MessageLine> MessageLines::read(std::string_view line)
{
    if (!checkLineEnds(line)) {
        return std::nullopt;
    }
    const std::string_view text = withoutLineEnd(line);
    if (m_section == Section::None) {
        return readStartLine(text);
    }
    if (text.empty()) {
        return readSectionEnd();
    }
    return m_hasField && isBlank(text.front()) ? readContinuation(text) : readField(text);
}

std::optional<MessageLine> MessageLines::readStartLine(std::string_view line)
{
    if (line.empty()) {
        return EmptyLine();
    }
    m_bodyFraming = {};
    m_section = Section::Head;
    if (m_kind == MessageKind::Request) {
        return StartLine();
    }
    const auto status = parseStatusLine(line);
    if (!status) {
        return std::nullopt;
    }
    m_section = *status / 100 == 1 ? Section::InterimHead : Section::Head;
    return StartLine{*status};
}

std::optional<MessageLine> MessageLines::readSectionEnd()
{
    if (m_bodyFraming.length && m_bodyFraming.chunked) {
        return failLength();
    }
    m_hasField = false;
    m_section = m_section == Section::InterimHead ? Section::None : Section::Trailers;
    return SectionEnd();
}

std::optional<MessageLine> MessageLines::readContinuation(std::string_view line) const
{
    if (m_framesBody) {
        return failLength();
    }
    return isFieldText(line) ? std::optional<MessageLine>(FieldContinuation()) : failValue();
}

std::optional<MessageLine> MessageLines::readField(std::string_view line)
{
    const auto field = parseFieldLine(line);
    m_hasField = true;
    m_framesBody = false;
    if (!field || (m_section != Section::Trailers && !readBodyFraming(*field))) {
        return std::nullopt;
    }
    return *field;
}

// Takes what the field says of the length of the body; false with lastError() if this is not clear.
bool MessageLines::readBodyFraming(const FieldLine &field)
{
    const bool isLength = equalsIgnoreCase(field.name, lengthField);
    const bool isCoding = equalsIgnoreCase(field.name, codingField);
    m_framesBody = isLength || isCoding;
    return isLength ? readLength(field.value) : !isCoding || readCoding(field.value);
}

bool MessageLines::readLength(std::string_view value)
{
    const auto length = parseNumber(value);
    if (!length || m_bodyFraming.length.value_or(*length) != *length) {
        failLength();
        return false;
    }
    m_bodyFraming.length = length;
    return true;
}

// Another coding than chunked, once, is not supported. In a request it must stand alone, because a proxy before this
// one may not know empty list elements and see another length.
bool MessageLines::readCoding(std::string_view value)
{
    const std::string_view coding = m_kind == MessageKind::Response ? onlyElement(value) : value;
    if (m_bodyFraming.chunked || !equalsIgnoreCase(coding, "chunked")) {
        fail(proto::ERROR_INVALID, "the transfer coding is not chunked alone");
        return false;
    }
    m_bodyFraming.chunked = true;
    return true;
}

} // namespace banyanledge
