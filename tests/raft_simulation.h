// Simulation of a Raft group in virtual time with a simulated network and disks. Faults come from a seeded random
// generator, and Raft's safety properties are checked at each step.
#pragma once

#include <catch2/catch.hpp>
#include <xxhash.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/contacts.h"
#include "ledger/raft.h"
#include "ledger/table.h"

namespace banyanledge
{

// Probabilities of faults, per message, per sync or per 5 ms step.
struct FaultRates
{
    milliseconds latency{}; // one way, of every message
    milliseconds syncTime{}; // during a sync a member neither receives nor sends; at most 1 s
    double loss = 0; // per message
    double duplicate = 0; // per message
    double delayed = 0; // per message: a delay of up to 400 ms instead of up to 5 ms
    double crash = 0; // per sync, half before and half after it
    double diskFull = 0; // per sync
    double partition = 0; // per step: splits the group for up to 2 s
    double freeze = 0; // per step: stops one member for up to 2 s without losing its messages
    double slowClock = 0; // per start: the member's clock runs at a fifth of normal speed
    double loseDisk = 0; // per step, only while allMembersAreVoters()
    double changeMembers = 0; // per step: removes or adds some members
    double membership = 0; // per step, see HostRules: an event that the rules of membership have to bear
};

// Rules of section 4.1 of the design. Hosts then find each other as the product's do: by seeds, by addresses in the
// member list and in messages, and by asking to be added.
struct HostRules
{
    std::size_t toleratedLosses = 2; // hosts that may be lost at once
    milliseconds catchUp{4000}; // a host that is back, or a successor, counts again after this time
    milliseconds removeUnreachableAfter{2000}; // as in control/host.cpp
};

// Counters of a run, which show whether the faults left enough activity for the checks.
struct RunStats
{
    std::uint64_t committed = 0; // highest committed index
    std::size_t proposals = 0;
    std::size_t reads = 0;
    std::size_t leaders = 0; // terms with a leader
    std::size_t disksLost = 0;
};

// A group of members c1, c2, ... that are all voters at the start.
class SimulatedGroup
{
public:
    SimulatedGroup(std::uint64_t seed, int size, const FaultRates &faults,
                   const std::optional<HostRules> &rules = std::nullopt);

    // Runs for the given virtual time with faults, proposals and reads. Fails the test when a safety property is
    // violated.
    void run(milliseconds duration);

    // Ends all faults, adds removed members again and runs until every member has applied a new entry. Fails the test
    // after 60 s of virtual time.
    void healAndCheckProgress();

    // Stops a member, which restarts within 1.5 s, with an empty data folder if `loseDisk` is set.
    void crash(const std::string &id, bool loseDisk);

    // Partitions a member from the others for 3 s.
    void isolate(const std::string &id);

    // Ends a host for good. Its successor, at another address, starts after `gap`.
    void replace(const std::string &id, milliseconds gap);

    // Starts a successor, and ends the host as planned after `gap`.
    void replaceAsPlanned(const std::string &id, milliseconds gap);

    // Cuts a host off, or freezes it, for a time.
    void cutOff(const std::string &id, milliseconds duration);
    void freeze(const std::string &id, milliseconds duration);

    // Ends a host as planned, which first leaves the group. It starts again after `gap` if that is not 0.
    void endAsPlanned(const std::string &id, milliseconds gap);

    // Changes the seeds of all hosts to three of those that run.
    void changeSeeds();

    // Hosts that are lost by the rules at this moment.
    std::size_t lostHosts() const;

    // Returns the hosts that run, are not about to end, and count as not lost.
    std::vector<std::string> soundHosts() const;

    // Returns true if a leader has committed a list whose voters are the running hosts.
    bool votersAreRunningHosts() const;

    // Returns true if the leader's list names the host as a voter, or if there is no leader.
    bool listsVoter(const std::string &id) const;

    // Ends all events, waits until they are over and fails the test unless all running hosts are voters and commit.
    void settleAndCheckMembership();

    // Makes the member's clock run at a fifth of normal speed until it restarts.
    void slowClock(const std::string &id);
    void stopFaults();
    std::string leader() const; // running leader with the highest term; empty if there is none
    bool allMembersAreVoters() const; // by committed config, every member is a voter with its current data folder
    const RunStats &stats() const;

private:
    struct Member
    {
        std::string id;
        std::string identity;
        proto::HardState hardState; // durable, like the next two members
        proto::LogSnapshot snapshot;
        std::vector<proto::LogEntry> entries;
        std::unique_ptr<Raft> raft; // null while crashed
        Table table;
        proto::LogConfig appliedConfig;
        std::uint64_t appliedTerm = 0;
        double clockRate = 1;
        Time clockStart{}; // local time at `clockSet`
        Time clockSet{}; // virtual time at which the clock rate was set
        Time restartTime{}; // virtual time, as the next member
        Time frozenUntil{};
        std::vector<proto::RaftMessage> inbox; // messages received while frozen
        // With HostRules only:
        std::unique_ptr<GroupContacts> contacts;
        std::set<std::string> learnedAddresses; // of hosts whose messages arrived since the start
        Time lastLeaderTime{}; // on the member's clock
        Time nextJoinCheck{};
        Time lostUntil{}; // counts as lost until then
        Time soundFrom{}; // a new host: not chosen for events before this time
        bool gone = false; // ended for good
        Time endTime = Time::max(); // begin of a planned end
        milliseconds restartGap{}; // after a planned end; 0: it does not start again
        std::optional<std::uint64_t> leaveIndex; // log index of the change that removes this host
    };

    bool chance(double probability); // true with this probability
    Duration randomDuration(milliseconds max);
    void step();
    void addFaults();
    void propose(Member &member);
    void start(Member &member);
    Time localTime(const Member &member) const; // time on the member's clock, which may be slow
    void setClock(Member &member, double rate);
    bool connected(const std::string &a, const std::string &b) const;
    bool knowsAddress(const Member &member, const std::string &id) const;
    void addHost(Duration delay);
    Member *leaderFor(Member &member);
    void requestJoin(Member &member);
    void continuePlannedEnd(Member &member);
    void end(Member &member);
    void addMembershipEvent();
    void stepMembership();
    void checkMembership();
    void replaceGoneSeeds();
    void recordEvent(const std::string &event);
    std::string describe(const Member &member) const;
    void recordHolder(const Member &member, std::uint64_t first, std::uint64_t last);
    void eraseDisk(Member &member);
    void processOutput(Member &member);
    void persist(Member &member, const RaftOutput &output);
    void installSnapshot(Member &member, const proto::LogSnapshot &snapshot);
    void apply(Member &member);
    void takeSnapshot(Member &member);
    void send(const proto::RaftMessage &message, Duration sendDelay = {});
    static bool hasMember(const Member &leaderMember, const std::string &id);
    static void changeMember(Member &leaderMember, const proto::LogMember &member);
    void checkPromotions(const Member &leaderMember, const RaftOutput &output) const;
    void checkLeader(const Member &member);
    void check(bool holds, const std::string &property) const;

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    FaultRates m_faults;
    std::optional<HostRules> m_rules;
    std::vector<std::string> m_seeds;
    std::map<std::string, Time> m_cutUntil; // by host
    std::map<std::uint64_t, std::set<std::string>> m_holders; // identities that stored an entry, by its index
    Time m_lastLoss{}; // last moment with a lost or ending host
    int m_hostCount = 0; // hosts started so far
    std::vector<std::string> m_events; // with HostRules: what happened to hosts, for the message of a failed check
    Time m_now{};
    proto::LogConfig m_config;
    std::map<std::string, Member> m_members;
    std::multimap<Time, proto::RaftMessage> m_network;
    std::set<std::string> m_isolated;
    Time m_partitionEnd{};
    std::map<std::uint64_t, std::string> m_leaders; // id and data folder identity by term
    std::map<std::uint64_t, std::uint64_t> m_committedHashes; // entry hash by index
    // Term of the member that first applied an entry, by the entry's index.
    std::map<std::uint64_t, std::uint64_t> m_firstCommitTerm;
    std::map<std::uint64_t, std::uint64_t> m_tableHashes; // table hash by index
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> m_entryHashes; // entry hash by index and term
    std::map<std::uint64_t, std::uint64_t> m_readFloors; // by read id: highest index committed when the read started
    std::uint64_t m_nextReadId = 1;
    RunStats m_stats;
    std::uint64_t m_folderCount = 0; // data folders created so far
};

} // namespace banyanledge
