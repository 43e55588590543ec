#include "decide/crashevidence.h"

#include <algorithm>
#include <tuple>

namespace banyanledge
{

namespace
{

using Crashes = std::vector<RequestCrash>;

// Crashes that are kept of one request, and ids of reports of one crash.
constexpr std::size_t maxCrashes = 16;
constexpr std::size_t maxReports = 32;

// Attempts on one server that end within this time end with the same crash. Shorter than the time that a server needs
// to start again, longer than the delays between the reports of the hosts.
constexpr milliseconds sameCrashWindow{500};

bool isSameCrash(const RequestCrash &a, const RequestCrash &b)
{
    return a.server == b.server && std::chrono::abs(a.ended - b.ended) < sameCrashWindow;
}

bool endedBefore(const RequestCrash &a, const RequestCrash &b)
{
    return a.ended < b.ended;
}

Crashes::iterator findReported(Crashes &crashes, const std::vector<std::uint32_t> &reports)
{
    return std::find_if(crashes.begin(), crashes.end(), [&reports](const RequestCrash &crash) {
        return std::find_first_of(crash.reports.begin(), crash.reports.end(), reports.begin(), reports.end())
            != crash.reports.end();
    });
}

// Removes the first crash that is not part of the sequence, or else the first one.
void removeLeastUseful(Crashes &crashes)
{
    Time lastEnd = Time::min();
    for (auto crash = crashes.begin(); crash != crashes.end(); ++crash) {
        if (crash->started < lastEnd) {
            crashes.erase(crash);
            return;
        }
        lastEnd = crash->lastEnded;
    }
    crashes.erase(crashes.begin());
}

void join(RequestCrash &crash, const RequestCrash &added)
{
    crash.started = std::max(crash.started, added.started);
    crash.ended = std::min(crash.ended, added.ended);
    crash.lastEnded = std::max(crash.lastEnded, added.lastEnded);
    if (crash.reports.size() < maxReports) {
        crash.reports.insert(crash.reports.end(), added.reports.begin(), added.reports.end());
    }
}

// Crashes without those that another request explains.
Crashes unexplained(const Crashes &crashes, const Crashes &explained)
{
    Crashes result;
    std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(result), [&explained](const RequestCrash &crash) {
        return std::none_of(explained.begin(), explained.end(),
                            [&crash](const RequestCrash &other) { return isSameCrash(crash, other); });
    });
    return result;
}

// Crashes that ended at least evidenceDelay ago.
Crashes settled(Crashes crashes, Time now)
{
    std::erase_if(crashes, [now](const RequestCrash &crash) { return now < crash.ended + evidenceDelay; });
    return crashes;
}

} // namespace

// Taking the crash that ended first, then the first one with a later attempt, gives the longest sequence.
unsigned crashesInSequence(const Crashes &crashes)
{
    unsigned count = 0;
    Time lastEnd = Time::min();
    for (const RequestCrash &crash : crashes) {
        if (crash.started >= lastEnd) {
            ++count;
            lastEnd = crash.lastEnded;
        }
    }
    return count;
}

CrashEvidence::CrashEvidence(std::size_t maxRequests)
    : m_maxRequests(maxRequests)
{
}

Suspect &CrashEvidence::suspect(const std::string &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        return found->second;
    }
    if (m_suspects.size() >= m_maxRequests) {
        const auto strength = [](const Suspect &suspect) {
            return std::make_tuple(crashesInSequence(suspect.crashes), suspect.changed);
        };
        m_suspects.erase(
            std::min_element(m_suspects.begin(), m_suspects.end(), [&strength](const auto &a, const auto &b) {
                return strength(a.second) < strength(b.second);
            }));
    }
    return m_suspects[fingerprint];
}

void CrashEvidence::recordCrash(const std::string &fingerprint, const RequestDescription &description,
                                const RequestCrash &crash, Time now)
{
    Suspect &known = suspect(fingerprint);
    known.description = description;
    const auto reported = findReported(known.crashes, crash.reports);
    if (reported != known.crashes.end()) {
        // A repeated report that was shorter on its way has the better times.
        if (reported->reports != crash.reports || crash.ended >= reported->ended) {
            return;
        }
        known.crashes.erase(reported);
    }
    if (crash.ended <= known.succeeded) {
        return;
    }
    const auto same = std::find_if(known.crashes.begin(), known.crashes.end(),
                                   [&crash](const RequestCrash &other) { return isSameCrash(crash, other); });
    if (same != known.crashes.end()) {
        join(*same, crash);
    } else {
        known.crashes.push_back(crash);
    }
    std::sort(known.crashes.begin(), known.crashes.end(), endedBefore);
    if (known.crashes.size() > maxCrashes) {
        removeLeastUseful(known.crashes);
    }
    known.changed = now;
}

void CrashEvidence::recordSuccess(const std::string &fingerprint, Time succeeded, Time now)
{
    Suspect &known = suspect(fingerprint);
    if (succeeded <= known.succeeded) {
        return;
    }
    known.succeeded = succeeded;
    known.changed = now;
    std::erase_if(known.crashes, [succeeded](const RequestCrash &crash) { return crash.ended <= succeeded; });
}

void CrashEvidence::removeExpired(Time now)
{
    for (auto next = m_suspects.begin(); next != m_suspects.end();) {
        Suspect &known = next->second;
        std::erase_if(known.crashes, [now](const RequestCrash &crash) { return now >= crash.ended + crashLifetime; });
        const bool expired = known.crashes.empty() && now >= known.succeeded + crashLifetime;
        next = expired ? m_suspects.erase(next) : std::next(next);
    }
}

void CrashEvidence::remove(const std::string &fingerprint)
{
    m_suspects.erase(fingerprint);
}

// The crashes of each request that is not blocked, without those that a blocked one explains; only requests with
// several.
std::map<std::string, Crashes> CrashEvidence::countedCrashes(const std::set<std::string> &blocked) const
{
    Crashes explained;
    for (const std::string &fingerprint : blocked) {
        const auto found = m_suspects.find(fingerprint);
        if (found != m_suspects.end()) {
            explained.insert(explained.end(), found->second.crashes.begin(), found->second.crashes.end());
        }
    }
    std::map<std::string, Crashes> result;
    for (const auto &[fingerprint, known] : m_suspects) {
        if (!blocked.contains(fingerprint) && known.crashes.size() > 1) {
            result[fingerprint] = unexplained(known.crashes, explained);
        }
    }
    std::erase_if(result, [](const auto &entry) { return crashesInSequence(entry.second) < 2; });
    return result;
}

// The request with the most crashes explains them, then the one with the most of those that are left, and so on.
// Crashes that are not settled count for the comparison, so that a report that is later by some ms doesn't decide it.
std::vector<std::string> CrashEvidence::culprits(const std::set<std::string> &blocked, Time now) const
{
    std::map<std::string, Crashes> candidates = countedCrashes(blocked);
    std::vector<std::string> result;
    while (!candidates.empty()) {
        const auto strongest = std::max_element(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
            return crashesInSequence(a.second) < crashesInSequence(b.second);
        });
        if (crashesInSequence(strongest->second) < crashesToBlock) {
            break;
        }
        const auto [fingerprint, crashes] = *strongest;
        candidates.erase(strongest);
        Crashes ofOthers;
        for (const auto &[other, otherCrashes] : candidates) {
            ofOthers.insert(ofOthers.end(), otherCrashes.begin(), otherCrashes.end());
        }
        const bool needsCheck = unexplained(crashes, ofOthers).empty();
        const unsigned count = crashesInSequence(settled(crashes, now));
        const bool blocks = count >= (needsCheck ? crashesToBlockInDoubt : crashesToBlock);
        if (blocks) {
            result.push_back(fingerprint);
        }
        for (auto &[other, otherCrashes] : candidates) {
            const Crashes left = unexplained(otherCrashes, crashes);
            const bool wasCandidate = crashesInSequence(otherCrashes) >= crashesToBlock;
            if (needsCheck && blocks && wasCandidate && crashesInSequence(left) < crashesToBlock) {
                result.push_back(other);
            }
            otherCrashes = left;
        }
    }
    return result;
}

const std::map<std::string, Suspect> &CrashEvidence::suspects() const
{
    return m_suspects;
}

} // namespace banyanledge
