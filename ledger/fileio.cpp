#include "ledger/fileio.h"

#include <fcntl.h>
#include <unistd.h>
#include <zlib.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace banyanledge
{

namespace
{

constexpr std::uint32_t frameMagic = 0x31464c42; // "BLF1"

// Size in bytes of the unit in which disks write. An interrupted write can leave whole sectors filled with zeros.
constexpr std::size_t sectorSize = 512;

// Minimum number of zero bytes that counts as an unwritten sector. Fewer could be the result of damage.
constexpr std::size_t minZeroRun = 8;

std::uint32_t checksum(std::string_view data)
{
    const auto *bytes = reinterpret_cast<const Bytef *>(data.data());
    return static_cast<std::uint32_t>(crc32_z(0, bytes, data.size()));
}

void appendUint32(std::string &text, std::uint32_t value)
{
    for (unsigned shift = 0; shift < 32; shift += 8) {
        text += static_cast<char>((value >> shift) & 0xff);
    }
}

std::uint32_t readUint32(std::string_view data, std::size_t offset)
{
    std::uint32_t value = 0;
    for (unsigned i = 0; i < 4; ++i) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(data[offset + i])) << (8 * i);
    }
    return value;
}

bool hasValidHeader(std::string_view data, std::size_t offset)
{
    return data.size() - offset >= frameHeaderSize && readUint32(data, offset) == frameMagic
        && readUint32(data, offset + 12) == checksum(data.substr(offset, 12));
}

bool allZeros(std::string_view data)
{
    return std::all_of(data.begin(), data.end(), [](char c) { return c == 0; });
}

// Returns true if a sector in the range from `first` to `last` was never written, that is, if all its bytes in the
// range are zeros.
bool hasUnwrittenSector(std::string_view data, std::size_t first, std::size_t last)
{
    for (auto start = first; start < last; start = (start / sectorSize + 1) * sectorSize) {
        const auto end = std::min((start / sectorSize + 1) * sectorSize, last);
        if (end - start >= minZeroRun && allZeros(data.substr(start, end - start))) {
            return true;
        }
    }
    return false;
}

// Returns true if a valid frame header starts anywhere after an offset.
bool hasLaterHeader(std::string_view data, std::size_t offset)
{
    for (auto at = offset + 1; at + frameHeaderSize <= data.size(); ++at) {
        if (hasValidHeader(data, at)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string encodeFrame(std::string_view payload)
{
    std::string frame;
    frame.reserve(frameHeaderSize + payload.size());
    appendUint32(frame, frameMagic);
    appendUint32(frame, static_cast<std::uint32_t>(payload.size()));
    appendUint32(frame, checksum(payload));
    appendUint32(frame, checksum(frame));
    frame.append(payload);
    return frame;
}

Frame decodeFrame(std::string_view data, std::size_t offset)
{
    const auto remaining = data.size() - offset;
    if (remaining == 0) {
        return {FrameState::End, {}, offset};
    }
    if (remaining < frameHeaderSize) {
        return {FrameState::Torn, {}, offset};
    }
    if (!hasValidHeader(data, offset)) {
        // After an interrupted write no later frame exists, so a valid header after this one proves damage.
        const auto headerEnd = std::min(data.size(), offset + sectorSize);
        const bool torn = hasUnwrittenSector(data, offset, headerEnd) && !hasLaterHeader(data, offset);
        return {torn ? FrameState::Torn : FrameState::Corrupt, {}, offset};
    }
    const std::size_t length = readUint32(data, offset + 4);
    const auto end = offset + frameHeaderSize + length;
    if (end > data.size()) {
        // The length is covered by the checksum of the header, so the file ends within the payload.
        return {FrameState::Torn, {}, offset};
    }
    const auto payload = data.substr(offset + frameHeaderSize, length);
    if (readUint32(data, offset + 8) != checksum(payload)) {
        const bool torn = end == data.size() && hasUnwrittenSector(data, offset, end);
        return {torn ? FrameState::Torn : FrameState::Corrupt, {}, offset};
    }
    return {FrameState::Valid, payload, end};
}

bool failIo(const std::string &action, const std::string &path)
{
    const int code = errno;
    std::string remedy = "check the folder's owner and permissions and the disk";
    if (code == ENOSPC || code == EDQUOT || code == EFBIG) {
        remedy = "the disk is full; free space on it, no acknowledged write was lost";
    }
    fail(proto::ERROR_IO, "cannot " + action + " " + path + ": " + std::strerror(code) + "; " + remedy);
    return false;
}

std::nullopt_t failCorrupt(const std::string &path, std::uint64_t offset, const std::string &problem)
{
    return fail(
        proto::ERROR_CORRUPT,
        path + ": " + problem + " at offset " + std::to_string(offset)
            + "; restore the damaged or missing file from a backup, or move the data folder away and start with join = "
              "true, so that this host joins again as a new member");
}

std::optional<std::string> readFile(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        failIo("open", path);
        return std::nullopt;
    }
    std::string content;
    std::array<char, 1 << 16> buffer{};
    ssize_t count = 0;
    while ((count = ::read(descriptor, buffer.data(), buffer.size())) > 0 || (count < 0 && errno == EINTR)) {
        content.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    const bool complete = count == 0 || failIo("read", path);
    ::close(descriptor);
    return complete ? std::optional(std::move(content)) : std::nullopt;
}

bool writeAt(int descriptor, std::string_view data, std::uint64_t offset, const std::string &path)
{
    while (!data.empty()) {
        const auto count = ::pwrite(descriptor, data.data(), data.size(), static_cast<off_t>(offset));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return failIo("write", path);
        }
        data.remove_prefix(static_cast<std::size_t>(count));
        offset += static_cast<std::uint64_t>(count);
    }
    return true;
}

bool syncDescriptor(int descriptor, const std::string &path)
{
    return ::fdatasync(descriptor) == 0 || failIo("sync", path);
}

bool syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return failIo("open", folder);
    }
    const bool complete = ::fsync(descriptor) == 0 || failIo("sync", folder);
    ::close(descriptor);
    return complete;
}

} // namespace banyanledge
