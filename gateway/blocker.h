// Requests that crash backend servers, as one host knows them: those that the table blocks for all hosts, and what this
// host saw itself. Does no I/O.
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>

#include "base/types.h"
#include "decide/crashevidence.h"
#include "decide/view.h"

namespace banyanledge
{

class RequestBlocker
{
public:
    explicit RequestBlocker(std::string host);

    // Applies the blocked requests of a new copy of the table. What this host knows of a request that is no longer
    // blocked is forgotten.
    void setView(const View &view);

    // Applies a reply of the leader: the requests whose success it wants to know, and those that succeeded elsewhere.
    void applyReply(const proto::SyncReply &reply, Time now);

    // Whether any request with this target is known, so that the request's fingerprint is needed.
    bool knowsTarget(std::string_view target) const;

    // Whether the request must be rejected: it is blocked, and no trial is left to this host.
    bool isBlocked(const std::string &fingerprint, Time now) const;

    // Records that the request is sent to a server now, which uses up the trial of a blocked request.
    void recordSending(const std::string &fingerprint);

    void recordCrash(const std::string &fingerprint, const RequestDescription &description, const RequestCrash &crash,
                     Time now);
    void recordSuccess(const std::string &fingerprint, Time now);

    // Records that a client sent a blocked request.
    void recordRejection(const std::string &fingerprint, Time now);

    // Adds what the leader has to know. Called every 100 ms, which also shows that the process runs.
    void addReport(proto::SyncRequest &request, Time now);

private:
    std::set<std::string> blockedFingerprints() const;
    bool hasTrial(const proto::BlockedRequest &request) const;
    void updatePrefixes();

    const std::string m_host;
    CrashEvidence m_evidence;
    std::map<std::string, proto::BlockedRequest> m_blocked; // by fingerprint
    std::map<std::string, unsigned> m_usedTrials; // BlockedRequest::trials of the trial that this host used last
    std::map<std::string, Time> m_rejections; // last one, by fingerprint
    std::set<std::string> m_watched; // fingerprints of requests whose success the leader wants to know
    Time m_lastReply{}; // of the leader, or end of a pause of this process
    Time m_lastReport{};
    std::set<std::string, std::less<>> m_prefixes; // of all fingerprints above
    std::mt19937 m_random;
};

} // namespace banyanledge
