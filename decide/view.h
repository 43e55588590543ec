// Immutable snapshot of the table for entry hosts, with lookup indexes.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Rate limit of a customer over the whole fleet.
struct RateLimit
{
    double rate = 0; // requests per second
    double burst = 0; // requests

    bool operator==(const RateLimit &) const = default;
};

// Rate limit of customers for which no row sets one.
constexpr RateLimit defaultRateLimit{100, 200};

// Weight of a region for which no row sets one; weights range from 0 to 1000.
constexpr std::uint32_t defaultWeight = 100;

// One revision of the table. Threads share it as std::shared_ptr<const View>; it never changes once built.
class View
{
public:
    View() = default;

    // Builds the view that follows `previous` from a delta, or from a full table if `snapshot` is true. A revision
    // lower than that of `previous` is an invariant violation; returns nullptr then.
    static std::shared_ptr<const View> next(const View &previous, const proto::TableContent &content, bool snapshot);

    Revision revision() const;

    // Customer of the key with this digest; nullptr if the key is unknown or withdrawn or its customer is inactive.
    const proto::Customer *customerOfKey(const std::string &digest) const;

    // Values of the most specific rows that set them: customer takes precedence over service, service over region.
    RateLimit rateLimit(const std::string &customer) const;
    std::uint32_t weight(const std::string &service, const std::string &region, const std::string &customer) const;
    std::optional<std::uint32_t> maxInFlight(const std::string &service, const std::string &region,
                                             const std::string &customer) const;

    // Whether the service serves requests without a key.
    bool servesWithoutKey(const std::string &service) const;

    // Whether the service has any backend server.
    bool hasService(const std::string &service) const;

    // Regions with backend servers of the service, sorted.
    std::vector<std::string> regionsOf(const std::string &service) const;

    // Backend servers of a pool, including leaving and drained ones.
    std::vector<const proto::Server *> serversOf(const std::string &service, const std::string &region) const;

    const std::map<std::string, proto::Customer> &customers() const;
    const std::map<std::string, proto::Row> &rows() const; // by rowKey()
    const std::map<std::string, proto::Server> &servers() const;
    const std::map<std::string, proto::Shift> &shifts() const;
    const std::map<std::string, proto::Member> &members() const;
    const proto::Declaration &declaration() const; // version 0 if none is known
    const std::map<std::string, proto::Evacuation> &evacuations() const; // by availability zone
    const std::map<std::string, proto::BlockedRequest> &blockedRequests() const; // by id

private:
    template<typename Object>
    using Objects = std::map<std::string, Object>;

    // Objects of one kind, shared with earlier views until an object of the kind changes (copy on write per kind). This
    // keeps a delta cheap in time and memory when it does not touch kinds with many objects.
    template<typename Object>
    using Shared = std::shared_ptr<const Objects<Object>>;

    // Lookup indexes of the backend servers.
    struct ServerIndex
    {
        std::map<std::string, std::vector<std::string>> poolServers; // server ids by pool resource
        std::map<std::string, std::set<std::string>> serviceRegions; // by service
    };

    void apply(const proto::TableContent &content);
    // Most specific row that satisfies `hasField`; nullptr if there is none.
    template<typename HasField>
    const proto::Row *mostSpecificRow(const std::string &service, const std::string &region,
                                      const std::string &customer, HasField hasField) const;

    Revision m_revision = 0;
    Shared<proto::Customer> m_customers = std::make_shared<const Objects<proto::Customer>>();
    Shared<proto::Key> m_keys = std::make_shared<const Objects<proto::Key>>();
    Shared<proto::Row> m_rows = std::make_shared<const Objects<proto::Row>>();
    Shared<proto::Server> m_servers = std::make_shared<const Objects<proto::Server>>();
    Shared<proto::Shift> m_shifts = std::make_shared<const Objects<proto::Shift>>();
    Shared<proto::Member> m_members = std::make_shared<const Objects<proto::Member>>();
    Shared<proto::Evacuation> m_evacuations = std::make_shared<const Objects<proto::Evacuation>>();
    Shared<proto::BlockedRequest> m_blockedRequests = std::make_shared<const Objects<proto::BlockedRequest>>();
    std::shared_ptr<const proto::Declaration> m_declaration = std::make_shared<const proto::Declaration>();
    std::shared_ptr<const std::map<std::string, std::string>> m_keyIdByDigest =
        std::make_shared<const std::map<std::string, std::string>>();
    std::shared_ptr<const ServerIndex> m_serverIndex = std::make_shared<const ServerIndex>();
};

// Key of a row in maps and tombstones: "service/region/customer".
std::string rowKey(const std::string &service, const std::string &region, const std::string &customer);

} // namespace banyanledge
