#include "net/framingcheck.h"

#include <algorithm>

namespace banyanledge
{

FramingCheck::FramingCheck(MessageKind kind)
    : m_lines(kind)
{
}

std::optional<std::size_t> FramingCheck::take(std::string_view bytes)
{
    if (m_part == Part::Body) {
        return bytes.size();
    }
    const Part part = m_part;
    std::size_t taken = 0;
    while (taken < bytes.size() && m_part == part) {
        const auto lineBytes = takeLine(bytes.substr(taken));
        if (!lineBytes) {
            return std::nullopt;
        }
        taken += *lineBytes;
    }
    return taken;
}

// Takes bytes up to the end of a line. The line ends of a part of a line are checked at once, because the sender of a
// CR without LF may wait for an answer.
std::optional<std::size_t> FramingCheck::takeLine(std::string_view bytes)
{
    const auto lineEnd = bytes.find('\n');
    if (lineEnd == std::string_view::npos) {
        const std::size_t checkedBytes = m_partialLine.empty() ? 0 : m_partialLine.size() - 1;
        m_partialLine += bytes;
        return checkLineEnds(std::string_view(m_partialLine).substr(checkedBytes)) ? std::optional(bytes.size())
                                                                                   : std::nullopt;
    }
    const std::string_view piece = bytes.substr(0, lineEnd + 1);
    const bool isValid = checkLine(m_partialLine.empty() ? piece : m_partialLine.append(piece));
    m_partialLine = {};
    return isValid ? std::optional(piece.size()) : std::nullopt;
}

// Checks a whole line and goes on to the next part if it ends the present one; false with lastError().
bool FramingCheck::checkLine(std::string_view line)
{
    const auto read = m_lines.read(line);
    if (read && std::holds_alternative<SectionEnd>(*read)) {
        m_part = Part::Body;
    }
    return read.has_value();
}

bool FramingCheck::headEnded() const
{
    return m_part != Part::Head;
}

std::size_t FramingCheck::memoryBytes() const
{
    return m_partialLine.capacity();
}

} // namespace banyanledge
