#include "ledger/snapshotfile.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <vector>

#include "base/log.h"
#include "ledger/fileio.h"

namespace banyanledge
{

namespace
{

constexpr std::string_view prefix = "snapshot-";
constexpr std::string_view suffix = ".snap";
constexpr std::string_view temporarySuffix = ".tmp";

// Maximum payload of a frame in bytes. Damage is reported with the offset of the frame, so this is also the accuracy of
// that offset.
constexpr std::size_t chunkBytes = 256 << 10;

std::string snapshotName(std::uint64_t index)
{
    char name[32];
    std::snprintf(name, sizeof(name), "%016llx", static_cast<unsigned long long>(index));
    return std::string(prefix) + name + std::string(suffix);
}

std::vector<std::string> snapshotFileNames(const std::string &folder)
{
    std::vector<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        const auto name = entry.path().filename().string();
        if (name.starts_with(prefix) && name.ends_with(suffix)) {
            names.push_back(name);
        }
    }
    return names;
}

// Encodes a snapshot as a sequence of frames. An empty frame marks the end.
std::string encodeSnapshot(const proto::LogSnapshot &snapshot)
{
    const auto content = snapshot.SerializeAsString();
    std::string data;
    data.reserve(content.size() + (content.size() / chunkBytes + 2) * frameHeaderSize);
    for (std::size_t at = 0; at < content.size(); at += chunkBytes) {
        data += encodeFrame(std::string_view(content).substr(at, chunkBytes));
    }
    return data + encodeFrame({});
}

bool writeTemporary(const std::string &path, const std::string &data)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0) {
        return failIo("create", path);
    }
    const bool written = writeAt(descriptor, data, 0, path) && syncDescriptor(descriptor, path);
    ::close(descriptor);
    if (!written) {
        ::unlink(path.c_str());
    }
    return written;
}

} // namespace

bool writeSnapshot(const std::string &folder, const proto::LogSnapshot &snapshot)
{
    const auto name = snapshotName(snapshot.last_index());
    const auto path = folder + "/" + name;
    const auto temporary = path + std::string(temporarySuffix);
    if (!writeTemporary(temporary, encodeSnapshot(snapshot))) {
        return false;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        return failIo("rename", temporary);
    }
    if (!syncFolder(folder)) {
        return false;
    }
    for (const auto &other : snapshotFileNames(folder)) {
        const auto oldPath = std::filesystem::path(folder) / other;
        if (other < name && ::unlink(oldPath.c_str()) != 0) {
            logWarning("cannot remove an old snapshot file; check the folder's permissions and remove the file",
                       {{"file", oldPath.string()}});
        }
    }
    return true;
}

std::optional<std::string> newestSnapshot(const std::string &folder)
{
    const auto names = snapshotFileNames(folder);
    if (names.empty()) {
        return std::nullopt;
    }
    return folder + "/" + *std::max_element(names.begin(), names.end());
}

std::optional<proto::LogSnapshot> readSnapshot(const std::string &path)
{
    const auto data = readFile(path);
    if (!data) {
        return std::nullopt;
    }
    std::string content;
    std::size_t offset = 0;
    for (;;) {
        const auto frame = decodeFrame(*data, offset);
        if (frame.state != FrameState::Valid) {
            return failCorrupt(path, offset, "damaged or incomplete snapshot");
        }
        offset = frame.nextOffset;
        if (frame.payload.empty()) {
            break;
        }
        content.append(frame.payload);
    }
    proto::LogSnapshot snapshot;
    if (offset != data->size() || !snapshot.ParseFromString(content)) {
        return failCorrupt(path, offset, "snapshot in an unknown format");
    }
    return snapshot;
}

void removeTemporaryFiles(const std::string &folder)
{
    std::vector<std::string> found;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == temporarySuffix) {
            found.push_back(entry.path().string());
        }
    }
    for (const auto &path : found) {
        ::unlink(path.c_str());
    }
}

} // namespace banyanledge
