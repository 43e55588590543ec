#include "gateway/blocker.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
#include "decide/fingerprint.h"

namespace banyanledge
{

namespace
{

// Requests of which one host keeps evidence.
constexpr std::size_t maxSuspects = 256;

// Requests in one report: those with the strongest evidence, those with the newest, and others at random, so that a new
// leader hears of all of them after some reports.
constexpr std::size_t maxStrongestReported = 4;
constexpr std::size_t maxNewestReported = 4;
constexpr std::size_t maxOthersReported = 2;
constexpr std::size_t maxBlockedReported = 2;

// Time for which evidence counts as new.
constexpr milliseconds newestLifetime{5000};

// Time since the last reply of the leader after which this host decides by itself.
constexpr milliseconds contactTimeout{2000};

// A longer gap between two reports is a pause of this process, in which it could not hear the leader.
constexpr milliseconds pauseThreshold{500};

// Blocked requests whose rejection is reported at a time.
constexpr std::size_t maxRejectionsReported = 8;

// Time for which the rejection of a blocked request is reported.
constexpr milliseconds rejectionLifetime{5000};

using SuspectEntry = std::pair<const std::string, Suspect>;

std::uint32_t ageMs(Time time, Time now)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - time).count());
}

void addSuspect(proto::SyncRequest &request, const SuspectEntry &entry, Time now)
{
    const auto &[fingerprint, suspect] = entry;
    auto *report = request.add_suspects();
    report->set_id(fingerprint);
    report->set_route(suspect.description.route);
    report->set_customer(suspect.description.customer);
    report->set_method(suspect.description.method);
    report->set_path(suspect.description.path);
    for (const RequestCrash &crash : suspect.crashes) {
        auto *reported = report->add_crashes();
        reported->set_id(crash.reports.front());
        reported->set_server(crash.server);
        reported->set_started_age_ms(ageMs(crash.started, now));
        reported->set_ended_age_ms(ageMs(crash.ended, now));
        reported->set_last_ended_age_ms(ageMs(crash.lastEnded, now));
    }
    if (suspect.succeeded != Time{}) {
        report->set_succeeded_age_ms(ageMs(suspect.succeeded, now));
    }
}

using SuspectEntries = std::vector<const SuspectEntry *>;

bool isNewer(const SuspectEntry *a, const SuspectEntry *b)
{
    return a->second.changed > b->second.changed;
}

// The end of up to `limit` entries from `first` on that satisfy the condition.
template<typename Condition>
SuspectEntries::iterator endOf(SuspectEntries &entries, SuspectEntries::iterator first, std::size_t limit,
                               Condition condition)
{
    const auto last = first + std::min<std::ptrdiff_t>(entries.end() - first, static_cast<std::ptrdiff_t>(limit));
    return std::find_if_not(first, last, condition);
}

// The entries with the strongest evidence, then those with the newest, then some of the others at random.
SuspectEntries selectForReport(SuspectEntries entries, std::mt19937 &random, Time now)
{
    const auto strength = [](const SuspectEntry *entry) { return crashesInSequence(entry->second.crashes); };
    std::sort(entries.begin(), entries.end(),
              [&strength](const SuspectEntry *a, const SuspectEntry *b) { return strength(a) > strength(b); });
    const auto newest = endOf(entries, entries.begin(), maxStrongestReported,
                              [&strength](const SuspectEntry *entry) { return strength(entry) > 1; });
    std::sort(newest, entries.end(), isNewer);
    const auto others = endOf(entries, newest, maxNewestReported, [now](const SuspectEntry *entry) {
        return now < entry->second.changed + newestLifetime;
    });
    std::shuffle(others, entries.end(), random);
    const auto end = endOf(entries, others, maxOthersReported, [](const SuspectEntry *) { return true; });
    entries.erase(end, entries.end());
    return entries;
}

} // namespace

RequestBlocker::RequestBlocker(std::string host)
    : m_host(std::move(host))
    , m_evidence(maxSuspects)
    , m_random(static_cast<std::mt19937::result_type>(randomId()))
{
}

void RequestBlocker::setView(const View &view)
{
    for (const auto &[fingerprint, request] : m_blocked) {
        if (!view.blockedRequests().contains(fingerprint)) {
            logInfo("request is no longer blocked",
                    {{"fingerprint", fingerprint}, {"revision", std::to_string(view.revision())}});
            m_evidence.remove(fingerprint);
            m_usedTrials.erase(fingerprint);
        }
    }
    for (const auto &[fingerprint, request] : view.blockedRequests()) {
        if (!m_blocked.contains(fingerprint)) {
            logInfo("request is blocked, because backend servers crashed while they ran it",
                    {{"fingerprint", fingerprint},
                     {"route", request.route()},
                     {"customer", request.customer()},
                     {"path", request.path()},
                     {"revision", std::to_string(view.revision())}});
        }
    }
    m_blocked = view.blockedRequests();
    updatePrefixes();
}

void RequestBlocker::applyReply(const proto::SyncReply &reply, Time now)
{
    m_lastReply = now;
    for (const auto &cleared : reply.cleared()) {
        if (m_evidence.suspects().contains(cleared.id())) {
            m_evidence.recordSuccess(cleared.id(), now - milliseconds(cleared.succeeded_age_ms()), now);
        }
    }
    std::set<std::string> watched(reply.suspects().begin(), reply.suspects().end());
    if (watched != m_watched) {
        m_watched = std::move(watched);
        updatePrefixes();
    }
}

bool RequestBlocker::knowsTarget(std::string_view target) const
{
    return !m_prefixes.empty() && m_prefixes.contains(fingerprintPrefix(target));
}

std::set<std::string> RequestBlocker::blockedFingerprints() const
{
    std::set<std::string> result;
    for (const auto &[fingerprint, request] : m_blocked) {
        result.insert(fingerprint);
    }
    return result;
}

bool RequestBlocker::hasTrial(const proto::BlockedRequest &request) const
{
    if (request.trial_host() != m_host) {
        return false;
    }
    const auto used = m_usedTrials.find(request.id());
    return used == m_usedTrials.end() || used->second < request.trials();
}

// The leader decides, because it knows what was running at all hosts. A host without contact to it decides by what it
// saw itself.
bool RequestBlocker::isBlocked(const std::string &fingerprint, Time now) const
{
    const auto blocked = m_blocked.find(fingerprint);
    if (blocked != m_blocked.end()) {
        return !hasTrial(blocked->second);
    }
    if (now < m_lastReply + contactTimeout || now >= m_lastReport + pauseThreshold) {
        return false;
    }
    const auto culprits = m_evidence.culprits(blockedFingerprints(), now);
    return std::find(culprits.begin(), culprits.end(), fingerprint) != culprits.end();
}

void RequestBlocker::recordSending(const std::string &fingerprint)
{
    const auto blocked = m_blocked.find(fingerprint);
    if (blocked != m_blocked.end()) {
        m_usedTrials[fingerprint] = blocked->second.trials();
        logInfo("blocked request is tried once",
                {{"fingerprint", fingerprint}, {"trial", std::to_string(blocked->second.trials())}});
    }
}

void RequestBlocker::recordCrash(const std::string &fingerprint, const RequestDescription &description,
                                 const RequestCrash &crash, Time now)
{
    m_evidence.recordCrash(fingerprint, description, crash, now);
    updatePrefixes();
}

void RequestBlocker::recordSuccess(const std::string &fingerprint, Time now)
{
    const bool isKnown = m_evidence.suspects().contains(fingerprint) || m_watched.contains(fingerprint)
        || m_blocked.contains(fingerprint);
    if (isKnown) {
        m_evidence.recordSuccess(fingerprint, now, now);
    }
}

void RequestBlocker::recordRejection(const std::string &fingerprint, Time now)
{
    m_rejections[fingerprint] = now;
}

void RequestBlocker::updatePrefixes()
{
    m_prefixes.clear();
    for (const auto &[fingerprint, suspect] : m_evidence.suspects()) {
        m_prefixes.emplace(prefixOf(fingerprint));
    }
    for (const auto &[fingerprint, request] : m_blocked) {
        m_prefixes.emplace(prefixOf(fingerprint));
    }
    for (const std::string &fingerprint : m_watched) {
        m_prefixes.emplace(prefixOf(fingerprint));
    }
}

void RequestBlocker::addReport(proto::SyncRequest &request, Time now)
{
    if (now >= m_lastReport + pauseThreshold) {
        m_lastReply = now;
    }
    m_lastReport = now;
    std::erase_if(m_rejections, [now](const auto &entry) { return now >= entry.second + rejectionLifetime; });
    std::vector<std::string> rejected;
    for (const auto &[fingerprint, time] : m_rejections) {
        rejected.push_back(fingerprint);
    }
    std::shuffle(rejected.begin(), rejected.end(), m_random);
    rejected.resize(std::min(rejected.size(), maxRejectionsReported));
    for (const std::string &fingerprint : rejected) {
        request.add_refused_blocked(fingerprint);
    }
    m_evidence.removeExpired(now);
    SuspectEntries entries;
    SuspectEntries blocked;
    for (const SuspectEntry &entry : m_evidence.suspects()) {
        const bool isBlocked = m_blocked.contains(entry.first) && !entry.second.crashes.empty();
        (isBlocked ? blocked : entries).push_back(&entry);
    }
    // A new leader has to know the crashes that a blocked request explains, the latest first.
    std::sort(blocked.begin(), blocked.end(), isNewer);
    blocked.resize(std::min(blocked.size(), maxBlockedReported));
    for (const SuspectEntries &selected : {selectForReport(std::move(entries), m_random, now), blocked}) {
        for (const SuspectEntry *entry : selected) {
            addSuspect(request, *entry, now);
        }
    }
}

} // namespace banyanledge
