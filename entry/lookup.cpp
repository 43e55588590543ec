#include "entry/lookup.h"

#include <xxhash.h>

#include "base/log.h"
#include "base/metrics.h"
#include "decide/lookup.h"
#include "entry/refusal.h"

namespace banyanledge
{

namespace
{

// Maximum number of entry hosts in one response.
constexpr std::size_t maxHosts = 8;

// Returns the value of a hexadecimal digit, or -1 if the character is none.
int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// Decodes percent-encoded bytes and '+' as a space. An incomplete or invalid escape stays as it is.
std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0 && hexValue(text[i + 2]) >= 0) {
            decoded += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

// Returns the host index of the view. The first look-up after a change of the table rebuilds it.
std::shared_ptr<const HostIndex> hostIndexFor(RequestPathState &shared, const std::shared_ptr<const View> &view)
{
    auto index = shared.hostIndex.load();
    if (!index || index->view() != view) {
        index = std::make_shared<const HostIndex>(view);
        shared.hostIndex = index;
    }
    return index;
}

std::string lookupBody(const std::vector<proto::Member> &hosts, std::uint32_t lifetimeMs)
{
    std::string body = "{\"hosts\":[";
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const auto &host = hosts[i];
        body += std::string(i > 0 ? "," : "") + "{\"id\":" + jsonString(host.id())
            + ",\"address\":" + jsonString(host.http_address()) + ",\"region\":" + jsonString(host.region())
            + ",\"availability_zone\":" + jsonString(host.availability_zone()) + "}";
    }
    return body + "],\"lifetime_ms\":" + std::to_string(lifetimeMs) + "}\n";
}

} // namespace

std::string queryParameter(const std::string &target, const std::string &name)
{
    auto position = target.find('?');
    while (position != std::string::npos) {
        const auto end = target.find('&', position + 1);
        const std::string pair = target.substr(position + 1, end == std::string::npos ? end : end - position - 1);
        if (pair.starts_with(name + "=")) {
            return percentDecoded(std::string_view(pair).substr(name.size() + 1));
        }
        position = end;
    }
    return {};
}

void handleLookup(RequestPathState &shared, const Request &request, ResponseWriter &response)
{
    if (request.method != "GET" && request.method != "HEAD") {
        refuse(response, {405, "invalid", "a look-up is a GET request", "use GET", ExecutionOutcome::NotRun}, "", "");
        return;
    }
    if (!shared.deps.fresh(Clock::now())) {
        refuse(response,
               {503, "unavailable", "this host cannot confirm that its table is current",
                "send the look-up to another entry host"},
               "", "");
        return;
    }
    const auto view = shared.deps.view();
    const std::string service = queryParameter(request.target, "service");
    if (!view->hasService(service)) {
        refuse(response, {404, "not_found", "no backend server offers this service", "name a service of the platform"},
               "", "");
        return;
    }
    LookupQuery query{service, queryParameter(request.target, "region"), 0};
    if (query.region.empty()) {
        query.region = shared.clientBlocks.regionOf(request.clientAddress).value_or(shared.self.region());
    }
    query.callerHash = XXH3_64bits(&request.clientAddress, sizeof request.clientAddress);
    const auto loads = shared.deps.hostLoads ? shared.deps.hostLoads() : std::map<std::string, double>();
    const auto hosts = hostIndexFor(shared, view)->hostsFor(query, loads, maxHosts);
    const auto lifetime = shared.settings.lookup_lifetime_ms();
    countMetric("banyanledge_lookups_total");
    response.respond(200,
                     {{"Content-Type", "application/json"},
                      {"Cache-Control", "private, max-age=" + std::to_string(lifetime / 1000)}},
                     lookupBody(hosts, lifetime));
}

} // namespace banyanledge
