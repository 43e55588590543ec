#include "control/platform.h"

#include <curl/curl.h>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <cmath>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "base/log.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "net/responsecheck.h"

namespace banyanledge
{

namespace
{

using google::protobuf::Struct;
using google::protobuf::Value;

// Larger lists are refused. The largest expected one has 2,000 hosts of about 250 bytes each.
constexpr std::size_t maxPlatformListBytes = 8UL * 1024 * 1024;

// Variation of the remaining warm-up time of one warm-up between polls, because the list's lag varies.
constexpr milliseconds warmupTolerance{300};

// The list shows each start within this time.
constexpr milliseconds longestListLag{10000};

// Timeout of a poll, so that an unresponsive platform does not delay the next poll for long.
constexpr long pollTimeoutMs = 2000;

std::string stringField(const Struct &object, const std::string &name)
{
    const auto found = object.fields().find(name);
    return found == object.fields().end() ? "" : found->second.string_value();
}

// Largest number of slots or connections, and the largest whole number that JSON holds exactly.
constexpr double maxCount = 1e6;
constexpr double maxExactInteger = 9007199254740992.0;

// Returns the field if it is a whole number from 0 to `largest`.
std::optional<std::int64_t> wholeNumberField(const Struct &object, const std::string &name, double largest)
{
    const auto found = object.fields().find(name);
    if (found == object.fields().end() || found->second.kind_case() != Value::kNumberValue) {
        return std::nullopt;
    }
    const double value = found->second.number_value();
    if (!(value >= 0 && value <= largest) || value != std::floor(value)) {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(value);
}

// Adds one host; false when it is malformed.
bool addHost(const Struct &object, PlatformList &list)
{
    const std::string id = stringField(object, "id");
    const std::string kind = stringField(object, "kind");
    const std::string state = stringField(object, "state");
    if (id.empty() || (state != "live" && state != "leaving")) {
        return false;
    }
    if (kind == "entry_host") {
        list.entryHosts[id] = state == "leaving";
        return true;
    }
    const auto slots = wholeNumberField(object, "slots", maxCount);
    const auto connections = wholeNumberField(object, "connections", maxCount);
    const auto startedMs = wholeNumberField(object, "started_ms", maxExactInteger);
    proto::Server server;
    server.set_id(id);
    server.set_service(stringField(object, "service"));
    server.set_region(stringField(object, "region"));
    server.set_availability_zone(stringField(object, "availability_zone"));
    server.set_address(stringField(object, "address"));
    server.set_slots(static_cast<std::uint32_t>(slots.value_or(0)));
    server.set_connections(static_cast<std::uint32_t>(connections.value_or(0)));
    server.set_listed_start_ms(startedMs.value_or(0));
    server.set_leaving(state == "leaving");
    const bool complete = kind == "backend_server" && !server.service().empty() && !server.region().empty()
        && isAddress(server.address()) && slots && connections
        && (startedMs || !object.fields().contains("started_ms"));
    list.servers[id] = server;
    return complete;
}

// Whether the list does not show the start of the stored server's process yet.
bool isListBehind(const proto::Server &stored, const proto::Server &listed)
{
    return stored.started_ms() != stored.listed_start_ms() && listed.listed_start_ms() == stored.listed_start_ms();
}

// Whether the stored server matches the listed one. `drained` is not compared, because only operators set it. Of the
// remaining warm-up time, only whether it is zero is compared, and nothing while the list shows an earlier process.
bool sameServer(const proto::Server &stored, const proto::Server &listed)
{
    const bool sameStart = listed.listed_start_ms() == 0 || stored.listed_start_ms() == listed.listed_start_ms();
    const bool sameWarmup =
        isListBehind(stored, listed) || (stored.warmup_left_ms() > 0) == (listed.warmup_left_ms() > 0);
    return stored.service() == listed.service() && stored.region() == listed.region()
        && stored.availability_zone() == listed.availability_zone() && stored.address() == listed.address()
        && stored.slots() == listed.slots() && stored.connections() == listed.connections()
        && stored.leaving() == listed.leaving() && stored.version() == listed.version() && sameStart && sameWarmup;
}

// Records the warm-up that the list shows. Returns whether it is another one than the one shown before.
bool recordWarmup(const proto::Server &listed, PlatformPollState &pollState, Time now)
{
    if (listed.warmup_left_ms() == 0) {
        pollState.warmUntil.erase(listed.id());
        return false;
    }
    const Time end = now + milliseconds(listed.warmup_left_ms());
    const auto [known, added] = pollState.warmUntil.try_emplace(listed.id(), end);
    const bool isAnother = !added && end > known->second + warmupTolerance;
    if (isAnother) {
        known->second = end;
    }
    return isAnother;
}

// Whether the list has shown the same start for so long that hosts must have been wrong about a later one.
bool isStartConfirmed(const proto::Server &stored, const proto::Server &listed, PlatformPollState &pollState, Time now)
{
    if (stored.ended() || !isListBehind(stored, listed)) {
        pollState.behindSince.erase(listed.id());
        return false;
    }
    const Time since = pollState.behindSince.try_emplace(listed.id(), now).first->second;
    return now - since >= longestListLag;
}

proto::Command putServerCommand(const proto::Server &server)
{
    proto::Command command = systemCommand();
    *command.mutable_put_server()->mutable_server() = server;
    return command;
}

// Appends the commands for stored servers that the list omits: each becomes leaving at once and, unless it is
// drained, is removed after removalDelay.
void appendMissingServerCommands(const PlatformList &list, const TableObjects &objects, PlatformPollState &pollState,
                                 Time now, std::vector<proto::Command> &commands)
{
    for (const auto &[id, stored] : objects.servers) {
        if (list.servers.contains(id)) {
            pollState.missingSince.erase(id);
            continue;
        }
        const Time since = pollState.missingSince.try_emplace(id, now).first->second;
        // A drained server stays in the table as leaving: removing it would forget the operator's drain, and the server
        // would get work again when the list names it later.
        if (now - since >= removalDelay && !stored.drained()) {
            proto::Command command = systemCommand();
            command.mutable_remove_server()->set_id(id);
            commands.push_back(command);
        } else if (!stored.leaving()) {
            proto::Server leaving = stored;
            leaving.set_leaving(true);
            leaving.set_started_ms(0); // the list says nothing of its process
            commands.push_back(putServerCommand(leaving));
        }
    }
    std::erase_if(pollState.warmUntil,
                  [&objects](const auto &entry) { return !objects.servers.contains(entry.first); });
    std::erase_if(pollState.behindSince,
                  [&objects](const auto &entry) { return !objects.servers.contains(entry.first); });
    std::erase_if(pollState.missingSince,
                  [&objects](const auto &entry) { return !objects.servers.contains(entry.first); });
}

// Appends the commands for entry hosts whose state differs from the list. A host becomes live only when the platform
// itself called it leaving before, so that an outdated list does not override what the host announced.
void appendEntryHostCommands(const PlatformList &list, const TableObjects &objects, PlatformPollState &pollState,
                             std::vector<proto::Command> &commands)
{
    for (const auto &[id, leaving] : list.entryHosts) {
        const auto previous = pollState.entryHosts.find(id);
        const bool wasLeaving = previous != pollState.entryHosts.end() && previous->second;
        const auto stored = objects.members.find(id);
        if (stored == objects.members.end()) {
            continue;
        }
        const auto state = stored->second.state();
        std::optional<proto::MemberState> next;
        if (leaving && (state == proto::MEMBER_LIVE || state == proto::MEMBER_JOINING)) {
            next = proto::MEMBER_LEAVING;
        } else if (!leaving && wasLeaving && state == proto::MEMBER_LEAVING) {
            next = proto::MEMBER_LIVE;
        }
        if (next) {
            proto::Command command = systemCommand();
            *command.mutable_put_member()->mutable_member() = stored->second;
            command.mutable_put_member()->mutable_member()->set_state(*next);
            commands.push_back(command);
        }
    }
    pollState.entryHosts = list.entryHosts;
}

} // namespace

bool PlatformList::empty() const
{
    return servers.empty() && entryHosts.empty();
}

std::optional<PlatformList> parsePlatformList(const std::string &json)
{
    Struct object;
    if (!google::protobuf::util::JsonStringToMessage(json, &object).ok()) {
        return fail(proto::ERROR_INVALID, "the platform's list is not JSON; check [platform] list_url");
    }
    const auto hosts = object.fields().find("hosts");
    if (hosts == object.fields().end() || hosts->second.kind_case() != Value::kListValue) {
        return fail(proto::ERROR_INVALID, "the platform's list has no array \"hosts\"; check [platform] list_url");
    }
    PlatformList list;
    for (const Value &value : hosts->second.list_value().values()) {
        if (!addHost(value.struct_value(), list)) {
            return fail(proto::ERROR_INVALID,
                        "the platform's list holds a malformed host '" + stringField(value.struct_value(), "id")
                            + "'; the last state stays in force until the platform corrects it");
        }
    }
    return list;
}

std::vector<proto::Command> platformCommands(const PlatformList &list, const TableObjects &objects,
                                             PlatformPollState &pollState, Time now)
{
    std::vector<proto::Command> commands;
    if (list.empty()) {
        return commands;
    }
    for (const auto &[id, listed] : list.servers) {
        const auto stored = objects.servers.find(id);
        const bool isAnotherWarmup = recordWarmup(listed, pollState, now);
        if (stored == objects.servers.end()) {
            commands.push_back(putServerCommand(listed));
            continue;
        }
        const bool isConfirmed = isStartConfirmed(stored->second, listed, pollState, now);
        if (isConfirmed || isAnotherWarmup || !sameServer(stored->second, listed)) {
            commands.push_back(putServerCommand(listed));
            auto &server = *commands.back().mutable_put_server()->mutable_server();
            server.set_started_ms(isConfirmed ? listed.listed_start_ms() : 0);
        }
    }
    // A list without any backend server is probably faulty, as an empty one is, so it removes no server.
    if (!list.servers.empty()) {
        appendMissingServerCommands(list, objects, pollState, now, commands);
    }
    appendEntryHostCommands(list, objects, pollState, commands);
    return commands;
}

class PlatformPoller::Private
{
public:
    Options options;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    CURL *curl = nullptr;
    std::thread thread;

    void run();
    std::optional<std::string> fetch(const std::string &url);
};

std::optional<std::string> PlatformPoller::Private::fetch(const std::string &url)
{
    ResponseCheck check(maxPlatformListBytes);
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, pollTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_FAILONERROR, 1L);
    // The check reads HTTP/1.1, and the responses of the platform only.
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(curl, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, ResponseCheck::readLine);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &check);
    curl_easy_setopt(curl, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, ResponseCheck::readBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &check);
    const CURLcode code = curl_easy_perform(curl);
    if (code != CURLE_OK || !check.complete()) {
        return fail(
            proto::ERROR_IO,
            std::string(
                "the request for the platform's list failed; check the platform and its address in the settings: ")
                + (check.error().empty() ? curl_easy_strerror(code) : check.error()));
    }
    return check.body();
}

void PlatformPoller::Private::run()
{
    bool failing = false;
    std::unique_lock lock(mutex);
    while (!stopping) {
        const Time next = Clock::now() + options.interval;
        lock.unlock();
        if (!options.shouldPoll || options.shouldPoll()) {
            auto list = options.readList([this](const std::string &url) { return fetch(url); });
            countMetric("banyanledge_platform_polls_total", {{"result", list ? "ok" : "failed"}});
            if (!list && !failing) {
                logWarning("cannot read the platform's list; the last one stays in force",
                           {{"reason", lastError().message}});
            } else if (list && failing) {
                logInfo("the platform's list is readable again");
            }
            failing = !list;
            if (list) {
                options.onList(std::move(*list));
            }
        }
        lock.lock();
        wake.wait_until(lock, next, [this] { return stopping; });
    }
}

PlatformPoller::PlatformPoller(Options options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
    d->curl = curl_easy_init();
    d->thread = std::thread([this] { d->run(); });
}

PlatformPoller::~PlatformPoller()
{
    {
        const std::lock_guard lock(d->mutex);
        d->stopping = true;
    }
    d->wake.notify_all();
    d->thread.join();
    curl_easy_cleanup(d->curl);
}

} // namespace banyanledge
