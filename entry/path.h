// Request path: handles look-ups and forwards client requests to backend servers.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/lookup.h"
#include "decide/pacing.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/view.h"
#include "entry/backend.h"
#include "entry/server.h"
#include "fleet/resourcemanager.h"

namespace banyanledge
{

// Functions that the request path calls on the rest of the host; tests replace them by fakes.
struct RequestPathDependencies
{
    std::function<std::shared_ptr<const View>()> view; // newest copy of the table
    std::function<bool(Time)> fresh; // whether this host may rely on its copy at this time (freshness lease)
    // Calls back with true once the lease is valid, or with false at the deadline.
    std::function<void(Time, std::function<void(bool)>)> whenFresh;
    std::function<std::vector<proto::PoolLoad>()> poolLoads;
    std::function<std::map<std::string, double>()> hostLoads;
    // Proposes a command to the replicated log; calls back with its result, or at the deadline with ERROR_TIMEOUT
    // if the outcome is unknown.
    std::function<void(const proto::Command &, Time, std::function<void(const proto::CommandResult &)>)> propose;
    // Takes an amount of tokens of a resource; calls back with the decision, at the deadline at the latest.
    std::function<void(const std::string &, double, Time, std::function<void(AdmissionResult)>)> takeTokens;
    std::function<void(const std::string &, double)> returnTokens;
    // Acquires a slot of a backend server; a lease with an error kind when none is granted.
    std::function<void(const SlotRequest &, std::function<void(SlotLease)>)> acquireSlot;
    // Releases a slot with the outcome of the attempt and its latency until the first byte.
    std::function<void(const SlotLease &, proto::Outcome, Duration)> releaseSlot;
};

// Traffic of this host over one link between regions.
struct LinkUsage
{
    ShortBodyAllowance shortBytes;
    unsigned activeLongBodies = 0; // number of long bodies in transfer
};

// State that all requests of this host share.
struct RequestPathState
{
    RequestPathDependencies deps;
    proto::EntrySettings settings;
    proto::Member self;
    BackendClient *backend = nullptr;
    std::shared_ptr<asio::io_context> context; // requests may outlive the server

    std::mutex routingStateMutex; // guards `routingState`
    RoutingState routingState;
    std::mutex retryBudgetsMutex; // guards `retryBudgets`
    std::map<std::string, RetryBudget> retryBudgets; // by service
    std::mutex linksMutex; // guards the next members up to `entryHosts`
    std::map<std::string, LinkUsage> links; // by resource
    Revision entryHostsRevision = 0; // of the table from which `entryHosts` was counted
    unsigned entryHosts = 0; // live ones, which share the link capacity reserved for short bodies
    const std::shared_ptr<std::atomic<unsigned>> inFlight = std::make_shared<std::atomic<unsigned>>(0);
    ClientBlocks clientBlocks; // regions by client address; immutable after the start
    std::atomic<std::shared_ptr<const HostIndex>> hostIndex; // of the newest copy of the table that a look-up used
};

// Entry point for the client requests of one host.
class RequestPath
{
public:
    // `settings` holds the limits; `self` gives the id of this host for claims and its region for routing.
    RequestPath(RequestPathDependencies deps, const proto::EntrySettings &settings, proto::Member self,
                BackendClient &backend, std::shared_ptr<asio::io_context> context, ClientBlocks clientBlocks = {});

    // Handles one client request; safe from any thread.
    void handle(Request request, ResponseWriter response);

    // Number of requests whose response has not been written completely or whose claim has not been settled.
    unsigned inFlight() const;

private:
    std::shared_ptr<RequestPathState> m_shared;
};

} // namespace banyanledge
