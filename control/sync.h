// Answers the Sync calls of entry hosts on the leader and keeps the leader's state of the fleet.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>

#include "control/blocks.h"
#include "control/loads.h"
#include "control/members.h"
#include "control/namedlimits.h"
#include "control/processreports.h"
#include "control/serverloads.h"
#include "control/tableobjects.h"
#include "decide/shares.h"
#include "ledger/node.h"

namespace banyanledge
{

// A call is held for at most this time while nothing changes, so that a host renews its lease several times within
// freshnessLease.
constexpr milliseconds maxSyncHold{400};

// All functions run on the thread of the event loop, except where a comment says otherwise.
class SyncHandler
{
public:
    using Done = std::function<void(const proto::SyncReply &)>;

    SyncHandler(asio::io_context &loop, Node &node, RateTolerance tolerance = {});

    // Handles a call. `done` is called with the reply, possibly later.
    void handle(const proto::SyncRequest &request, Done done);

    // Grants a host tokens from the customers' token pools. Returns ERROR_UNAVAILABLE unless this host leads.
    proto::TakeTokensReply takeTokens(const proto::TakeTokensRequest &request);

    // Updates the role and the objects from the node. Called on each change of the node and on each tick.
    void refresh(Time now);

    // Answers the held calls that are due, declares silent members gone and removes members after their retention.
    void tick(Time now);

    // Answers every call with ERROR_UNAVAILABLE.
    void stop();

    bool leading() const;
    const proto::ControlStatus &status() const;
    const TableObjects &objects() const;
    const Liveness &liveness() const;
    FleetLoads &loads();
    RequestBlocks &requestBlocks();

    // Proposes a command from systemCommand(), decided on objects(), and logs a refusal. `done` is called with the
    // result on the event loop.
    void proposeSystem(proto::Command command, const std::function<void(const proto::CommandResult &)> &done = {});

private:
    struct Call
    {
        proto::SyncRequest request;
        Done done;
        Time arrived{};
    };
    using Calls = std::list<Call>;

    // Registers the member of an arrived call if the table does not show it as the call does.
    void registerIfNeeded(Calls::iterator call, Time now);
    void registerMember(Calls::iterator call, const proto::Member &member);
    void endRegistration(const std::string &host, std::uint64_t incarnation, const proto::CommandResult &result);
    void proposeProcessReports();
    void forgetEndedProcesses(const proto::TableContent &content, Time now);
    void startRound();
    void endRound(bool isLeader);
    void answerHeld(Time now);
    void declareGoneMembers(Time now);
    void removeGoneMembers(Time now);
    bool shouldHold(const Call &call, Time now) const;
    void answer(const Call &call, Time now);
    bool isSuperseded(const Call &call) const;
    void refuse(const Call &call, proto::ErrorKind kind, const std::string &message);
    void refuseSuperseded(const Call &call);
    void refuseAll(const std::string &message);
    const std::string &contentPart(Revision since);
    const std::string &fleetStatePart(Time now);
    const std::set<std::string> &entryHosts();
    const proto::DeclaredCustomer *declaredCustomer(const std::string &name);

    asio::io_context &m_loop;
    Node &m_node;
    Calls m_arrived; // wait for the next read-index round
    Calls m_registering; // wait until the change of their member is stored
    Calls m_inRound; // wait for the result of the round
    Calls m_held; // confirmed by a round, wait for a change
    bool m_roundActive = false;
    bool m_stopped = false;
    proto::ControlStatus m_status;
    TableObjects m_objects;
    Liveness m_liveness;
    FleetLoads m_loads;
    const RateTolerance m_rateTolerance;
    RateShareAllocator m_rateShares;
    ServerLoads m_serverLoads;
    NamedLimits m_namedLimits;
    RequestBlocks m_requestBlocks;
    ProcessReports m_processReports;
    std::size_t m_proposedReports = 0; // whose outcome is unknown
    std::map<Revision, std::string> m_contentParts; // common parts by known revision, for one table revision
    Revision m_contentRevision = 0;
    std::string m_fleetStatePart; // common part for all hosts
    Time m_fleetStateBuiltAt{};
    std::set<std::string> m_entryHosts; // ids of the live and leaving entry hosts, which may serve requests
    Revision m_entryHostsRevision = 0;
    std::unordered_map<std::string, const proto::DeclaredCustomer *> m_customers; // by name
    Revision m_customersRevision = 0;
};

} // namespace banyanledge
