// Checks the framing of an HTTP/1.1 message before a parser reads it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/messagelines.h"

namespace banyanledge
{

// Checks one message whose bytes arrive in pieces. A message has parts: its head, and either a body in one piece, or
// chunks, of which each has three parts, and trailers.
class FramingCheck
{
public:
    explicit FramingCheck(MessageKind kind);

    // Checks the chunks and trailers after a head that `headLines` has read.
    explicit FramingCheck(const MessageLines &headLines);

    // Checks bytes up to the end of the present part and returns them as a parser is to read them: as they are, but
    // with spaces for tabs and empty list elements in fields that http_parser interprets, because it takes them for
    // part of the value. nullopt with lastError() if the bytes are not valid. The text is valid until the next call.
    std::optional<std::string_view> take(std::string_view bytes);

    // Whether the empty line after the head was taken.
    bool headEnded() const;

    // Whether the head that was taken announces chunks.
    bool isChunked() const;

    // Whether the next bytes are data of a chunk.
    bool isInChunkData() const;

    // Whether the chunks and the trailers after them were taken.
    bool chunksEnded() const;

    // Memory that is in use between calls.
    std::size_t memoryBytes() const;

private:
    enum class Part { Head, Body, ChunkSize, ChunkData, ChunkEnd, Trailers };

    std::size_t takeData(std::string_view bytes);
    std::optional<std::size_t> takeLine(std::string_view bytes, std::size_t begin);
    void simplifyField(std::string_view line, std::string_view bytes, std::size_t begin, std::size_t size);
    bool checkPartialLine(std::size_t checkedBytes) const;
    bool checkLine(std::string_view line);

    Part m_part = Part::Head;
    MessageLines m_lines;
    std::string m_partialLine; // start of a line whose end has not arrived
    std::string m_simplified; // text for the parser; empty if it is to read the bytes as they are
    std::uint64_t m_chunkBytes = 0; // of the present chunk, not taken yet
};

} // namespace banyanledge
