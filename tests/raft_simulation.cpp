#include "raft_simulation.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

constexpr milliseconds stepDuration{5};
constexpr std::uint64_t snapshotEntries = 40; // applied entries between two snapshots
constexpr std::uint64_t trailingEntries = 10; // entries that stay in the log after a snapshot

// Slow enough that a partitioned leader does not step down before its successor is elected.
constexpr double slowClockRate = 0.2;

// Tables are compared at every multiple of this index only, because images grow with the log.
constexpr std::uint64_t tableCheckInterval = 16;

std::uint64_t hashOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

SimulatedGroup::SimulatedGroup(std::uint64_t seed, int size, const FaultRates &faults,
                               const std::optional<HostRules> &rules)
    : m_seed(seed)
    , m_random(seed)
    , m_faults(faults)
    , m_rules(rules)
    , m_hostCount(size)
{
    for (int i = 1; i <= size; ++i) {
        auto *member = m_config.add_members();
        member->set_id("c" + std::to_string(i));
        member->set_rpc_address(member->id());
        member->set_voter(true);
        m_seeds.push_back(member->id());
    }
    for (const auto &configured : m_config.members()) {
        auto &member = m_members[configured.id()];
        member.id = configured.id();
        eraseDisk(member);
        start(member);
    }
}

void SimulatedGroup::check(bool holds, const std::string &property) const
{
    if (!holds) {
        const auto ms = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
        std::string events;
        for (const auto &event : m_events) {
            events += "\n" + event;
        }
        FAIL(property << ", seed " << m_seed << ", virtual time " << ms << " ms" << events);
    }
}

bool SimulatedGroup::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration SimulatedGroup::randomDuration(milliseconds max)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, Duration(max).count())(m_random));
}

Time SimulatedGroup::localTime(const Member &member) const
{
    const auto ticks = static_cast<double>((m_now - member.clockSet).count()) * member.clockRate;
    return member.clockStart + Duration(static_cast<Duration::rep>(ticks));
}

void SimulatedGroup::setClock(Member &member, double rate)
{
    member.clockStart = localTime(member);
    member.clockSet = m_now;
    member.clockRate = rate;
}

void SimulatedGroup::slowClock(const std::string &id)
{
    setClock(m_members.at(id), slowClockRate);
}

void SimulatedGroup::eraseDisk(Member &member)
{
    member.identity = "folder" + std::to_string(++m_folderCount);
    member.hardState = {};
    member.hardState.set_identity(member.identity);
    member.snapshot = {};
    member.entries.clear();
}

void SimulatedGroup::start(Member &member)
{
    RaftState state;
    state.hardState = member.hardState;
    state.snapshotIndex = member.snapshot.last_index();
    state.snapshotTerm = member.snapshot.last_term();
    const bool starts = !m_rules || m_now == Time{}; // as one of the first hosts of a new group
    state.config = state.snapshotIndex > 0 ? member.snapshot.config() : starts ? m_config : proto::LogConfig();
    state.entries = member.entries;
    RaftOptions options;
    if (m_rules) {
        options.removeUnreachableAfter = m_rules->removeUnreachableAfter;
        options.minQuorum = m_rules->toleratedLosses + 1;
        if (!starts) {
            replaceGoneSeeds();
        }
        member.contacts = std::make_unique<GroupContacts>(member.id, m_seeds);
        member.learnedAddresses.clear();
    }
    options.id = member.id;
    options.identity = member.identity;
    // An election takes two round trips, one for the pre-votes and one for the votes.
    options.electionTimeout = std::max<Duration>(options.electionTimeout, 4 * m_faults.latency);
    options.seed = m_random();
    setClock(member, chance(m_faults.slowClock) ? slowClockRate : 1);
    member.raft = std::make_unique<Raft>(options, state, localTime(member));
    member.lastLeaderTime = localTime(member);
    member.table = Table();
    if (state.snapshotIndex > 0) {
        member.table.restore(member.snapshot.image());
    }
    member.appliedConfig = state.config;
    member.appliedTerm = state.snapshotTerm;
}

void SimulatedGroup::crash(const std::string &id, bool loseDisk)
{
    auto &member = m_members.at(id);
    member.raft.reset();
    member.inbox.clear();
    member.frozenUntil = m_now;
    member.restartTime = m_now + randomDuration(milliseconds(1500));
    if (loseDisk) {
        eraseDisk(member);
        ++m_stats.disksLost;
    }
}

void SimulatedGroup::isolate(const std::string &id)
{
    m_isolated.insert(id);
    m_partitionEnd = m_now + milliseconds(3000);
}

void SimulatedGroup::send(const proto::RaftMessage &message, Duration sendDelay)
{
    if (m_rules && !knowsAddress(m_members.at(message.from()), message.to())) {
        return;
    }
    const auto delay = [this, sendDelay] {
        return sendDelay + m_faults.latency
            + randomDuration(chance(m_faults.delayed) ? milliseconds(400) : milliseconds(5));
    };
    if (!chance(m_faults.loss)) {
        m_network.emplace(m_now + delay(), message);
    }
    if (chance(m_faults.duplicate)) {
        m_network.emplace(m_now + delay(), message);
    }
}

void SimulatedGroup::persist(Member &member, const RaftOutput &output)
{
    if (output.hardState) {
        member.hardState = *output.hardState;
    }
    for (const auto &entry : output.entries) {
        auto &storedEntries = member.entries;
        while (!storedEntries.empty() && storedEntries.back().index() >= entry.index()) {
            storedEntries.pop_back();
        }
        storedEntries.push_back(entry);
        const auto hash = hashOf(entry.SerializeAsString());
        const auto existing = m_entryHashes.emplace(std::pair(entry.index(), entry.term()), hash).first;
        check(existing->second == hash, "log matching: two entries with one index and term differ");
        recordHolder(member, entry.index(), entry.index());
    }
}

void SimulatedGroup::installSnapshot(Member &member, const proto::LogSnapshot &snapshot)
{
    check(snapshot.last_index() > member.table.revision(), "applied revision went back");
    if (member.raft->containsLastEntry(snapshot)) {
        std::erase_if(member.entries, [&](const auto &entry) { return entry.index() <= snapshot.last_index(); });
    } else {
        member.entries.clear();
    }
    recordHolder(member, member.table.revision() + 1, snapshot.last_index());
    member.snapshot = snapshot;
    member.table.restore(snapshot.image());
    member.appliedConfig = snapshot.config();
    member.appliedTerm = snapshot.last_term();
    member.raft->snapshotInstalled(snapshot, localTime(member));
}

void SimulatedGroup::apply(Member &member)
{
    while (member.table.revision() < member.raft->commit()) {
        const auto index = member.table.revision() + 1;
        const auto &entry = member.raft->log().at(index);
        const auto hash = hashOf(entry.SerializeAsString());
        const auto [committed, isNew] = m_committedHashes.emplace(index, hash);
        check(committed->second == hash, "a committed entry was replaced");
        check(!m_rules || !isNew || m_holders[index].size() > m_rules->toleratedLosses,
              "an entry was committed on too few disks");
        m_stats.committed = m_committedHashes.rbegin()->first;
        m_firstCommitTerm.emplace(index, member.raft->term());
        if (entry.has_command()) {
            (void)member.table.apply(index, entry.command());
        } else {
            member.table.advance(index);
        }
        if (entry.has_config()) {
            member.appliedConfig = entry.config();
        }
        member.appliedTerm = entry.term();
        if (index % tableCheckInterval == 0) {
            const auto tableHash = hashOf(member.table.image().SerializeAsString());
            check(m_tableHashes.emplace(index, tableHash).first->second == tableHash, "tables differ at one index");
        }
    }
    if (member.table.revision() >= member.snapshot.last_index() + snapshotEntries) {
        takeSnapshot(member);
    }
}

void SimulatedGroup::takeSnapshot(Member &member)
{
    const auto index = member.table.revision();
    member.snapshot.set_last_index(index);
    member.snapshot.set_last_term(member.appliedTerm);
    *member.snapshot.mutable_config() = member.appliedConfig;
    *member.snapshot.mutable_image() = member.table.image();
    std::erase_if(member.entries, [index](const auto &entry) { return entry.index() <= index; });
    member.raft->compact(index - trailingEntries);
}

// Checks that each term has at most one leader, and that a new leader has every entry that was committed in an earlier
// term. Delayed votes can still elect the leader of a past term; it need not have entries that later terms committed.
void SimulatedGroup::checkLeader(const Member &member)
{
    const auto name = member.id + " " + member.identity;
    const auto [existing, isNew] = m_leaders.emplace(member.raft->term(), name);
    check(existing->second == name, "two leaders in one term");
    m_stats.leaders = m_leaders.size();
    const auto &log = member.raft->log();
    for (auto it = m_committedHashes.upper_bound(log.baseIndex()); isNew && it != m_committedHashes.end(); ++it) {
        const auto &[index, hash] = *it;
        const bool containsEntry = index <= log.lastIndex() && hashOf(log.at(index).SerializeAsString()) == hash;
        check(containsEntry || m_firstCommitTerm.at(index) >= member.raft->term(), "a leader lacks a committed entry");
    }
}

void SimulatedGroup::processOutput(Member &member)
{
    for (;;) {
        if (member.raft->role() == Raft::Role::Leader) {
            checkLeader(member);
        }
        auto output = member.raft->output(localTime(member));
        if (output.empty()) {
            apply(member);
            return;
        }
        checkPromotions(member, output);
        const bool writes = output.hardState || !output.entries.empty() || output.snapshot;
        if (writes && chance(m_faults.crash / 2)) {
            crash(member.id, false);
            return;
        }
        std::for_each(output.heartbeats.begin(), output.heartbeats.end(), [this](const auto &each) { send(each); });
        const Duration syncTime = writes ? m_faults.syncTime : milliseconds(0);
        member.frozenUntil = std::max(member.frozenUntil, m_now + syncTime);
        const bool stored = !writes || !chance(m_faults.diskFull);
        if (stored) {
            persist(member, output);
            member.raft->persisted(localTime(member));
            if (output.snapshot) {
                installSnapshot(member, *output.snapshot);
            }
        } else {
            member.raft->persistFailed(localTime(member));
        }
        if (writes && chance(m_faults.crash / 2)) {
            crash(member.id, false);
            return;
        }
        // Messages may acknowledge what this output stored, so a failed sync drops them; heartbeats do not.
        if (stored) {
            std::for_each(output.messages.begin(), output.messages.end(),
                          [this, syncTime](const auto &each) { send(each, syncTime); });
        }
        for (const auto &to : output.snapshotRecipients) {
            send(member.raft->snapshotMessage(to, member.snapshot, localTime(member)));
        }
        apply(member);
        for (const auto &read : output.reads) {
            check(!read.index || *read.index >= m_readFloors.at(read.id), "a read missed a committed entry");
            m_stats.reads += read.index ? 1 : 0;
        }
    }
}

void SimulatedGroup::propose(Member &member)
{
    proto::Command command;
    const auto number = std::to_string(m_random() % 20);
    command.set_change_id("change" + std::to_string(m_random() % 10000));
    command.set_time_ms(static_cast<std::int64_t>(m_stats.proposals) * 1000);
    if (chance(0.3)) {
        command.mutable_create_customer()->set_name("customer" + number);
    } else if (chance(0.5)) {
        auto *row = command.mutable_put_row();
        row->mutable_row()->set_service("service" + number);
        row->mutable_row()->set_region("*");
        row->mutable_row()->set_customer("*");
        row->mutable_row()->set_weight(5);
        row->set_expected_version(m_random() % 4);
    } else {
        auto *claim = command.mutable_claim();
        claim->set_customer("customer" + number);
        claim->set_request_id("request" + number);
        claim->set_host("e1");
    }
    if (member.raft->propose(command)) {
        ++m_stats.proposals;
    }
}

void SimulatedGroup::addFaults()
{
    const auto randomMember = [this]() -> Member & {
        auto it = m_members.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random() % m_members.size()));
        return it->second;
    };
    if (m_now >= m_partitionEnd) {
        m_isolated.clear();
    }
    if (chance(m_faults.partition)) {
        m_isolated.clear();
        for (const auto &[id, member] : m_members) {
            if (chance(0.4)) {
                m_isolated.insert(id);
            }
        }
        m_partitionEnd = m_now + randomDuration(milliseconds(2000));
    }
    if (chance(m_faults.freeze)) {
        randomMember().frozenUntil = m_now + randomDuration(milliseconds(2000));
    }
    if (chance(m_faults.loseDisk) && allMembersAreVoters()) {
        crash(randomMember().id, true);
    }
    const auto leaderId = leader();
    if (chance(m_faults.changeMembers) && !leaderId.empty()) {
        // Operators can request several changes at once; the leader must accept only one of them.
        for (int i = 0; i < 3; ++i) {
            changeMember(m_members.at(leaderId), m_config.members(static_cast<int>(m_random() % m_members.size())));
        }
    }
}

bool SimulatedGroup::hasMember(const Member &leaderMember, const std::string &id)
{
    const auto &members = leaderMember.raft->log().config().members();
    return std::any_of(members.begin(), members.end(), [&id](const auto &known) { return known.id() == id; });
}

// Removes a member, or adds it if it is not in the group.
void SimulatedGroup::changeMember(Member &leaderMember, const proto::LogMember &member)
{
    const auto kind = hasMember(leaderMember, member.id()) ? MemberChange::Remove : MemberChange::Add;
    (void)leaderMember.raft->changeMember(member, kind);
}

// Checks that a learner becomes a voter only after it has synced every committed entry.
void SimulatedGroup::checkPromotions(const Member &leaderMember, const RaftOutput &output) const
{
    for (const auto &entry : output.entries) {
        if (!entry.has_config() || leaderMember.raft->role() != Raft::Role::Leader || entry.index() == 1) {
            continue;
        }
        const auto &before = leaderMember.raft->log().configAt(entry.index() - 1).members();
        for (const auto &voter : entry.config().members()) {
            const bool wasVoter = std::any_of(before.begin(), before.end(), [&voter](const auto &member) {
                return member.id() == voter.id() && member.voter();
            });
            const auto &member = m_members.at(voter.id());
            const auto lastIndex =
                member.entries.empty() ? member.snapshot.last_index() : member.entries.back().index();
            check(!voter.voter() || wasVoter || member.identity != voter.identity()
                      || lastIndex >= leaderMember.raft->commit(),
                  "a learner was promoted before it had synced everything committed");
        }
    }
}

void SimulatedGroup::step()
{
    m_now += stepDuration;
    addFaults();
    if (m_rules) {
        stepMembership();
    }
    for (auto &[id, member] : m_members) {
        if (!member.raft && !member.gone && m_now >= member.restartTime) {
            start(member);
        }
        if (!member.raft || m_now < member.frozenUntil) {
            continue;
        }
        for (const auto &message : std::exchange(member.inbox, {})) {
            member.raft->step(message, localTime(member));
        }
        member.raft->tick(localTime(member));
        if (member.raft->role() == Raft::Role::Leader && chance(m_rules ? 0.03 : 0.3)) {
            propose(member);
        }
        if (member.raft->role() == Raft::Role::Leader && chance(0.1)) {
            m_readFloors[m_nextReadId] = m_committedHashes.empty() ? 0 : m_committedHashes.rbegin()->first;
            member.raft->read(m_nextReadId++);
        }
        processOutput(member);
    }
    while (!m_network.empty() && m_network.begin()->first <= m_now) {
        const auto message = std::move(m_network.extract(m_network.begin()).mapped());
        auto &to = m_members.at(message.to());
        if (!to.raft || !connected(message.from(), message.to())) {
            continue;
        }
        to.learnedAddresses.insert(message.from());
        if (m_now < to.frozenUntil) {
            to.inbox.push_back(message);
            continue;
        }
        to.raft->step(message, localTime(to));
        processOutput(to);
    }
}

void SimulatedGroup::run(milliseconds duration)
{
    for (const auto end = m_now + duration; m_now < end;) {
        step();
    }
}

void SimulatedGroup::stopFaults()
{
    m_faults = {};
    m_isolated.clear();
}

void SimulatedGroup::healAndCheckProgress()
{
    stopFaults();
    const auto targetIndex = m_stats.committed + 1;
    const auto allReached = [&] {
        return std::all_of(m_members.begin(), m_members.end(), [&](const auto &item) {
            return item.second.raft && item.second.table.revision() >= targetIndex;
        });
    };
    for (const auto end = m_now + milliseconds(60000); !allReached();) {
        check(m_now < end, "no progress on every member after the faults ended");
        const auto leaderId = leader();
        for (const auto &member : m_config.members()) {
            if (!leaderId.empty() && !hasMember(m_members.at(leaderId), member.id())) {
                changeMember(m_members.at(leaderId), member);
            }
        }
        step();
    }
}

std::string SimulatedGroup::leader() const
{
    std::string found;
    std::uint64_t term = 0;
    for (const auto &[id, member] : m_members) {
        if (member.raft && member.raft->role() == Raft::Role::Leader && member.raft->term() > term) {
            found = id;
            term = member.raft->term();
        }
    }
    return found;
}

bool SimulatedGroup::allMembersAreVoters() const
{
    const auto leaderId = leader();
    if (leaderId.empty()) {
        return false;
    }
    const auto &log = m_members.at(leaderId).raft->log();
    const auto &config = log.config();
    const bool configCommitted = log.configIndex() <= m_members.at(leaderId).raft->commit()
        && log.term(m_members.at(leaderId).raft->commit()) == m_members.at(leaderId).raft->term();
    return configCommitted && config.members_size() == m_config.members_size()
        && std::all_of(config.members().begin(), config.members().end(), [this](const auto &member) {
               return member.voter() && member.identity() == m_members.at(member.id()).identity;
           });
}

const RunStats &SimulatedGroup::stats() const
{
    return m_stats;
}

} // namespace banyanledge
