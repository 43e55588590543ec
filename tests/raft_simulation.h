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
    SimulatedGroup(std::uint64_t seed, int size, const FaultRates &faults);

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
    };

    bool chance(double probability); // true with this probability
    Duration randomDuration(milliseconds max);
    void step();
    void addFaults();
    void propose(Member &member);
    void start(Member &member);
    Time localTime(const Member &member) const; // time on the member's clock, which may be slow
    void setClock(Member &member, double rate);
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
