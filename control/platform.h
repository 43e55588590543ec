// The platform's list of live and leaving hosts.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/types.h"
#include "control/tableobjects.h"

namespace banyanledge
{

// A backend server that is missing from the list is removed after this time; the list lags and may omit a host for
// some polls.
constexpr milliseconds removalDelay{30000};

// Parsed list. Servers are complete; entry hosts are given as id and whether the platform calls them leaving.
struct PlatformList
{
    std::map<std::string, proto::Server> servers;
    std::map<std::string, bool> entryHosts;

    bool empty() const;
};

// What the leader remembers between polls.
struct PlatformPollState
{
    std::map<std::string, Time> missingSince; // servers that the list omits
    std::map<std::string, bool> entryHosts; // as in the last list
};

// Parses {"hosts":[...]}. nullopt with lastError() when the text is no such list. A single malformed host makes the
// whole list unusable, because a part of it would remove servers that exist.
std::optional<PlatformList> parsePlatformList(const std::string &json);

// Changes that bring the table in line with the list. An empty list changes nothing, because a platform without any
// host is less likely than a faulty answer.
std::vector<proto::Command> platformCommands(const PlatformList &list, const TableObjects &objects,
                                             PlatformPollState &pollState, Time now);

// Polls the URL on a thread of its own.
class PlatformPoller
{
public:
    // Reads the body behind a URL; nullopt with lastError().
    using Fetch = std::function<std::optional<std::string>(const std::string &url)>;

    struct Options
    {
        milliseconds interval{};
        std::function<bool()> shouldPoll; // whether to poll now; empty: always
        std::function<std::optional<PlatformList>(const Fetch &)> readList; // one whole list
        std::function<void(PlatformList)> onList; // runs on the poller's thread for each usable list
    };

    explicit PlatformPoller(Options options);
    ~PlatformPoller();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
