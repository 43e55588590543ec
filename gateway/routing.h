// The declared routes, customers and backend servers of one copy of the table, indexed for the request path.
#pragma once

#include <asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"
#include "decide/view.h"

namespace banyanledge
{

struct RoutedServer
{
    std::string id;
    std::string service;
    std::string region;
    std::string zone;
    asio::ip::tcp::endpoint address;
    unsigned slots = 1;
    milliseconds warmupLeft{}; // when the list named it
    std::uint64_t hash = 0; // of the id
    std::string fingerprint; // differs when the list says something new of the server
};

// Servers of a service that may get work, by region.
struct RoutedService
{
    const proto::DeclaredService *declared = nullptr;
    std::map<std::string, std::vector<const RoutedServer *>> serversByRegion;
    std::map<std::string, double> slotsByRegion;
    double totalSlots = 0;
};

// Immutable; shared by the requests that began while it was in force.
class Routing
{
public:
    static std::shared_ptr<const Routing> build(std::shared_ptr<const View> view);

    const View &view() const;
    std::uint64_t version() const; // of the declaration, 0: none

    // Route of the host with the longest prefix of the path; nullptr when none matches.
    const proto::DeclaredRoute *route(std::string_view host, std::string_view path) const;

    // Customer that holds the key with this digest; nullptr when none does.
    const proto::DeclaredCustomer *customer(const std::string &digest) const;

    // nullptr for a service that is not declared.
    const RoutedService *service(const std::string &name) const;

    const std::vector<RoutedServer> &servers() const;

    // Live hosts that serve the declared routes.
    const std::vector<const proto::Member *> &hosts() const;

    std::size_t regionCount() const; // with live hosts

private:
    std::shared_ptr<const View> m_view;
    std::unordered_map<std::string, std::vector<const proto::DeclaredRoute *>>
        m_routes; // by host, longest prefix first
    std::unordered_map<std::string, const proto::DeclaredCustomer *> m_customers; // by key digest
    std::unordered_map<std::string, RoutedService> m_services;
    std::vector<RoutedServer> m_servers;
    std::vector<const proto::Member *> m_hosts;
    std::size_t m_regionCount = 1;
};

// Host of a request in lower case, without its port.
std::string normalizedHostName(std::string_view header);

} // namespace banyanledge
