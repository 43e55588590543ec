#include "control/blocks.h"

#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"
#include "ledger/table.h"

namespace banyanledge
{

namespace
{

// Requests of which the leader keeps evidence.
constexpr std::size_t maxSuspects = 4096;

// Suspects in a reply, and the crashes in sequence from which on a request is one.
constexpr std::size_t maxSuspectsInReply = 32;
constexpr unsigned crashesOfSuspect = 2;

// Time for which a host that refused a blocked request is chosen for its trial.
constexpr milliseconds refusalLifetime{5000};

Duration trialDelay(unsigned trials)
{
    constexpr unsigned maxDoublings = 10; // beyond longestTrialDelay
    return std::min<Duration>(longestTrialDelay, firstTrialDelay * (1 << std::min(trials, maxDoublings)));
}

// Time for which all hosts are told that a request's crashes don't count, after a host has reported one.
constexpr milliseconds clearedLifetime{3000};

proto::Command blockCommand(const proto::BlockedRequest &request, Revision expectedRevision)
{
    proto::Command command = systemCommand();
    *command.mutable_block_request()->mutable_request() = request;
    command.mutable_block_request()->set_expected_revision(expectedRevision);
    return command;
}

proto::Command unblockCommand(const std::string &fingerprint)
{
    proto::Command command = systemCommand();
    command.mutable_unblock_request()->set_id(fingerprint);
    return command;
}

RequestCrash receivedCrash(const proto::CrashReport &report, Time now)
{
    return {report.server(),
            now - milliseconds(report.started_age_ms()),
            now - milliseconds(report.ended_age_ms()),
            now - milliseconds(report.last_ended_age_ms()),
            {report.id()}};
}

} // namespace

RequestBlocks::RequestBlocks()
    : m_evidence(maxSuspects)
{
}

void RequestBlocks::recordReport(const proto::SyncRequest &request, Time now)
{
    for (const auto &report : request.suspects()) {
        const RequestDescription description{report.route(), report.customer(), report.method(), report.path()};
        // The success goes first, because it makes the crashes before it void.
        if (report.has_succeeded_age_ms()) {
            m_evidence.recordSuccess(report.id(), now - milliseconds(report.succeeded_age_ms()), now);
        }
        for (const auto &crash : report.crashes()) {
            m_evidence.recordCrash(report.id(), description, receivedCrash(crash, now), now);
        }
        const auto found = m_evidence.suspects().find(report.id());
        const bool isCleared = found != m_evidence.suspects().end() && found->second.crashes.empty();
        if (isCleared && report.crashes_size() > 0) {
            m_cleared[report.id()] = now;
        }
    }
    for (const std::string &fingerprint : request.refused_blocked()) {
        if (m_blocks.contains(fingerprint)) {
            m_refusals[fingerprint] = {request.self().id(), now};
        }
    }
}

void RequestBlocks::addSuspects(proto::SyncReply &reply, Time now) const
{
    std::vector<std::pair<unsigned, std::string>> suspects;
    for (const auto &[fingerprint, suspect] : m_evidence.suspects()) {
        const unsigned crashes = crashesInSequence(suspect.crashes);
        if (!m_blocks.contains(fingerprint) && crashes >= crashesOfSuspect) {
            suspects.emplace_back(crashes, fingerprint);
        }
    }
    std::sort(suspects.rbegin(), suspects.rend());
    suspects.resize(std::min(suspects.size(), maxSuspectsInReply));
    for (const auto &[crashes, fingerprint] : suspects) {
        reply.add_suspects(fingerprint);
    }
    for (const auto &[fingerprint, reported] : m_cleared) {
        const auto found = m_evidence.suspects().find(fingerprint);
        if (now < reported + clearedLifetime && found != m_evidence.suspects().end()) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - found->second.succeeded);
            auto *cleared = reply.add_cleared();
            cleared->set_id(fingerprint);
            cleared->set_succeeded_age_ms(static_cast<std::uint32_t>(age.count()));
        }
    }
}

std::vector<proto::Command> RequestBlocks::commands(const TableObjects &objects, std::int64_t wallClockMs, Time now)
{
    m_evidence.removeExpired(now);
    std::erase_if(m_cleared, [now](const auto &entry) { return now >= entry.second + clearedLifetime; });
    updateBlocks(objects, now);
    std::vector<proto::Command> result;
    for (const auto &part : {newBlocks(objects, wallClockMs, now), nextTrials(objects, now), successes()}) {
        result.insert(result.end(), part.begin(), part.end());
    }
    return result;
}

// Follows the table. A request that is no longer blocked is new again, whoever unblocked it.
void RequestBlocks::updateBlocks(const TableObjects &objects, Time now)
{
    std::erase_if(m_blocks, [this, &objects](const auto &entry) {
        const bool unblocked = !objects.blockedRequests.contains(entry.first);
        if (unblocked) {
            m_evidence.remove(entry.first);
            m_refusals.erase(entry.first);
            m_lastCrashes.erase(entry.first);
        }
        return unblocked;
    });
    for (const auto &[fingerprint, request] : objects.blockedRequests) {
        const auto lastCrash = m_lastCrashes.find(fingerprint);
        const Time since = lastCrash == m_lastCrashes.end() ? now : lastCrash->second;
        const auto [block, added] = m_blocks.try_emplace(fingerprint, Block{since, now, request.trials()});
        if (block->second.trials != request.trials()) {
            block->second.trialsChanged = now;
            block->second.trials = request.trials();
        }
    }
}

std::vector<proto::Command> RequestBlocks::newBlocks(const TableObjects &objects, std::int64_t wallClockMs, Time now)
{
    std::set<std::string> blocked;
    for (const auto &[fingerprint, block] : m_blocks) {
        blocked.insert(fingerprint);
    }
    std::vector<proto::Command> result;
    for (const std::string &fingerprint : m_evidence.culprits(blocked, now)) {
        const Suspect &suspect = m_evidence.suspects().at(fingerprint);
        const unsigned crashes = crashesInSequence(suspect.crashes);
        logWarning("blocking a request, because backend servers crashed one after the other while they ran it",
                   {{"fingerprint", fingerprint},
                    {"route", suspect.description.route},
                    {"customer", suspect.description.customer},
                    {"method", suspect.description.method},
                    {"path", suspect.description.path},
                    {"crashes", std::to_string(crashes)}});
        countMetric("banyanledge_requests_blocked_total");
        if (m_blocks.size() + result.size() >= maxBlockedRequests) {
            const auto oldest = std::min_element(
                objects.blockedRequests.begin(), objects.blockedRequests.end(),
                [](const auto &a, const auto &b) { return a.second.revision() < b.second.revision(); });
            result.push_back(unblockCommand(oldest->first));
            return result; // the request itself follows when there is room
        }
        proto::BlockedRequest request;
        request.set_id(fingerprint);
        request.set_route(suspect.description.route);
        request.set_customer(suspect.description.customer);
        request.set_method(suspect.description.method);
        request.set_path(suspect.description.path);
        request.set_crashes(crashes);
        request.set_blocked_at_ms(wallClockMs);
        result.push_back(blockCommand(request, 0));
        m_lastCrashes[fingerprint] = suspect.crashes.back().lastEnded;
    }
    return result;
}

// One host at a time gets a trial, one that clients send the request to.
std::vector<proto::Command> RequestBlocks::nextTrials(const TableObjects &objects, Time now) const
{
    std::vector<proto::Command> result;
    for (const auto &[fingerprint, request] : objects.blockedRequests) {
        const Block &block = m_blocks.at(fingerprint);
        proto::BlockedRequest next = request;
        if (!request.trial_host().empty()) {
            if (now >= block.trialsChanged + trialTime) {
                next.clear_trial_host();
                result.push_back(blockCommand(next, request.revision()));
            }
            continue;
        }
        const auto refusal = m_refusals.find(fingerprint);
        const bool due = now >= block.trialsChanged + trialDelay(block.trials);
        if (due && refusal != m_refusals.end() && now < refusal->second.reported + refusalLifetime) {
            logInfo("trying a blocked request once",
                    {{"fingerprint", fingerprint},
                     {"trial", std::to_string(request.trials() + 1)},
                     {"on", refusal->second.host}});
            next.set_trials(request.trials() + 1);
            next.set_trial_host(refusal->second.host);
            result.push_back(blockCommand(next, request.revision()));
        }
    }
    return result;
}

std::vector<proto::Command> RequestBlocks::successes() const
{
    std::vector<proto::Command> result;
    for (const auto &[fingerprint, block] : m_blocks) {
        const auto suspect = m_evidence.suspects().find(fingerprint);
        if (suspect != m_evidence.suspects().end() && suspect->second.succeeded > block.since) {
            logInfo("unblocking a request, because a backend server completed it", {{"fingerprint", fingerprint}});
            result.push_back(unblockCommand(fingerprint));
        }
    }
    return result;
}

} // namespace banyanledge
