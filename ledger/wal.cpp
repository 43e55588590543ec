#include "ledger/wal.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <filesystem>

#include "base/log.h"
#include "ledger/fileio.h"

namespace banyanledge
{

namespace
{

constexpr std::string_view prefix = "log-";
constexpr std::string_view suffix = ".seg";

std::string segmentPath(const std::string &folder, std::uint64_t number)
{
    char name[32];
    std::snprintf(name, sizeof(name), "%016llx", static_cast<unsigned long long>(number));
    return folder + "/" + std::string(prefix) + name + std::string(suffix);
}

std::optional<std::uint64_t> segmentNumber(const std::string &name)
{
    std::uint64_t number = 0;
    if (!name.starts_with(prefix) || !name.ends_with(suffix)) {
        return std::nullopt;
    }
    const char *begin = name.data() + prefix.size();
    const char *end = name.data() + name.size() - suffix.size();
    const auto [parsedEnd, code] = std::from_chars(begin, end, number, 16);
    return code == std::errc() && parsedEnd == end ? std::optional(number) : std::nullopt;
}

} // namespace

Wal::Wal(std::string folder)
    : m_folder(std::move(folder))
{
}

Wal::Wal(Wal &&other) noexcept
    : m_folder(std::move(other.m_folder))
    , m_segments(std::move(other.m_segments))
    , m_state(std::move(other.m_state))
    , m_lastIndex(other.m_lastIndex)
    , m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_tailDirty(other.m_tailDirty)
{
}

Wal &Wal::operator=(Wal &&other) noexcept
{
    std::swap(m_folder, other.m_folder);
    std::swap(m_segments, other.m_segments);
    std::swap(m_state, other.m_state);
    std::swap(m_lastIndex, other.m_lastIndex);
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_tailDirty, other.m_tailDirty);
    return *this;
}

Wal::~Wal()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

std::vector<Wal::Segment> Wal::listSegments(const std::string &folder)
{
    std::vector<Segment> segments;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (const auto number = segmentNumber(entry.path().filename().string())) {
            segments.push_back({*number, entry.path().string(), 0, 0});
        }
    }
    std::sort(segments.begin(), segments.end(), [](const auto &a, const auto &b) { return a.number < b.number; });
    return segments;
}

bool Wal::exists(const std::string &folder)
{
    return !listSegments(folder).empty();
}

std::optional<Wal> Wal::open(const std::string &folder, const proto::HardState &initialState, RecoveredLog &recovered)
{
    Wal wal(folder);
    wal.m_segments = listSegments(folder);
    if (!wal.readSegments(recovered)) {
        return std::nullopt;
    }
    if (wal.m_segments.empty()) {
        recovered.state = initialState;
        wal.m_state = initialState;
        return wal.createSegment(1, 0, false) ? std::optional(std::move(wal)) : std::nullopt;
    }
    wal.m_state = recovered.state;
    wal.m_lastIndex = recovered.entries.empty() ? recovered.firstIndex - 1 : recovered.entries.back().index();
    return wal.openLastSegment() ? std::optional(std::move(wal)) : std::nullopt;
}

bool Wal::readSegments(RecoveredLog &recovered)
{
    // readSegment() removes an incomplete last segment from the list, so the size is read in each iteration.
    for (std::size_t position = 0; position < m_segments.size(); ++position) {
        if (!readSegment(position, recovered)) {
            return false;
        }
    }
    return true;
}

bool Wal::readSegment(std::size_t position, RecoveredLog &recovered)
{
    auto &segment = m_segments[position];
    const bool isLast = position + 1 == m_segments.size();
    const auto data = readFile(segment.path);
    if (!data) {
        return false;
    }
    std::size_t offset = 0;
    for (;;) {
        const auto frame = decodeFrame(*data, offset);
        if (frame.state == FrameState::Corrupt || (frame.state == FrameState::Torn && !isLast)) {
            failCorrupt(segment.path, offset, "damaged record");
            return false;
        }
        if (frame.state != FrameState::Valid) {
            break;
        }
        proto::LogFrame record;
        if (!record.ParseFromArray(frame.payload.data(), static_cast<int>(frame.payload.size()))) {
            failCorrupt(segment.path, offset, "record in an unknown format");
            return false;
        }
        if (!applyFrame(segment, record, offset == 0, recovered, offset)) {
            return false;
        }
        offset = frame.nextOffset;
    }
    segment.size = offset;
    if (offset == 0) {
        return isLast ? removeIncompleteSegment() : (failCorrupt(segment.path, 0, "missing first record"), false);
    }
    if (offset < data->size()) {
        logWarning("removed an incomplete last write from a log file",
                   {{"file", segment.path},
                    {"offset", std::to_string(offset)},
                    {"bytes", std::to_string(data->size() - offset)}});
        if (::truncate(segment.path.c_str(), static_cast<off_t>(offset)) != 0) {
            return failIo("truncate", segment.path);
        }
    }
    return true;
}

bool Wal::applyFrame(Segment &segment, const proto::LogFrame &frame, bool first, RecoveredLog &recovered,
                     std::uint64_t offset)
{
    if (first) {
        const auto position = static_cast<std::size_t>(&segment - m_segments.data());
        const auto *previous = position > 0 ? &m_segments[position - 1] : nullptr;
        if (frame.segment() != segment.number) {
            failCorrupt(segment.path, offset, "wrong segment number in the first record");
            return false;
        }
        if (previous != nullptr && previous->number + 1 != segment.number) {
            failCorrupt(segment.path, offset, "the log file before this one is missing; gap in the log");
            return false;
        }
        if (previous != nullptr && previous->size != frame.previous_size()) {
            failCorrupt(previous->path, previous->size, "synced records are missing");
            return false;
        }
        if (frame.reset()) {
            recovered.entries.clear();
        }
        if (previous == nullptr || frame.reset()) {
            recovered.firstIndex = frame.first_index();
        }
    }
    if (frame.has_state()) {
        recovered.state = frame.state();
    }
    auto &entries = recovered.entries;
    for (const auto &entry : frame.entries()) {
        if (!entries.empty() && entry.index() > entries.back().index() + 1) {
            failCorrupt(segment.path, offset, "missing entries before the record");
            return false;
        }
        if (!entries.empty() && entry.index() <= entries.back().index()) {
            const auto firstIndex = entries.front().index();
            entries.resize(entry.index() > firstIndex ? entry.index() - firstIndex : 0);
        }
        entries.push_back(entry);
        segment.lastIndex = std::max(segment.lastIndex, entry.index());
    }
    return true;
}

// The process stopped while it created a segment without a complete first record, so no entry was stored in it.
bool Wal::removeIncompleteSegment()
{
    const auto path = m_segments.back().path;
    m_segments.pop_back();
    logWarning("removed an incomplete log file", {{"file", path}});
    if (::unlink(path.c_str()) != 0) {
        return failIo("remove", path);
    }
    return syncFolder(m_folder);
}

bool Wal::openLastSegment()
{
    const auto &segment = m_segments.back();
    const int descriptor = ::open(segment.path.c_str(), O_WRONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return failIo("open", segment.path);
    }
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
    m_descriptor = descriptor;
    // The data read may be unsynced, if the process stopped between a write and its sync.
    return ::fsync(descriptor) == 0 || failIo("sync", segment.path);
}

bool Wal::createSegment(std::uint64_t number, std::uint64_t previousSize, bool reset)
{
    Segment segment{number, segmentPath(m_folder, number), 0, 0};
    proto::LogFrame first;
    *first.mutable_state() = m_state;
    first.set_segment(number);
    first.set_previous_size(previousSize);
    first.set_first_index(m_lastIndex + 1);
    first.set_reset(reset);
    const auto frame = encodeFrame(first.SerializeAsString());
    const int descriptor = ::open(segment.path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0) {
        return failIo("create", segment.path);
    }
    if (!writeAt(descriptor, frame, 0, segment.path) || !syncDescriptor(descriptor, segment.path)
        || !syncFolder(m_folder)) {
        const Error error{lastError().kind, lastError().message};
        ::close(descriptor);
        ::unlink(segment.path.c_str());
        fail(error.kind, error.message);
        return false;
    }
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
    m_descriptor = descriptor;
    segment.size = frame.size();
    m_segments.push_back(std::move(segment));
    return true;
}

bool Wal::rotate(std::optional<std::uint64_t> snapshotIndex)
{
    const auto &last = m_segments.back();
    if (m_tailDirty && ::ftruncate(m_descriptor, static_cast<off_t>(last.size)) != 0) {
        return failIo("truncate", last.path);
    }
    m_tailDirty = false;
    const auto lastIndex = std::exchange(m_lastIndex, snapshotIndex.value_or(m_lastIndex));
    if (!createSegment(last.number + 1, last.size, snapshotIndex.has_value())) {
        m_lastIndex = lastIndex;
        return false;
    }
    return true;
}

bool Wal::append(const std::optional<proto::HardState> &state, const std::vector<proto::LogEntry> &entries)
{
    if (!state && entries.empty()) {
        return true;
    }
    if (m_segments.back().size >= segmentRotationBytes && !rotate()) {
        return false;
    }
    proto::LogFrame frame;
    if (state) {
        *frame.mutable_state() = *state;
    }
    for (const auto &entry : entries) {
        *frame.add_entries() = entry;
    }
    if (!writeFrame(frame)) {
        return false;
    }
    if (state) {
        m_state = *state;
    }
    if (!entries.empty()) {
        m_lastIndex = entries.back().index();
        m_segments.back().lastIndex = std::max(m_segments.back().lastIndex, m_lastIndex);
    }
    return true;
}

bool Wal::writeFrame(const proto::LogFrame &frame)
{
    auto &segment = m_segments.back();
    const auto size = static_cast<off_t>(segment.size);
    if (m_tailDirty && ::ftruncate(m_descriptor, size) != 0) {
        return failIo("truncate", segment.path);
    }
    m_tailDirty = true;
    const auto data = encodeFrame(frame.SerializeAsString());
    if (writeAt(m_descriptor, data, segment.size, segment.path) && syncDescriptor(m_descriptor, segment.path)) {
        segment.size += data.size();
        m_tailDirty = false;
        return true;
    }
    const Error error{lastError().kind, lastError().message};
    // Bytes after the last synced frame must not be read as a record. If truncating fails, the next append retries it.
    m_tailDirty = ::ftruncate(m_descriptor, size) != 0 || ::fdatasync(m_descriptor) != 0;
    fail(error.kind, error.message);
    return false;
}

bool Wal::removeSegmentsUpTo(std::uint64_t index)
{
    std::size_t count = 0;
    while (count + 1 < m_segments.size() && m_segments[count].lastIndex <= index) {
        ++count;
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (::unlink(m_segments.front().path.c_str()) != 0) {
            return failIo("remove", m_segments.front().path);
        }
        m_segments.erase(m_segments.begin());
    }
    return count == 0 || syncFolder(m_folder);
}

} // namespace banyanledge
