// Files of the data folder: durable writes and checksummed frames.
//
// A frame is a 16-byte header (magic, payload length, CRC of the payload, CRC of the header; little-endian) and the
// payload. A log frame is what one sync makes durable, so a later frame in a file proves that the earlier ones were.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace banyanledge
{

constexpr std::size_t frameHeaderSize = 16;

std::string encodeFrame(std::string_view payload);

enum class FrameState {
    Whole,
    End, // no more bytes
    Torn, // the last write of the file was not finished
    Damaged, // bytes that were synced have changed
};

struct Frame
{
    FrameState state = FrameState::End;
    std::string_view payload;
    std::size_t next = 0; // offset after the frame
};

// Reads the frame at an offset of a file's content.
Frame decodeFrame(std::string_view data, std::size_t offset);

// Content of a file; nullopt with lastError() when it cannot be read.
std::optional<std::string> readFile(const std::string &path);

// Writes all bytes at an offset; false with lastError() naming the file and the remedy.
bool writeAt(int descriptor, std::string_view data, std::uint64_t offset, const std::string &path);

// Syncs a descriptor, or the entries of a folder after files were created, renamed or removed.
bool syncDescriptor(int descriptor, const std::string &path);
bool syncFolder(const std::string &folder);

// Stores ERROR_IO with the system's reason and a remedy, and returns false.
bool failIo(const std::string &action, const std::string &path);

// Stores ERROR_CORRUPT with file, offset and remedy, and returns nullopt.
std::nullopt_t failDamaged(const std::string &path, std::uint64_t offset, const std::string &what);

} // namespace banyanledge
