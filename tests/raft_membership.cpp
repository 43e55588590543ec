// Hosts of a SimulatedGroup that come, go, lose their disks and find the group again, see HostRules.
#include "raft_simulation.h"

#include <algorithm>

#include "control/join.h"

namespace banyanledge
{

namespace
{

constexpr milliseconds joinCheckInterval{200};
constexpr milliseconds plannedEndTimeout{2000};
constexpr milliseconds handoverTimeout{1000};

// Longest election: twice the election timeout of the simulated members and some round trips.
constexpr milliseconds electionTime{1000};

// Longer than the longest event, a planned replacement, and the time after which a host counts again.
constexpr milliseconds settlingTime{16000};

// A planned replacement ends the old host this long after its successor has started.
constexpr milliseconds plannedReplacementGap{8000};

} // namespace

// The isolated members form one side of a partition. Messages between the two sides are lost.
bool SimulatedGroup::connected(const std::string &a, const std::string &b) const
{
    const auto isCut = [this](const std::string &id) {
        const auto found = m_cutUntil.find(id);
        return found != m_cutUntil.end() && m_now < found->second;
    };
    return m_isolated.contains(a) == m_isolated.contains(b) && !isCut(a) && !isCut(b);
}

bool SimulatedGroup::knowsAddress(const Member &member, const std::string &id) const
{
    const auto &members = member.raft->log().config().members();
    return member.learnedAddresses.contains(id)
        || std::any_of(members.begin(), members.end(), [&id](const auto &listed) { return listed.id() == id; });
}

void SimulatedGroup::recordHolder(const Member &member, std::uint64_t first, std::uint64_t last)
{
    for (auto index = first; m_rules && index <= last; ++index) {
        m_holders[index].insert(member.identity);
    }
}

void SimulatedGroup::recordEvent(const std::string &event)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    m_events.push_back(std::to_string(ms) + " ms: " + event);
}

// Role, term, log and members of a host, for the message of a failed check.
std::string SimulatedGroup::describe(const Member &member) const
{
    if (!member.raft) {
        return member.id + (member.gone ? " gone" : " down");
    }
    const Raft &raft = *member.raft;
    std::string text = member.id + " role " + std::to_string(static_cast<int>(raft.role())) + " term "
        + std::to_string(raft.term()) + " commit " + std::to_string(raft.commit()) + " of "
        + std::to_string(raft.log().lastIndex()) + " leader " + raft.leader() + " members";
    for (const auto &listed : raft.log().config().members()) {
        text += " " + listed.id() + (listed.voter() ? "" : "(learner)");
    }
    return text;
}

void SimulatedGroup::addHost(Duration delay)
{
    const std::string id = "c" + std::to_string(++m_hostCount);
    auto &member = m_members[id];
    member.id = id;
    eraseDisk(member);
    member.restartTime = m_now + delay;
    member.soundFrom = member.restartTime + m_rules->catchUp;
}

void SimulatedGroup::replace(const std::string &id, milliseconds gap)
{
    auto &member = m_members.at(id);
    end(member);
    member.gone = true;
    member.lostUntil = m_now + gap + m_rules->catchUp; // a host and its successor count as one
    addHost(gap);
}

void SimulatedGroup::replaceAsPlanned(const std::string &id, milliseconds gap)
{
    addHost({});
    auto &member = m_members.at(id);
    member.endTime = m_now + gap;
    member.restartGap = {};
}

void SimulatedGroup::cutOff(const std::string &id, milliseconds duration)
{
    m_cutUntil[id] = m_now + duration;
    m_members.at(id).lostUntil = m_now + duration + m_rules->catchUp;
}

void SimulatedGroup::freeze(const std::string &id, milliseconds duration)
{
    auto &member = m_members.at(id);
    member.frozenUntil = m_now + duration;
    member.lostUntil = member.frozenUntil + m_rules->catchUp;
}

void SimulatedGroup::endAsPlanned(const std::string &id, milliseconds gap)
{
    auto &member = m_members.at(id);
    member.endTime = m_now;
    member.restartGap = gap;
}

void SimulatedGroup::changeSeeds()
{
    m_seeds = soundHosts();
    std::shuffle(m_seeds.begin(), m_seeds.end(), m_random);
    m_seeds.resize(std::min<std::size_t>(m_seeds.size(), 3));
    for (auto &[id, member] : m_members) {
        if (member.contacts) {
            member.contacts->setSeeds(m_seeds);
        }
    }
}

// A starting host's settings name hosts that the platform lists at that time, so none that is gone.
void SimulatedGroup::replaceGoneSeeds()
{
    std::erase_if(m_seeds, [this](const std::string &id) { return m_members.at(id).gone; });
    for (const auto &[id, member] : m_members) {
        const bool named = std::find(m_seeds.begin(), m_seeds.end(), id) != m_seeds.end();
        if (m_seeds.size() < 3 && !member.gone && !named) {
            m_seeds.push_back(id);
        }
    }
}

void SimulatedGroup::end(Member &member)
{
    member.raft.reset();
    member.inbox.clear();
    member.frozenUntil = m_now;
    member.endTime = Time::max();
    member.leaveIndex.reset();
}

std::size_t SimulatedGroup::lostHosts() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
                                                  [this](const auto &item) { return m_now < item.second.lostUntil; }));
}

std::vector<std::string> SimulatedGroup::soundHosts() const
{
    std::vector<std::string> ids;
    for (const auto &[id, member] : m_members) {
        if (member.raft && m_now >= std::max(member.lostUntil, member.soundFrom) && member.endTime == Time::max()) {
            ids.push_back(id);
        }
    }
    return ids;
}

// Returns the leader that a host reaches in the way of the product's: through the leader that it knows, otherwise
// through one of its contacts, which names the leader. Null if that leads to none.
SimulatedGroup::Member *SimulatedGroup::leaderFor(Member &member)
{
    const auto reach = [this, &member](const std::string &id) -> Member * {
        const auto found = m_members.find(id);
        const bool answers = found != m_members.end() && found->second.raft && m_now >= found->second.frozenUntil
            && connected(member.id, id);
        return answers ? &found->second : nullptr;
    };
    const std::string known = member.raft->leader();
    Member *target = reach(known.empty() ? member.contacts->next(member.raft->log().config()) : known);
    if (target != nullptr && target->raft->role() != Raft::Role::Leader) {
        target = reach(target->raft->leader());
    }
    return target != nullptr && target->raft->role() == Raft::Role::Leader ? target : nullptr;
}

void SimulatedGroup::requestJoin(Member &member)
{
    if (m_now < member.nextJoinCheck) {
        return;
    }
    member.nextJoinCheck = m_now + joinCheckInterval;
    proto::ControlStatus status;
    status.set_leader(member.raft->leader());
    *status.mutable_config() = member.raft->log().config();
    if (!status.leader().empty()) {
        member.lastLeaderTime = localTime(member);
    }
    if (!mustRequestJoin(status, localTime(member) - member.lastLeaderTime)) {
        return;
    }
    if (Member *target = leaderFor(member)) {
        proto::LogMember added;
        added.set_id(member.id);
        added.set_rpc_address(member.id);
        (void)target->raft->changeMember(added, MemberChange::Add);
    }
}

// Hands over leadership, leaves the group and ends, each as soon as the step before has succeeded or the timeout has
// passed.
void SimulatedGroup::continuePlannedEnd(Member &member)
{
    if (m_now < member.endTime) {
        return;
    }
    bool ends = m_now >= member.endTime + plannedEndTimeout;
    if (member.raft->role() == Raft::Role::Leader && m_now < member.endTime + handoverTimeout) {
        member.raft->transferLeadership(localTime(member));
    } else if (Member *target = leaderFor(member)) {
        if (member.leaveIndex) {
            ends |= target->raft->commit() >= *member.leaveIndex && !hasMember(*target, member.id);
        } else {
            proto::LogMember leaving;
            leaving.set_id(member.id);
            member.leaveIndex = target->raft->changeMember(leaving, MemberChange::Leave);
            ends |= !member.leaveIndex && lastError().kind == proto::ERROR_INVALID;
        }
    }
    if (!ends) {
        return;
    }
    end(member);
    member.gone = member.restartGap == milliseconds(0);
    if (!member.gone) {
        member.restartTime = m_now + member.restartGap;
        member.lostUntil = member.restartTime + m_rules->catchUp;
    }
}

void SimulatedGroup::addMembershipEvent()
{
    auto sound = soundHosts();
    const std::size_t lost = lostHosts();
    if (lost >= m_rules->toleratedLosses || sound.empty()) {
        return;
    }
    std::shuffle(sound.begin(), sound.end(), m_random);
    const std::size_t most = std::min(sound.size(), m_rules->toleratedLosses - lost);
    const std::size_t count = 1 + m_random() % most;
    const auto kind = m_random() % 7;
    static const char *const names[] = {"loses its disk",
                                        "is replaced",
                                        "is cut off",
                                        "freezes",
                                        "restarts as planned",
                                        "is replaced as planned",
                                        "and others: seeds change"};
    for (std::size_t i = 0; i < count; ++i) {
        const std::string &id = sound[i];
        recordEvent(id + " " + names[kind]);
        const milliseconds duration(1000 + m_random() % 5500);
        switch (kind) {
        case 0:
            crash(id, true);
            m_members.at(id).lostUntil = m_members.at(id).restartTime + m_rules->catchUp;
            break;
        case 1:
            replace(id, milliseconds(1000));
            break;
        case 2:
            cutOff(id, duration);
            break;
        case 3:
            freeze(id, duration);
            break;
        case 4:
            endAsPlanned(id, milliseconds(1000));
            m_members.at(id).lostUntil = m_now + plannedEndTimeout + milliseconds(1000) + m_rules->catchUp;
            break;
        case 5:
            replaceAsPlanned(id, plannedReplacementGap);
            return; // one at a time, as operators do it
        default:
            changeSeeds();
            return;
        }
    }
}

void SimulatedGroup::stepMembership()
{
    // The first election of a group needs all of its members, so no host is lost before that.
    if (m_now >= Time{} + m_rules->catchUp && chance(m_faults.membership)) {
        addMembershipEvent();
    }
    for (auto &[id, member] : m_members) {
        if (!member.raft || m_now < member.frozenUntil) {
            continue;
        }
        if (m_now < member.endTime) {
            requestJoin(member);
        } else {
            continuePlannedEnd(member);
        }
    }
    checkMembership();
}

bool SimulatedGroup::votersAreRunningHosts() const
{
    const auto leaderId = leader();
    if (leaderId.empty()) {
        return false;
    }
    const Raft &raft = *m_members.at(leaderId).raft;
    std::set<std::string> voters;
    for (const auto &member : raft.log().config().members()) {
        if (member.voter() && m_members.at(member.id()).identity == member.identity()) {
            voters.insert(member.id());
        }
    }
    std::set<std::string> running;
    for (const auto &[id, member] : m_members) {
        if (member.raft) {
            running.insert(id);
        }
    }
    return raft.log().configIndex() <= raft.commit() && voters == running;
}

bool SimulatedGroup::listsVoter(const std::string &id) const
{
    const auto leaderId = leader();
    if (leaderId.empty()) {
        return true;
    }
    const auto &members = m_members.at(leaderId).raft->log().config().members();
    return std::any_of(members.begin(), members.end(),
                       [&id](const auto &member) { return member.id() == id && member.voter(); });
}

// Rules M1 and M2: once no host is lost any more, and after an election at most, the voters are the running hosts.
void SimulatedGroup::checkMembership()
{
    const bool settled = lostHosts() == 0 && std::all_of(m_members.begin(), m_members.end(), [this](const auto &item) {
                             return item.second.gone || (m_now >= item.second.soundFrom && m_now < item.second.endTime);
                         });
    if (!settled || m_now < Time{} + m_rules->catchUp) {
        m_lastLoss = m_now;
    }
    if (m_now >= m_lastLoss + electionTime && !votersAreRunningHosts()) {
        for (const auto &[id, member] : m_members) {
            recordEvent(describe(member));
        }
        check(false, "the voters are not the running hosts although no host is lost");
    }
}

void SimulatedGroup::settleAndCheckMembership()
{
    stopFaults();
    run(settlingTime);
    check(lostHosts() == 0 && votersAreRunningHosts(), "the voters are not the running hosts at the end");
    const auto committed = m_stats.committed;
    propose(m_members.at(leader()));
    run(milliseconds(1000));
    check(m_stats.committed > committed, "no entry is committed at the end");
}

} // namespace banyanledge
