#include "apps/settingswatch.h"

#include <sys/stat.h>

#include <google/protobuf/util/message_differencer.h>

#include "base/error.h"
#include "base/log.h"
#include "base/settings.h"

namespace banyanledge
{

SettingsWatch::SettingsWatch(std::string path, proto::Settings settings)
    : m_path(std::move(path))
    , m_started(std::move(settings))
    , m_settings(m_started)
{
}

// The state is read before the file, so that a change in between is noticed by the next look.
bool SettingsWatch::check(bool forced)
{
    const FileState state = readState();
    if (!forced && state == m_state) {
        return false;
    }
    m_state = state;
    auto changed = readSettings(m_path);
    if (!changed) {
        logError("settings not reloaded; the previous ones stay in effect", {{"reason", lastError().message}});
        return false;
    }
    if (google::protobuf::util::MessageDifferencer::Equals(m_settings, *changed)) {
        return false;
    }
    m_settings = std::move(*changed);
    logInfo("settings reloaded", {{"file", m_path}});
    logChanges(m_settings);
    return true;
}

const proto::Settings &SettingsWatch::settings() const
{
    return m_settings;
}

// All zero if the file can't be found.
SettingsWatch::FileState SettingsWatch::readState() const
{
    struct stat found = {};
    if (stat(m_path.c_str(), &found) != 0) {
        return {};
    }
    return {found.st_dev, found.st_ino, found.st_size, found.st_mtim.tv_sec, found.st_mtim.tv_nsec};
}

void SettingsWatch::logChanges(const proto::Settings &changed) const
{
    std::string names;
    for (const std::string &name : changesForRestart(m_started, changed)) {
        names += (names.empty() ? "" : ", ") + name;
    }
    if (!names.empty()) {
        logWarning("changed settings that take effect after a restart", {{"settings", names}});
    }
}

} // namespace banyanledge
