// State that all requests of one gateway share. Used on the event loop's thread only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "decide/hash.h"
#include "decide/hostlimits.h"
#include "decide/hostload.h"
#include "decide/placement.h"
#include "decide/spill.h"
#include "gateway/blocker.h"
#include "gateway/gateway.h"
#include "gateway/notice.h"
#include "gateway/processcheck.h"
#include "gateway/routing.h"
#include "gateway/tokenclient.h"
#include "gateway/upstream.h"

namespace banyanledge
{

class ForwardedRequest;

// Retry-After of a request that was not executed because of a lack of capacity, a missing reply to a token request or a
// timeout. Also the minimum Retry-After of a customer that exceeded its rate limit.
constexpr milliseconds retryAfterOverload{250};

// State of the weighted round robin between the services of one route.
struct SplitState
{
    std::map<std::string, double> credit; // by service
};

// State of one service: its retry budget and the share of requests that other regions serve.
struct ServiceState
{
    HostRetryBudget retries;
    SpillState spill;
    double overflowAllowance = 0; // requests that may leave a region whose servers are at capacity
};

// The backend server selected for a request.
struct Target
{
    const RoutedServer *server = nullptr;
    ServerState *state = nullptr;
    std::optional<Time> pauseEnd; // when the first server wants requests again, if none was selected as all pause
};

class GatewayState
{
public:
    GatewayState(asio::io_context &eventLoop, Gateway::Options options);

    // Applies a new copy of the table.
    void setView(const std::shared_ptr<const View> &view, Time now);

    // Service for the next request of a route by smooth weighted round robin; empty when all weights are 0.
    std::string chooseService(const proto::DeclaredRoute &route);

    // Limits on retries, from the settings.
    RetryBudgetConfig retryBudgetConfig() const;

    // Updates the requests in flight of the other hosts at each server. The reply holds the sums over all hosts, and
    // `request` this host's part of them.
    void updateFleetLoads(const proto::SyncRequest &request, const proto::SyncReply &reply, Time now);

    // Records what a server said of itself in a response. `isWhole`: the response is a normal one of the server, so a
    // statement that it lacks is no longer made.
    void recordNotice(const Target &target, const ServerNotice &notice, bool isWhole, const std::string &requestId,
                      Time now);

    // Record what this host saw of a server's process: it refused a connection, it responded.
    void recordServerEnd(const std::string &server, Time now);
    void recordServerResponse(const RoutedServer &server, Time now);

    // Checks whether the server's process has ended or started anew, records the result and calls `done`.
    void checkProcess(const RoutedServer &server, const ProcessCheck::Done &done);

    // Adds what this host saw of processes and the table does not hold yet.
    void addProcessReports(proto::SyncRequest &request) const;

    // Applies the leader's newest statements of servers about their limits.
    void applyNamedLimits(const proto::SyncReply &reply, Time now);

    // Adds what servers said about their limits in responses to this host.
    void addNamedLimits(proto::SyncRequest &request, Time now) const;

    // Service, regions and placement parameters by which chooseServer() selects a server for a request.
    struct ServerQuery
    {
        const RoutedService *service = nullptr;
        ServiceState *state = nullptr;
        const std::set<std::string> *regions = nullptr; // allowed regions; nullptr: all
        PlacementRequest request;
    };

    // Selects a server for a request and stores it in `target`; any other result than Chosen tells why there is none.
    PlacementStatus chooseServer(const ServerQuery &query, Time now, Target &target);

    // Whether new requests may be sent to the server: it is in the table, and neither leaving nor drained.
    bool mayReceiveRequests(const std::string &server) const;

    // Time since the copy of the table was last confirmed to be current; nullopt before the first confirmation.
    std::optional<Duration> viewAge(Time now) const;

    // Whether to close the client's connection after the current response, because this host gets more requests than
    // the mean host of its region. Random, with a probability that grows with the imbalance.
    bool shouldRebalance(Time now);

    asio::io_context &loop;
    const Gateway::Options options;
    const std::shared_ptr<ByteBudget> responseBudget; // bytes of responses that clients have not been sent yet
    Upstream upstream;
    TokenClient tokens;
    ProcessCheck processCheck;
    RequestBlocker blocker;
    std::shared_ptr<const Routing> routing = Routing::build(std::make_shared<const View>());
    Time viewConfirmedAt{}; // the copy holds everything committed at this time
    std::map<std::string, ServerState> servers;
    std::map<std::string, ServiceState> services;
    std::map<std::string, RateBucket> buckets; // by customer
    std::map<std::string, SplitState> splits; // by route
    std::mt19937_64 random;
    std::set<ForwardedRequest *> requests; // of clients, in progress
    std::optional<Time> stopTime; // all requests have to be answered by then, because this host ends
    RateEstimator responseBytes; // bytes of response bodies sent to clients
    RateEstimator requestRate; // requests of clients
    double meanRegionRequestRate = 0; // per second, of the region's hosts, from the leader; 0: unknown
    // Until then unsafe requests reuse only connections that were idle for a short time. Set when a request failed on a
    // reused connection.
    Time reuseRestrictedUntil{};

private:
    void updateServers(Time now);
    void updateProcesses(Time now);
    void onIdleLost(const std::string &server);
    void onProcessChecked(const RoutedServer &server, const ProcessCheckResult &result, Time now);
    void sendReport();
    milliseconds declaredWarmup(const std::string &service) const;
    // Servers of one service and region, in the order of RoutedService::serversByRegion.
    using RegionCandidates = std::vector<Candidate>;

    void updateCandidates();
    const RegionCandidates &candidates(const RoutedService &service, const std::string &region, Time now);
    void recordHostChange(const std::shared_ptr<const Routing> &previous, Time now);
    void forgetFormerHosts(Time now);
    double warmupRate(const RoutedService &service, const RoutedServer &server) const;
    double warmupRateAmong(const Routing &hosts, const RoutedService &service, const RoutedServer &server) const;
    LimitSharers positionAmong(const Routing &hosts, const RoutedServer &server,
                               const std::function<bool(const proto::Member &)> &isIncluded) const;
    LimitSharers limitSharers(const RoutedService &service, const RoutedServer &server) const;
    void updateServiceSpill(const RoutedService &service, ServiceState &state, Time now);
    // Mean load per slot of the healthy servers of a service in the host's own region, or in all other regions.
    double loadPerSlot(const RoutedService &service, bool inHomeRegion, Time now);

    // Candidates of every service of `routing`, by region. Kept because a request must not cost a look-up of each
    // server.
    std::unordered_map<const RoutedService *, std::map<std::string, RegionCandidates>> m_candidates;

    // List of hosts that was in force until lately. Other hosts may still act by it.
    struct FormerHosts
    {
        std::shared_ptr<const Routing> routing;
        Time until{};
    };
    std::vector<FormerHosts> m_formerHosts; // oldest first

    // RoutedServer::fingerprint of the last use, by server id; empty while a server gets no requests.
    std::map<std::string, std::string> m_fingerprints;

    std::shared_ptr<bool> m_reportDue = std::make_shared<bool>(false); // a report is about to be sent
};

} // namespace banyanledge
