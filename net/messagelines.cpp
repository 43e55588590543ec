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

// Text after the leading characters up to the next blank, which it takes off `text`.
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

// Status of "HTTP/1.1 STATUS REASON"; nullopt with lastError() when it is not valid.
std::optional<int> parseStatusLine(std::string_view line)
{
    takeWord(line);
    skipBlanks(line);
    return parseStatus(takeWord(line));
}

} // namespace

bool isValidStatus(int status)
{
    return status >= 100 && status <= 599;
}

MessageLines::MessageLines(Kind kind)
    : m_kind(kind)
{
}

std::optional<MessageLine> MessageLines::read(std::string_view line)
{
    const std::string_view text = withoutLineEnd(line);
    if (m_started) {
        return text.empty() ? MessageLine(SectionEnd()) : MessageLine(FieldLine());
    }
    if (text.empty()) {
        return EmptyLine();
    }
    m_started = true;
    if (m_kind == Kind::Request) {
        return StartLine();
    }
    const auto status = parseStatusLine(text);
    return status ? std::optional<MessageLine>(StartLine{*status}) : std::nullopt;
}

} // namespace banyanledge
