// Snapshot files, each with the whole state at one log index. A file is written under a temporary name, synced and
// renamed, and then its folder is synced, so that a crash leaves no partial snapshot.
#pragma once

#include <optional>
#include <string>

#include "base/error.h"
#include "base/types.h"

namespace banyanledge
{

// Writes a snapshot durably and removes older snapshot files. Returns false and sets lastError() on failure.
bool writeSnapshot(const std::string &folder, const proto::LogSnapshot &snapshot);

// Returns the path of the newest snapshot file, or nullopt if there is none.
std::optional<std::string> newestSnapshot(const std::string &folder);

// Reads a snapshot file. Returns nullopt and sets lastError(), with file and offset, when it is damaged or unreadable.
std::optional<proto::LogSnapshot> readSnapshot(const std::string &path);

// Removes temporary files left by a process that stopped while it wrote a snapshot.
void removeTemporaryFiles(const std::string &folder);

} // namespace banyanledge
