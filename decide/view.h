// Immutable copy of the table as entry hosts use it, with its look-up indexes.
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

// Limits of a customer across the whole fleet.
struct RateLimit
{
    double rate = 0; // requests per second
    double burst = 0; // requests

    bool operator==(const RateLimit &) const = default;
};

// Limit of customers for which no row sets one.
constexpr RateLimit defaultRateLimit{100, 200};

// Weight of a region for which no row sets one, of 0 to 1000.
constexpr std::uint32_t defaultWeight = 100;

// One revision of the table. Shared between threads as std::shared_ptr<const View>; never changed once built.
class View
{
public:
    View() = default;

    // Builds the view that follows `previous` from a delta, or from a whole table when `snapshot` is set. A lower
    // revision than that of `previous` is an invariant violation and returns nullptr.
    static std::shared_ptr<const View> next(const View &previous, const proto::TableContent &content, bool snapshot);

    Revision revision() const;

    // Customer of a key that is neither withdrawn nor of an inactive customer; nullptr otherwise.
    const proto::Customer *customerOfKey(const std::string &digest) const;

    // Fields of the most specific rows that set them: customer goes before service, service before region.
    RateLimit rateLimit(const std::string &customer) const;
    std::uint32_t weight(const std::string &service, const std::string &region, const std::string &customer) const;
    std::optional<std::uint32_t> maxInFlight(const std::string &service, const std::string &region,
                                             const std::string &customer) const;
    bool open(const std::string &service) const;

    // Whether any backend server offers the service.
    bool hasService(const std::string &service) const;

    // Regions with backend servers of the service, sorted.
    std::vector<std::string> regionsOf(const std::string &service) const;

    // Backend servers of a pool, including those leaving or drained.
    std::vector<const proto::Server *> serversOf(const std::string &service, const std::string &region) const;

    const std::map<std::string, proto::Customer> &customers() const;
    const std::map<std::string, proto::Row> &rows() const; // by rowKey()
    const std::map<std::string, proto::Server> &servers() const;
    const std::map<std::string, proto::Shift> &shifts() const;
    const std::map<std::string, proto::Member> &members() const;
    const proto::Declaration &declaration() const; // version 0 while none is known
    const std::map<std::string, proto::Evacuation> &evacuations() const; // by availability zone

private:
    template<typename Object>
    using Objects = std::map<std::string, Object>;

    // Objects of one kind, shared with earlier views until one of the kind changes: a delta copies only the kinds that
    // it touches, which keeps the time and memory of a change small when other kinds hold many objects.
    template<typename Object>
    using Shared = std::shared_ptr<const Objects<Object>>;

    // Look-up indexes of backend servers.
    struct ServerIndex
    {
        std::map<std::string, std::vector<std::string>> poolServers; // pool resource to server ids
        std::map<std::string, std::set<std::string>> serviceRegions;
    };

    void apply(const proto::TableContent &content);
    template<typename Has>
    const proto::Row *bestRow(const std::string &service, const std::string &region, const std::string &customer,
                              Has has) const;

    Revision m_revision = 0;
    Shared<proto::Customer> m_customers = std::make_shared<const Objects<proto::Customer>>();
    Shared<proto::Key> m_keys = std::make_shared<const Objects<proto::Key>>();
    Shared<proto::Row> m_rows = std::make_shared<const Objects<proto::Row>>();
    Shared<proto::Server> m_servers = std::make_shared<const Objects<proto::Server>>();
    Shared<proto::Shift> m_shifts = std::make_shared<const Objects<proto::Shift>>();
    Shared<proto::Member> m_members = std::make_shared<const Objects<proto::Member>>();
    Shared<proto::Evacuation> m_evacuations = std::make_shared<const Objects<proto::Evacuation>>();
    std::shared_ptr<const proto::Declaration> m_declaration = std::make_shared<const proto::Declaration>();
    std::shared_ptr<const std::map<std::string, std::string>> m_keyOfDigest =
        std::make_shared<const std::map<std::string, std::string>>(); // digest to key id
    std::shared_ptr<const ServerIndex> m_serverIndex = std::make_shared<const ServerIndex>();
};

// Key of a row in maps and tombstones: "service/region/customer".
std::string rowKey(const std::string &service, const std::string &region, const std::string &customer);

} // namespace banyanledge
