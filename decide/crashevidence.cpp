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

// Time for which a success is kept, so that it can be reported.
constexpr milliseconds successLifetime{10000};

bool isSameCrash(const RequestCrash &a, const RequestCrash &b)
{
    return a.server == b.server && std::chrono::abs(a.ended - b.ended) < sameCrashWindow;
}

bool endedBefore(const RequestCrash &a, const RequestCrash &b)
{
    return a.ended < b.ended;
}

bool wasReported(const Crashes &crashes, const std::vector<std::uint32_t> &reports)
{
    return std::any_of(crashes.begin(), crashes.end(), [&reports](const RequestCrash &crash) {
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
        lastEnd = crash->ended;
    }
    crashes.erase(crashes.begin());
}

void join(RequestCrash &crash, const RequestCrash &added)
{
    crash.started = std::max(crash.started, added.started);
    crash.ended = std::min(crash.ended, added.ended);
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

// Whether another candidate is as strong, and only by the same crashes.
bool isInDoubt(const std::map<std::string, Crashes> &candidates, const std::string &strongest)
{
    const Crashes &crashes = candidates.at(strongest);
    return std::any_of(candidates.begin(), candidates.end(), [&strongest, &crashes](const auto &other) {
        return other.first != strongest && crashesInSequence(other.second) == crashesInSequence(crashes)
            && crashesInSequence(unexplained(other.second, crashes)) < crashesToBlock;
    });
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
            lastEnd = crash.ended;
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
    if (wasReported(known.crashes, crash.reports) || crash.ended <= known.succeeded) {
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
        const bool expired = known.crashes.empty() && now >= known.succeeded + successLifetime;
        next = expired ? m_suspects.erase(next) : std::next(next);
    }
}

void CrashEvidence::remove(const std::string &fingerprint)
{
    m_suspects.erase(fingerprint);
}

// Blocked requests explain their crashes first, then the request with the most crashes that are left, and so on. While
// several requests explain the same crashes equally well, the next crash is waited for.
std::vector<std::string> CrashEvidence::culprits(const std::set<std::string> &blocked, Time now) const
{
    Crashes explained;
    std::map<std::string, Crashes> candidates;
    for (const auto &[fingerprint, known] : m_suspects) {
        if (blocked.contains(fingerprint)) {
            explained.insert(explained.end(), known.crashes.begin(), known.crashes.end());
        } else if (crashesInSequence(known.crashes) >= crashesToBlock) {
            candidates[fingerprint] = settled(known.crashes, now);
        }
    }
    std::vector<std::string> result;
    while (!candidates.empty()) {
        auto strongest = candidates.begin();
        auto most = std::make_pair(0U, std::size_t(0));
        for (auto candidate = candidates.begin(); candidate != candidates.end(); ++candidate) {
            candidate->second = unexplained(candidate->second, explained);
            const auto count = std::make_pair(crashesInSequence(candidate->second), candidate->second.size());
            if (count > most) {
                most = count;
                strongest = candidate;
            }
        }
        if (most.first < crashesToBlock) {
            break;
        }
        if (most.first >= crashesToBlockInDoubt || !isInDoubt(candidates, strongest->first)) {
            result.push_back(strongest->first);
        }
        const Crashes &all = m_suspects.at(strongest->first).crashes;
        explained.insert(explained.end(), all.begin(), all.end());
        candidates.erase(strongest);
    }
    return result;
}

const std::map<std::string, Suspect> &CrashEvidence::suspects() const
{
    return m_suspects;
}

} // namespace banyanledge
