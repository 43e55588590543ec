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

// A backend server that is missing from the list is removed after this time; the list may omit a host for some polls.
constexpr milliseconds removalDelay{30000};

// The parsed list: backend servers by id, and whether each entry host is leaving, by id.
struct PlatformList
{
    std::map<std::string, proto::Server> servers;
    std::map<std::string, bool> entryHosts;

    bool empty() const;
};

// State that the leader keeps between polls.
struct PlatformPollState
{
    std::map<std::string, Time> missingSince; // servers that the list omits
    std::map<std::string, bool> entryHosts; // as in the last list
    std::map<std::string, Time> warmUntil; // ends of the warm-ups that the list showed
    std::map<std::string, Time> behindSince; // servers whose last start the list does not show
};

// Parses {"hosts":[...]}. Returns nullopt, with the reason in lastError(), when the text is not such a list. A single
// malformed host makes the whole list invalid, because a partial list would remove servers that exist.
std::optional<PlatformList> parsePlatformList(const std::string &json);

// Returns the commands that bring the table in line with the list. An empty list changes nothing, because a platform
// without any host is less likely than a faulty answer.
std::vector<proto::Command> platformCommands(const PlatformList &list, const TableObjects &objects,
                                             PlatformPollState &pollState, Time now);

// Polls the platform's list on its own thread.
class PlatformPoller
{
public:
    // Reads the body behind a URL; nullopt with lastError().
    using Fetch = std::function<std::optional<std::string>(const std::string &url)>;

    struct Options
    {
        milliseconds interval{};
        std::function<bool()> shouldPoll; // whether to poll now; empty: always
        std::function<std::optional<PlatformList>(const Fetch &)> readList; // reads one whole list
        std::function<void(PlatformList)> onList; // runs on the poller's thread for each usable list
    };

    explicit PlatformPoller(Options options);
    ~PlatformPoller();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
