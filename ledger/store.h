// Durable state of one member: the snapshot and log files in its data folder, and their recovery.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "ledger/raft.h"

namespace banyanledge
{

// Owner of a member's data folder. Not thread-safe, except for loadSnapshot() and folder().
class Store
{
public:
    // Locks and recovers a folder, which is created if missing. A new folder receives a random identity. Returns
    // nullopt and sets lastError() when the folder is in use, unreadable or damaged.
    static std::optional<Store> open(const std::string &folder);

    Store(Store &&) noexcept;
    Store &operator=(Store &&) noexcept;
    ~Store();

    // Returns the state recovered by open(), and the table's image if there was a snapshot. Each may be called once.
    RaftState takeState();
    std::optional<proto::TableImage> takeImage();

    // Stores hard state and entries of an output with one sync. On failure returns false and sets lastError(); the
    // stored state is then unchanged.
    bool save(const RaftOutput &output);

    // Stores a snapshot sent by another member. With `keepEntries`, the entries after it are kept; otherwise all log
    // entries are discarded. Returns false and sets lastError() on failure.
    bool install(const proto::LogSnapshot &snapshot, bool keepEntries);

    // Removes log files that contain only entries up to an index, after writeSnapshot() stored a snapshot that covers
    // them. Returns false and sets lastError() on failure.
    bool compact(std::uint64_t index);

    // Reads the newest stored snapshot. Returns nullopt and sets lastError() when there is none or it is damaged.
    std::optional<proto::LogSnapshot> loadSnapshot() const;

    const std::string &folder() const; // path of the data folder

private:
    struct Private;
    explicit Store(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
