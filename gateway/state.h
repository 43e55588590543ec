// What the gateway of one host knows and counts, shared by its requests. Used on the loop's thread only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/hostlimits.h"
#include "decide/hostload.h"
#include "decide/placement.h"
#include "decide/spill.h"
#include "gateway/gateway.h"
#include "gateway/routing.h"
#include "gateway/tokenclient.h"
#include "gateway/upstream.h"

namespace banyanledge
{

// Counts of one split, so that each part gets its weight of the requests.
struct SplitState
{
    std::map<std::string, double> credit; // by service
};

// Per service: retries and the requests that other regions run.
struct ServiceState
{
    RetryShare retries;
    Spill spill;
    double overflowAllowance = 0; // requests that may leave a full region at once
};

// Short form of a server's id in reports of loads.
std::uint32_t shortServerHash(const std::string &server);

// Where a request may run.
struct Target
{
    const RoutedServer *server = nullptr;
    ServerState *state = nullptr;
};

class GatewayState
{
public:
    GatewayState(asio::io_context &given, Gateway::Options options);

    void setView(const std::shared_ptr<const View> &view, Time now);

    // Service of the next request on a route, by weight; empty when all weights are 0.
    std::string chooseService(const proto::DeclaredRoute &route);

    RetryBound retryBound() const;

    // Takes the sums of all hosts' requests in flight; `request` is this host's report that they include.
    void updateFleetLoads(const proto::SyncRequest &request, const proto::SyncReply &reply, Time now);

    struct ServerQuery
    {
        const RoutedService *service = nullptr;
        ServiceState *state = nullptr;
        const std::set<std::string> *regions = nullptr; // allowed; nullptr: all
        PlacementRequest request;
    };

    // Server for a request; the end tells why there is none.
    PlacementEnd chooseServer(const ServerQuery &query, Time now, Target &target);

    // Whether the present answer should be the last one on its connection, because this host has more than its part of
    // the callers.
    bool shouldRebalance(Time now);

    asio::io_context &loop;
    const Gateway::Options options;
    Upstream upstream;
    TokenClient tokens;
    std::shared_ptr<const Routing> routing = Routing::build(std::make_shared<const View>());
    std::map<std::string, ServerState> servers;
    std::map<std::string, ServiceState> services;
    std::map<std::string, RateBucket> buckets; // by customer
    std::map<std::string, SplitState> splits; // by route
    std::mt19937_64 random;
    std::size_t inFlight = 0;
    RateAverage responseBytes; // handed to callers
    RateAverage requestRate; // of callers
    double meanRegionRequestRate = 0; // mean of the region's hosts, as last told by the leader; 0: unknown
    Time reuseRestrictedUntil{}; // a kept connection died under a request shortly before

private:
    void updateServers(Time now);
    std::vector<Candidate> candidates(const RoutedService &service, const std::string &region, Time now);
    double coldServerRate(const RoutedService &service, const RoutedServer &server) const;
    void updateServiceSpill(const RoutedService &service, ServiceState &state, Time now);
    double regionLoad(const RoutedService &service, bool home, Time now);

    std::map<std::string, std::string> m_fingerprints; // of servers, as last seen
};

} // namespace banyanledge
