// Write-ahead log: the segment files of the replicated log. An append writes one frame and syncs once, however many
// entries it contains.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/types.h"

namespace banyanledge
{

// Size in bytes at which the log continues in a new segment.
constexpr std::uint64_t segmentRotationBytes = 4ULL << 20;

// The open log of one data folder. Not thread-safe.
class Wal
{
public:
    // Content of the segments, read at start.
    struct RecoveredLog
    {
        proto::HardState state;
        std::vector<proto::LogEntry> entries;
        std::uint64_t firstIndex = 1; // earlier entries were removed because a snapshot covers them
    };

    // Reads the segments of a folder and truncates an incomplete last write. Creates the first segment, with
    // `initialState`, if there is none. Returns nullopt and sets lastError(), with file and offset, when synced data
    // are damaged or cannot be read.
    static std::optional<Wal> open(const std::string &folder, const proto::HardState &initialState,
                                   RecoveredLog &recovered);

    // Returns true if a folder contains segments.
    static bool exists(const std::string &folder);

    Wal(Wal &&other) noexcept;
    Wal &operator=(Wal &&other) noexcept;
    ~Wal();

    // Appends and syncs. The entries replace all earlier ones from the first one's index on. On failure returns false
    // and sets lastError(); the log is then unchanged.
    bool append(const std::optional<proto::HardState> &state, const std::vector<proto::LogEntry> &entries);

    // Starts a new segment. With `snapshotIndex`, recovery ignores the entries of all earlier segments, because a
    // snapshot up to that index replaced them. Returns false and sets lastError() on failure.
    bool rotate(std::optional<std::uint64_t> snapshotIndex = std::nullopt);

    // Removes the oldest segments that contain no entry after an index; the last segment stays. Returns false and sets
    // lastError() on failure.
    bool removeSegmentsUpTo(std::uint64_t index);

private:
    struct Segment
    {
        std::uint64_t number = 0;
        std::string path;
        std::uint64_t size = 0; // bytes up to the end of the last synced frame
        std::uint64_t lastIndex = 0; // highest index of its entries; 0 if it has none
    };

    explicit Wal(std::string folder);
    static std::vector<Segment> listSegments(const std::string &folder);
    bool readSegments(RecoveredLog &recovered);
    bool readSegment(std::size_t position, RecoveredLog &recovered);
    // Adds the content of a frame to `recovered` after checking that it continues the log.
    bool applyFrame(Segment &segment, const proto::LogFrame &frame, bool first, RecoveredLog &recovered,
                    std::uint64_t offset);
    bool removeIncompleteSegment();
    // Creates a segment and makes it the last one. `previousSize` is the size of the segment before it. With `reset`,
    // recovery ignores the entries of all earlier segments.
    bool createSegment(std::uint64_t number, std::uint64_t previousSize, bool reset);
    bool openLastSegment();
    bool writeFrame(const proto::LogFrame &frame);

    std::string m_folder;
    std::vector<Segment> m_segments;
    proto::HardState m_state;
    std::uint64_t m_lastIndex = 0;
    int m_descriptor = -1;
    bool m_tailDirty = false; // a failed write may have left bytes after the end of the last segment
};

} // namespace banyanledge
