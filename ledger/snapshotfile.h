// Snapshot files: the whole state at one log index. Written to a temporary file, synced, renamed, folder synced.
#pragma once

#include <optional>
#include <string>

#include "base/error.h"
#include "base/types.h"

namespace banyanledge
{

// Writes the snapshot durably and removes older snapshot files. False with lastError().
bool writeSnapshot(const std::string &folder, const proto::LogSnapshot &snapshot);

// Path of the newest snapshot file; nullopt when there is none.
std::optional<std::string> newestSnapshot(const std::string &folder);

// Reads a snapshot file; nullopt with lastError() naming file, offset and remedy when it is damaged.
std::optional<proto::LogSnapshot> readSnapshot(const std::string &path);

// Removes temporary files that a stopped process left.
void removeTemporaryFiles(const std::string &folder);

} // namespace banyanledge
