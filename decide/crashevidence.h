// Evidence that a request crashes the backend servers that run it.
//
// A crash takes along every request that the server was running, so one crash says little about a request:
// - Crashes count one after the other: one counts only if an attempt of the request began after all attempts that ended
//   with the crash counted before. A popular request that runs on many servers when these crash together counts one.
// - A crash counts against one request only: against the one with the most crashes that was running there. Requests for
//   the same object follow each other from server to server, so others may have been running in several crashes too.
//   While others explain all crashes of a request, it is in doubt, and further crashes decide.
// - A complete response shows that the request does not crash servers, and earlier crashes don't count any more.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Crashes one after the other, with which a request is blocked.
constexpr unsigned crashesToBlock = 3;

// Crashes one after the other, with which a request is blocked although others explain them too, and those others with
// it.
constexpr unsigned crashesToBlockInDoubt = 5;

// Time from a crash until it counts, in which all hosts report what was running on the server.
constexpr milliseconds evidenceDelay{700};

// Time after which a crash is forgotten.
constexpr std::chrono::minutes crashLifetime{10};

// What operators see of a request.
struct RequestDescription
{
    std::string route;
    std::string customer; // empty without one
    std::string method;
    std::string path; // without the query

    bool operator==(const RequestDescription &) const = default;
};

// A crash of a server while it ran a request, in one or several attempts.
struct RequestCrash
{
    std::uint32_t server = 0; // hash of its id
    Time started{}; // of the attempt that began last
    Time ended{}; // of the attempt that ended first
    Time lastEnded{}; // of the attempt that ended last
    std::vector<std::uint32_t> reports; // random ids of the reports of this crash, so that none is counted twice
};

// What is known of one request.
struct Suspect
{
    RequestDescription description;
    std::vector<RequestCrash> crashes; // since the last success, in the order of their ends
    Time succeeded{}; // end of the last complete response
    Time changed{}; // when a crash or a success was recorded last
};

// Number of crashes that follow one another. `crashes` must be in the order of their ends.
unsigned crashesInSequence(const std::vector<RequestCrash> &crashes);

// Keeps the evidence of up to a number of requests; beyond it, drops the request with the weakest evidence.
class CrashEvidence
{
public:
    explicit CrashEvidence(std::size_t maxRequests);

    // Records one attempt that ended with a crash. Joins it with the other attempts that ended with the same crash.
    void recordCrash(const std::string &fingerprint, const RequestDescription &description, const RequestCrash &crash,
                     Time now);

    // Records a complete response that ended at `succeeded`.
    void recordSuccess(const std::string &fingerprint, Time succeeded, Time now);

    // Drops crashes and successes older than crashLifetime, and requests of which neither is known.
    void removeExpired(Time now);

    void remove(const std::string &fingerprint);

    // Requests to block, besides those that are blocked already.
    std::vector<std::string> culprits(const std::set<std::string> &blocked, Time now) const;

    const std::map<std::string, Suspect> &suspects() const; // by fingerprint

private:
    Suspect &suspect(const std::string &fingerprint);
    std::map<std::string, std::vector<RequestCrash>> countedCrashes(const std::set<std::string> &blocked) const;

    std::size_t m_maxRequests;
    std::map<std::string, Suspect> m_suspects;
};

} // namespace banyanledge
