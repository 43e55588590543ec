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

// Largest line of chunks and trailers, which is kept until its end has arrived.
constexpr std::size_t maxChunkLineBytes = 65536;

// Separators that http_parser takes for part of the value of a field that it interprets; none for another field.
std::string_view misreadSeparators(std::string_view name)
{
    if (equalsIgnoreCase(name, codingField)) {
        return "\t,";
    }
    return equalsIgnoreCase(name, lengthField) || equalsIgnoreCase(name, "Connection") ? "\t" : "";
}

} // namespace

FramingCheck::FramingCheck(MessageKind kind)
    : m_lines(kind)
{
}

FramingCheck::FramingCheck(const MessageLines &headLines)
    : m_part(Part::ChunkSize)
    , m_lines(headLines)
{
}

std::optional<std::string_view> FramingCheck::take(std::string_view bytes)
{
    m_simplified = {};
    if (m_part == Part::Body) {
        return bytes;
    }
    if (m_part == Part::ChunkData) {
        return bytes.substr(0, takeData(bytes));
    }
    const Part part = m_part;
    std::size_t taken = 0;
    while (taken < bytes.size() && m_part == part) {
        const auto lineBytes = takeLine(bytes, taken);
        if (!lineBytes) {
            return std::nullopt;
        }
        taken += *lineBytes;
    }
    return (m_simplified.empty() ? bytes : m_simplified).substr(0, taken);
}

std::size_t FramingCheck::takeData(std::string_view bytes)
{
    const std::size_t taken = std::min<std::uint64_t>(m_chunkBytes, bytes.size());
    m_chunkBytes -= taken;
    m_part = m_chunkBytes == 0 ? Part::ChunkEnd : Part::ChunkData;
    return taken;
}

// Takes bytes from `begin` up to the end of a line and returns how many.
std::optional<std::size_t> FramingCheck::takeLine(std::string_view bytes, std::size_t begin)
{
    const auto position = bytes.find('\n', begin);
    const bool isWhole = position != std::string_view::npos;
    const std::string_view piece = bytes.substr(begin, isWhole ? position + 1 - begin : position);
    const std::string_view line = isWhole && m_partialLine.empty() ? piece : m_partialLine.append(piece);
    const bool isInHead = m_part == Part::Head;
    if (!isInHead && line.size() > maxChunkLineBytes) {
        return fail(proto::ERROR_INVALID, "a line of the chunks or trailers is too long");
    }
    if (!(isWhole ? checkLine(line) : checkPartialLine(line.size() - piece.size()))) {
        return std::nullopt;
    }
    if (isInHead) {
        simplifyField(line, bytes, begin, piece.size());
    }
    if (isWhole) {
        m_partialLine = {};
    }
    return piece.size();
}

// Writes spaces over what http_parser would misread in the piece at `begin`, the newest one of its line.
void FramingCheck::simplifyField(std::string_view line, std::string_view bytes, std::size_t begin, std::size_t size)
{
    const std::string_view separators = misreadSeparators(line.substr(0, line.find(':')));
    const std::string_view piece = bytes.substr(begin, size);
    const auto isInPiece = [piece](char separator) { return piece.find(separator) != std::string_view::npos; };
    if (std::none_of(separators.begin(), separators.end(), isInPiece)) {
        return;
    }
    if (m_simplified.empty()) {
        m_simplified = bytes;
    }
    for (std::size_t i = begin; i < begin + size; ++i) {
        m_simplified[i] = separators.find(bytes[i]) == std::string_view::npos ? bytes[i] : ' ';
    }
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

bool FramingCheck::isInChunkData() const
{
    return m_part == Part::ChunkData;
}

bool FramingCheck::chunksEnded() const
{
    return isChunked() && m_part == Part::Body;
}

std::size_t FramingCheck::memoryBytes() const
{
    return m_partialLine.capacity() + m_simplified.capacity();
}

} // namespace banyanledge
