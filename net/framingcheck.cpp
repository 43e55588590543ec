#include "net/framingcheck.h"

#include <algorithm>

#include "base/error.h"

namespace banyanledge
{

namespace
{

bool failChunkEnd()
{
    fail(proto::ERROR_INVALID, "no line end follows the data of a chunk");
    return false;
}

} // namespace

FramingCheck::FramingCheck(MessageKind kind)
    : m_lines(kind)
{
}

std::optional<std::size_t> FramingCheck::take(std::string_view bytes)
{
    if (m_part == Part::Body) {
        return bytes.size();
    }
    if (m_part == Part::ChunkData) {
        return takeData(bytes);
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

std::size_t FramingCheck::takeData(std::string_view bytes)
{
    const std::size_t taken = std::min<std::uint64_t>(m_chunkBytes, bytes.size());
    m_chunkBytes -= taken;
    m_part = m_chunkBytes == 0 ? Part::ChunkEnd : Part::ChunkData;
    return taken;
}

// Takes bytes up to the end of a line.
std::optional<std::size_t> FramingCheck::takeLine(std::string_view bytes)
{
    const auto position = bytes.find('\n');
    if (position == std::string_view::npos) {
        const std::size_t checkedBytes = m_partialLine.size();
        m_partialLine += bytes;
        return checkPartialLine(checkedBytes) ? std::optional(bytes.size()) : std::nullopt;
    }
    const std::string_view piece = bytes.substr(0, position + 1);
    const bool isValid = checkLine(m_partialLine.empty() ? piece : m_partialLine.append(piece));
    m_partialLine = {};
    return isValid ? std::optional(piece.size()) : std::nullopt;
}

// Checks what has arrived of a line, because a sender that does not end it as it should may wait for an answer; false
// with lastError().
bool FramingCheck::checkPartialLine(std::size_t checkedBytes) const
{
    if (m_part == Part::ChunkEnd) {
        return lineEnd.starts_with(m_partialLine) || failChunkEnd();
    }
    return checkLineEnds(std::string_view(m_partialLine).substr(checkedBytes > 0 ? checkedBytes - 1 : 0));
}

// Checks a whole line and goes on to the next part if it ends the present one; false with lastError().
bool FramingCheck::checkLine(std::string_view line)
{
    if (m_part == Part::ChunkSize) {
        const auto size = parseChunkSize(line);
        m_chunkBytes = size.value_or(0);
        m_part = m_chunkBytes == 0 ? Part::Trailers : Part::ChunkData;
        return size.has_value();
    }
    if (m_part == Part::ChunkEnd) {
        m_part = Part::ChunkSize;
        return line == lineEnd || failChunkEnd();
    }
    const auto read = m_lines.read(line);
    if (read && std::holds_alternative<SectionEnd>(*read)) {
        const bool chunksFollow = m_part == Part::Head && isChunked();
        m_part = chunksFollow ? Part::ChunkSize : Part::Body;
    }
    return read.has_value();
}

bool FramingCheck::headEnded() const
{
    return m_part != Part::Head;
}

bool FramingCheck::isChunked() const
{
    return m_lines.bodyFraming().chunked;
}

std::size_t FramingCheck::memoryBytes() const
{
    return m_partialLine.capacity();
}

} // namespace banyanledge
