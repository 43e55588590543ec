// Notices changes of a settings file while the host runs.
#pragma once

#include <string>

#include "base/types.h"

namespace banyanledge
{

class SettingsWatch
{
public:
    // `settings` are those that the host was started with, from the file at `path`.
    SettingsWatch(std::string path, proto::Settings settings);

    // Reads the file if it has changed since the last look at it, or in any case if `forced`. Returns whether there
    // are new settings to apply. If the file is not valid, the previous settings stay in effect, which is logged.
    bool check(bool forced);

    // The newest valid settings.
    const proto::Settings &settings() const;

private:
    // What changes when a file is written or replaced.
    struct FileState
    {
        std::uint64_t device = 0;
        std::uint64_t inode = 0;
        std::int64_t size = 0;
        std::int64_t modifiedSeconds = 0;
        std::int64_t modifiedNanoseconds = 0;

        friend bool operator==(const FileState &, const FileState &) = default;
    };

    FileState readState() const;
    void logChanges(const proto::Settings &changed) const;

    const std::string m_path;
    const proto::Settings m_started;
    proto::Settings m_settings;
    FileState m_state;
};

} // namespace banyanledge
