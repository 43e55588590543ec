#include "control/members.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Returns the latest time at which a call that this or an earlier leader answered may have arrived from the host. For
// answers of earlier leaders this is the start of this term.
Time latestAnsweredArrival(const std::string &host, const Liveness &liveness)
{
    const Time since = liveness.leadingSince.value_or(Time::max());
    const auto found = liveness.hosts.find(host);
    return found == liveness.hosts.end() ? since : std::max(since, found->second.lastAnsweredArrival);
}

// Returns the state that the host announced, or MEMBER_LIVE for a joining host that has a copy of the table.
proto::MemberState announcedState(const proto::SyncRequest &request)
{
    const auto state = request.self().state();
    return state == proto::MEMBER_JOINING && request.known_revision() > 0 ? proto::MEMBER_LIVE : state;
}

bool sameIdentity(const proto::Member &a, const proto::Member &b)
{
    return a.incarnation() == b.incarnation() && a.entry() == b.entry() && a.control() == b.control()
        && a.region() == b.region() && a.availability_zone() == b.availability_zone()
        && a.http_address() == b.http_address() && a.rpc_address() == b.rpc_address();
}

// Whether the announced state replaces the stored one.
bool shouldAdoptState(proto::MemberState stored, proto::MemberState announced)
{
    if (stored == announced || announced == proto::MEMBER_GONE) {
        return false;
    }
    return stored == proto::MEMBER_GONE || stored == proto::MEMBER_JOINING || announced == proto::MEMBER_LEAVING;
}

} // namespace

void startLeading(Liveness &liveness, Time now)
{
    liveness = {};
    liveness.leadingSince = now;
    liveness.lastLoopRun = now;
}

void recordLoopRun(Liveness &liveness, Time now)
{
    if (liveness.leadingSince && now - liveness.lastLoopRun > loopPauseThreshold) {
        liveness.leadingSince = now;
    }
    liveness.lastLoopRun = now;
}

void stopLeading(Liveness &liveness)
{
    liveness = {};
}

void recordArrival(Liveness &liveness, const proto::SyncRequest &request)
{
    HostCallState &calls = liveness.hosts[request.self().id()];
    if (calls.incarnation != 0 && calls.incarnation != request.self().incarnation()) {
        liveness.supersededIncarnations.insert(calls.incarnation);
    }
    calls.incarnation = request.self().incarnation();
    calls.knownRevision = request.known_revision();
    ++calls.outstandingCalls;
}

void recordCallEnd(Liveness &liveness, const proto::SyncRequest &request)
{
    const auto found = liveness.hosts.find(request.self().id());
    if (found != liveness.hosts.end() && found->second.outstandingCalls > 0) {
        --found->second.outstandingCalls;
    }
}

void recordAnswer(Liveness &liveness, const proto::SyncRequest &request, Time arrived)
{
    recordCallEnd(liveness, request);
    const auto found = liveness.hosts.find(request.self().id());
    if (found != liveness.hosts.end()) {
        found->second.lastAnsweredArrival = std::max(found->second.lastAnsweredArrival, arrived);
    }
}

std::optional<proto::Member> memberUpdate(const proto::SyncRequest &request, const TableObjects &objects,
                                          const Liveness &liveness, Time now)
{
    proto::Member member = request.self();
    member.set_state(announcedState(request));
    member.set_stopped(false);
    const auto found = objects.members.find(member.id());
    if (found == objects.members.end()) {
        return member;
    }
    const proto::Member &stored = found->second;
    if (sameIdentity(stored, member) && !shouldAdoptState(stored.state(), member.state())) {
        return std::nullopt;
    }
    const bool incarnationChanged = stored.incarnation() != member.incarnation();
    const bool storedStopped = stored.state() == proto::MEMBER_GONE && stored.stopped();
    member.set_stopped(incarnationChanged
                       && (storedStopped || latestAnsweredArrival(member.id(), liveness) + memberTimeout <= now));
    return member;
}

std::vector<proto::Member> membersToDeclareGone(const TableObjects &objects, const Liveness &liveness, Time now)
{
    std::vector<proto::Member> gone;
    if (!liveness.leadingSince) {
        return gone;
    }
    for (const auto &[id, stored] : objects.members) {
        if (stored.state() == proto::MEMBER_GONE || latestAnsweredArrival(id, liveness) + memberTimeout > now) {
            continue;
        }
        const auto calls = liveness.hosts.find(id);
        if (calls != liveness.hosts.end() && (calls->second.outstandingCalls > 0 || calls->second.goneProposed)) {
            continue;
        }
        proto::Member member = stored;
        member.set_state(proto::MEMBER_GONE);
        member.set_stopped(true);
        gone.push_back(member);
    }
    return gone;
}

std::vector<proto::Member> membersToRemove(const TableObjects &objects, Liveness &liveness, Time now)
{
    std::erase_if(liveness.goneSince, [&objects](const auto &entry) {
        const auto stored = objects.members.find(entry.first);
        return stored == objects.members.end() || stored->second.state() != proto::MEMBER_GONE;
    });
    std::vector<proto::Member> expired;
    for (const auto &[id, stored] : objects.members) {
        if (stored.state() != proto::MEMBER_GONE) {
            continue;
        }
        const auto [since, added] = liveness.goneSince.try_emplace(id, now);
        if (now - since->second >= goneMemberRetention) {
            expired.push_back(stored);
            since->second = now; // propose it again after another goneMemberRetention if the command is lost
        }
    }
    return expired;
}

} // namespace banyanledge
