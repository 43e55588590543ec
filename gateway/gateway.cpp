#include "gateway/gateway.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "gateway/forward.h"
#include "gateway/text.h"

namespace banyanledge
{

namespace
{

// Maximum number of hosts in the response to a look-up.
constexpr std::size_t maxLookupHosts = 64;

// Requests per second of a customer below which a host without a share of the customer's rate reports no demand.
constexpr double minReportedDemand = 0.01;

} // namespace

class Gateway::Private : public GatewayState
{
public:
    using GatewayState::GatewayState;
};

Gateway::Gateway(asio::io_context &loop, Options options)
    : d(std::make_shared<Private>(loop, std::move(options)))
{
}

Gateway::~Gateway() = default;

void Gateway::setView(const std::shared_ptr<const View> &view)
{
    d->setView(view, Clock::now());
}

void Gateway::confirmView(Time confirmedAt)
{
    d->viewConfirmedAt = std::max(d->viewConfirmedAt, confirmedAt);
}

std::optional<Duration> Gateway::viewAge(Time now) const
{
    return d->viewAge(now);
}

void Gateway::applySyncReply(const proto::SyncRequest &request, const proto::SyncReply &reply)
{
    const Time now = Clock::now();
    std::set<std::string> withShare;
    for (const auto &share : reply.shares()) {
        d->buckets[share.customer()].setShare(share.rate(), share.burst(), now);
        withShare.insert(share.customer());
    }
    for (auto &[customer, bucket] : d->buckets) {
        if (!withShare.contains(customer)) {
            bucket.setShare(0, 0, now);
        }
    }
    d->updateFleetLoads(request, reply, now);
    d->applyNamedLimits(reply, now);
    d->meanRegionRequestRate = reply.region_request_rate();
    d->blocker.applyReply(reply, now);
}

void Gateway::report(proto::SyncRequest &request) const
{
    const Time now = Clock::now();
    request.set_request_rate(d->requestRate.perSecond(now));
    for (const auto &[customer, bucket] : d->buckets) {
        if (bucket.share() <= 0 && bucket.demand(now) < minReportedDemand) {
            continue;
        }
        auto *customerRate = request.add_rates();
        customerRate->set_customer(customer);
        customerRate->set_demand(bucket.demand(now));
        customerRate->set_held(bucket.share());
    }
    d->blocker.addReport(request, now);
    d->addNamedLimits(request, now);
    d->addProcessReports(request);
    for (const auto &[id, state] : d->servers) {
        if (state.inFlight > 0) {
            auto *load = request.add_servers();
            load->set_server(shortServerHash(id));
            load->set_in_flight(state.inFlight);
        }
    }
}

void Gateway::handle(std::shared_ptr<HttpCall> call)
{
    std::make_shared<ForwardedRequest>(*d, std::move(call))->start();
}

bool Gateway::mayPipeline(const HttpHead &head) const
{
    const auto *route = d->routing->route(headerValue(head.headers, "Host"), targetPath(head.target));
    return route == nullptr || route->kind() == proto::REQUEST_SAFE;
}

bool Gateway::ready() const
{
    return d->routing->version() > 0 && !d->routing->servers().empty();
}

HttpLimits Gateway::limits() const
{
    HttpLimits limits;
    const auto &declaration = d->routing->view().declaration();
    if (declaration.has_limits()) {
        const auto &declared = declaration.limits();
        limits.maxHeaderBytes = declared.max_header_bytes() > 0 ? declared.max_header_bytes() : limits.maxHeaderBytes;
        limits.maxBodyBytes = declared.max_body_bytes() > 0 ? declared.max_body_bytes() : limits.maxBodyBytes;
        if (declared.header_timeout_ms() > 0) {
            limits.headerTimeout = milliseconds(declared.header_timeout_ms());
        }
        if (declared.idle_timeout_ms() > 0) {
            limits.idleTimeout = milliseconds(declared.idle_timeout_ms());
        }
    }
    return limits;
}

std::vector<std::string> Gateway::hostsFor(const std::string &region, const std::string &zone) const
{
    std::vector<std::string> regionAddresses;
    std::vector<std::string> allAddresses;
    for (const auto *host : d->routing->hosts()) {
        allAddresses.push_back(host->http_address());
        const bool inRegion = region.empty() ? host->availability_zone() == zone : host->region() == region;
        if (inRegion) {
            regionAddresses.push_back(host->http_address());
        }
    }
    std::vector<std::string> &addresses = regionAddresses.empty() ? allAddresses : regionAddresses;
    std::shuffle(addresses.begin(), addresses.end(), d->random);
    addresses.resize(std::min(addresses.size(), maxLookupHosts));
    return addresses;
}

std::shared_ptr<ByteBudget> Gateway::responseBudget() const
{
    return d->responseBudget;
}

std::size_t Gateway::inFlight() const
{
    return d->requests.size();
}

void Gateway::beginStop(Time end)
{
    d->stopTime = end;
    for (ForwardedRequest *request : d->requests) {
        request->endBy(end);
    }
}

} // namespace banyanledge
