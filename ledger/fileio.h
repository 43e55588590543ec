// File access for the data folder: durable writes and checksummed frames.
//
// A frame is a 16-byte header (magic, payload length, CRC-32 of the payload, CRC-32 of the header; little-endian)
// followed by the payload. Each frame of a log file is synced before the next one is written, so a valid frame proves
// that all frames before it were synced.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace banyanledge
{

// Size of a frame's header in bytes.
constexpr std::size_t frameHeaderSize = 16;

// Returns the frame that holds a payload: header and payload.
std::string encodeFrame(std::string_view payload);

// Result of decoding a frame.
enum class FrameState {
    Valid, // header and payload match their checksums
    End, // the offset is the end of the file
    Torn, // the last write to the file was interrupted before its sync
    Corrupt, // data that had been synced is damaged
};

// A decoded frame. The payload points into the decoded data and is empty unless the state is Valid.
struct Frame
{
    FrameState state = FrameState::End;
    std::string_view payload;
    std::size_t nextOffset = 0; // offset of the byte after the frame; the given offset unless the state is Valid
};

// Decodes the frame at an offset in the content of a file. `offset` must not be after the end of `data`.
Frame decodeFrame(std::string_view data, std::size_t offset);

// Reads a whole file. Returns nullopt and sets lastError() when it cannot be read.
std::optional<std::string> readFile(const std::string &path);

// Writes all bytes at an offset. Returns false and sets lastError() on failure; `path` only names the file in the
// message.
bool writeAt(int descriptor, std::string_view data, std::uint64_t offset, const std::string &path);

// Syncs the data of an open file. Returns false and sets lastError() on failure.
bool syncDescriptor(int descriptor, const std::string &path);

// Syncs a folder's directory entries, as needed after files were created, renamed or removed. Returns false and sets
// lastError() on failure.
bool syncFolder(const std::string &folder);

// Sets lastError() to ERROR_IO with the text of errno and what to do about it. `action` is a verb such as "open".
// Returns false.
bool failIo(const std::string &action, const std::string &path);

// Sets lastError() to ERROR_CORRUPT with the file, the offset in bytes and what to do about it. In the message, "at
// offset N" follows `problem`. Returns nullopt.
std::nullopt_t failCorrupt(const std::string &path, std::uint64_t offset, const std::string &problem);

} // namespace banyanledge
