#include "gateway/routing.h"

#include <algorithm>
#include <cctype>

#include "base/log.h"
#include "decide/hash.h"
#include "net/address.h"

namespace banyanledge
{

namespace
{

bool evacuated(const View &view, const std::string &zone)
{
    const auto found = view.evacuations().find(zone);
    return found != view.evacuations().end() && found->second.active();
}

} // namespace

std::string normalizedHostName(std::string_view header)
{
    const auto colon = header.rfind(':');
    std::string name(header.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

std::shared_ptr<const Routing> Routing::build(std::shared_ptr<const View> view)
{
    auto routing = std::make_shared<Routing>();
    routing->m_view = std::move(view);
    const View &table = *routing->m_view;
    for (const auto &route : table.declaration().routes()) {
        routing->m_routes[normalizedHostName(route.host())].push_back(&route);
    }
    for (auto &[host, routes] : routing->m_routes) {
        std::sort(routes.begin(), routes.end(),
                  [](const auto *a, const auto *b) { return a->path_prefix().size() > b->path_prefix().size(); });
    }
    for (const auto &customer : table.declaration().customers()) {
        for (const auto &digest : customer.key_digests()) {
            routing->m_customers.emplace(digest, &customer);
        }
    }
    for (const auto &service : table.declaration().services()) {
        routing->m_services[service.name()].declared = &service;
    }
    routing->m_servers.reserve(table.servers().size());
    for (const auto &[id, server] : table.servers()) {
        const auto address = parseEndpoint(server.address());
        if (!address) {
            logWarning("backend server ignored: its address is not IP:PORT; correct it in the platform's server list",
                       {{"server", id}, {"address", server.address()}});
            continue;
        }
        if (server.leaving() || server.drained() || evacuated(table, server.availability_zone())) {
            continue;
        }
        routing->m_servers.push_back({id, server.service(), server.region(), server.availability_zone(), *address,
                                      std::max(1U, server.slots()), hashText(id),
                                      server.address() + "/" + std::to_string(server.revision())});
    }
    for (const RoutedServer &server : routing->m_servers) {
        const auto found = routing->m_services.find(server.service);
        if (found != routing->m_services.end()) {
            found->second.serversByRegion[server.region].push_back(&server);
            found->second.slotsByRegion[server.region] += server.slots;
            found->second.totalSlots += server.slots;
        }
    }
    std::set<std::string> regions;
    for (const auto &[id, member] : table.members()) {
        if (member.entry() && member.state() == proto::MEMBER_LIVE) {
            routing->m_hosts.push_back(&member);
            routing->m_hostHashes.push_back(hashText(id));
            regions.insert(member.region());
        }
    }
    routing->m_regionCount = std::max<std::size_t>(1, regions.size());
    return routing;
}

const View &Routing::view() const
{
    return *m_view;
}

std::uint64_t Routing::version() const
{
    return m_view->declaration().version();
}

const proto::DeclaredRoute *Routing::route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes.find(normalizedHostName(host));
    if (found == m_routes.end()) {
        return nullptr;
    }
    for (const auto *route : found->second) {
        if (path.starts_with(route->path_prefix())) {
            return route;
        }
    }
    return nullptr;
}

const proto::DeclaredCustomer *Routing::customer(const std::string &digest) const
{
    const auto found = m_customers.find(digest);
    return found == m_customers.end() ? nullptr : found->second;
}

const RoutedService *Routing::service(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const std::unordered_map<std::string, RoutedService> &Routing::services() const
{
    return m_services;
}

const std::vector<RoutedServer> &Routing::servers() const
{
    return m_servers;
}

const std::vector<const proto::Member *> &Routing::hosts() const
{
    return m_hosts;
}

const std::vector<std::uint64_t> &Routing::hostHashes() const
{
    return m_hostHashes;
}

std::size_t Routing::regionCount() const
{
    return m_regionCount;
}

} // namespace banyanledge
