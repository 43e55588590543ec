#include "fleet/healthprober.h"

#include <curl/curl.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "base/log.h"
#include "net/responsecheck.h"

namespace banyanledge
{

namespace
{

// Timeout of a probe. A slower server counts as not answering.
constexpr milliseconds probeTimeout{1000};

// Health reports are small. The transfer of a longer body is aborted, and the probe fails.
constexpr std::size_t maxBodyBytes = 4096;

// Maximum time between checks of the stop flag.
constexpr int maxPollMs = 100;

// Probe in progress.
struct Probe
{
    ProbeTarget target;
    Time started;
    ResponseCheck check{maxBodyBytes};
};

} // namespace

ProbeResult parseHealth(const std::string &body)
{
    proto::HealthReport report;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (!google::protobuf::util::JsonStringToMessage(body, &report, options).ok()) {
        return {};
    }
    return {true, report.state() == "leaving", report.cold(), report.in_flight(), {}, report.started_ms()};
}

class HealthProber::Private
{
public:
    void run()
    {
        Time next = Clock::now();
        while (!stopped()) {
            if (Clock::now() >= next || roundRequested.exchange(false)) {
                next = Clock::now() + interval;
                startRound();
            }
            int active = 0;
            curl_multi_perform(multi, &active);
            reportFinishedProbes();
            const auto remaining = std::chrono::ceil<milliseconds>(next - Clock::now());
            curl_multi_poll(multi, nullptr, 0,
                            static_cast<int>(std::clamp<std::int64_t>(remaining.count(), 0, maxPollMs)), nullptr);
        }
        for (auto &[easy, probe] : running) {
            curl_multi_remove_handle(multi, easy);
            curl_easy_cleanup(easy);
        }
        running.clear();
    }

    // Starts a probe of each target, except where the previous one is still running.
    void startRound()
    {
        for (const ProbeTarget &target : targets()) {
            const bool alreadyRunning = std::any_of(running.begin(), running.end(), [&](const auto &entry) {
                return entry.second->target.address == target.address;
            });
            if (alreadyRunning) {
                continue;
            }
            CURL *easy = curl_easy_init();
            auto probe = std::make_unique<Probe>(Probe{target, Clock::now()});
            const std::string url = "http://" + target.address + "/health";
            curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
            curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, ResponseCheck::readLine);
            curl_easy_setopt(easy, CURLOPT_HEADERDATA, &probe->check);
            curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
            curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ResponseCheck::readBody);
            curl_easy_setopt(easy, CURLOPT_WRITEDATA, &probe->check);
            curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(probeTimeout.count()));
            curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
            curl_easy_setopt(easy, CURLOPT_PROXY, ""); // ignores the proxy variables of the environment
            curl_multi_add_handle(multi, easy);
            running.emplace(easy, std::move(probe));
        }
    }

    // Passes the result of each finished probe to `done`.
    void reportFinishedProbes()
    {
        int remaining = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &remaining)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL *easy = message->easy_handle;
            const auto found = running.find(easy);
            long status = 0;
            curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
            ProbeResult result;
            const ResponseCheck &check = found->second->check;
            if (message->data.result == CURLE_OK && check.complete() && status >= 200 && status < 300) {
                result = parseHealth(check.body());
            }
            if (const std::string reason = check.error(); !reason.empty()) {
                logInfo("health check failed", {{"server", found->second->target.server}, {"reason", reason}});
            }
            result.latency = Clock::now() - found->second->started;
            done(found->second->target, result);
            curl_multi_remove_handle(multi, easy);
            curl_easy_cleanup(easy);
            running.erase(found);
        }
    }

    bool stopped()
    {
        const std::lock_guard lock(mutex);
        return stopping;
    }

    Duration interval;
    std::function<std::vector<ProbeTarget>()> targets;
    std::function<void(const ProbeTarget &, const ProbeResult &)> done;
    CURLM *multi = curl_multi_init();
    std::atomic<bool> roundRequested{false}; // by probeNow()
    std::map<CURL *, std::unique_ptr<Probe>> running;
    std::mutex mutex; // guards `stopping`
    bool stopping = false;
    std::thread thread;
};

HealthProber::HealthProber(Duration interval, std::function<std::vector<ProbeTarget>()> targets,
                           std::function<void(const ProbeTarget &, const ProbeResult &)> done)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    d = std::make_unique<Private>();
    d->interval = std::max<Duration>(interval, milliseconds{50});
    d->targets = std::move(targets);
    d->done = std::move(done);
}

HealthProber::~HealthProber()
{
    stop();
    curl_multi_cleanup(d->multi);
}

void HealthProber::probeNow()
{
    d->roundRequested = true;
    curl_multi_wakeup(d->multi);
}

void HealthProber::start()
{
    d->thread = std::thread([this] { d->run(); });
}

void HealthProber::stop()
{
    if (!d->thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(d->mutex);
        d->stopping = true;
    }
    curl_multi_wakeup(d->multi);
    d->thread.join();
}

} // namespace banyanledge
