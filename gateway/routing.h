// Declared routes, customers and backend servers of one table revision, indexed for lookups per request.
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

// A backend server that may get requests.
struct RoutedServer
{
    std::string id;
    std::string service;
    std::string region;
    std::string zone;
    asio::ip::tcp::endpoint address;
    unsigned slots = 1;
    std::uint64_t hash = 0; // of the id
    std::string fingerprint; // address and revision; changes when the table holds a new entry of the server
};

// A service and its backend servers that may get requests.
struct RoutedService
{
    const proto::DeclaredService *declared = nullptr; // nullptr when not declared
    std::map<std::string, std::vector<const RoutedServer *>> serversByRegion;
    std::map<std::string, double> slotsByRegion;
    double totalSlots = 0;
};

// Immutable snapshot; requests share ownership of the one in force when they arrived.
class Routing
{
public:
    // Leaves out servers that are leaving, drained, in an evacuated availability zone or without a valid address.
    static std::shared_ptr<const Routing> build(std::shared_ptr<const View> view);

    const View &view() const;
    std::uint64_t version() const; // of the declaration; 0 when there is none

    // Route of the host whose path prefix is the longest match; nullptr when none matches.
    const proto::DeclaredRoute *route(std::string_view host, std::string_view path) const;

    // Customer that owns the API key with this SHA-256 digest; nullptr when none does.
    const proto::DeclaredCustomer *customer(const std::string &digest) const;

    // nullptr when the service is not declared.
    const RoutedService *service(const std::string &name) const;

    const std::unordered_map<std::string, RoutedService> &services() const; // by name

    const std::vector<RoutedServer> &servers() const;

    // Live hosts with the gateway role.
    const std::vector<const proto::Member *> &hosts() const;

    const std::vector<std::uint64_t> &hostHashes() const; // of the ids of hosts()

    std::size_t regionCount() const; // regions with live hosts, at least 1

private:
    std::shared_ptr<const View> m_view;
    std::unordered_map<std::string, std::vector<const proto::DeclaredRoute *>>
        m_routes; // by host, longest prefix first
    std::unordered_map<std::string, const proto::DeclaredCustomer *> m_customers; // by key digest
    std::unordered_map<std::string, RoutedService> m_services;
    std::vector<RoutedServer> m_servers;
    std::vector<const proto::Member *> m_hosts;
    std::vector<std::uint64_t> m_hostHashes;
    std::size_t m_regionCount = 1;
};

// Value of a Host header in lower case, without the port.
std::string normalizedHostName(std::string_view header);

} // namespace banyanledge
