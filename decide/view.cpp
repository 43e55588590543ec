#include "decide/view.h"

#include <algorithm>
#include <array>

#include "base/invariant.h"

namespace banyanledge
{

std::string rowKey(const std::string &service, const std::string &region, const std::string &customer)
{
    return service + "/" + region + "/" + customer;
}

namespace
{

// Adds or replaces objects of one kind and removes those that its tombstones name. An object that was removed and
// created again has a higher revision than its tombstone and stays. Returns `previous` itself if nothing of the kind
// changed.
template<typename Object, typename Changed, typename KeyOf>
std::shared_ptr<const std::map<std::string, Object>>
merged(const std::shared_ptr<const std::map<std::string, Object>> &previous, const Changed &changed, KeyOf keyOf,
       const proto::TableContent &content, const std::string &kind)
{
    const bool removes = std::any_of(content.tombstones().begin(), content.tombstones().end(),
                                     [&kind](const proto::Tombstone &tombstone) { return tombstone.kind() == kind; });
    if (changed.empty() && !removes) {
        return previous;
    }
    auto objects = std::make_shared<std::map<std::string, Object>>(*previous);
    for (const Object &object : changed) {
        (*objects)[keyOf(object)] = object;
    }
    for (const proto::Tombstone &tombstone : content.tombstones()) {
        const auto found = tombstone.kind() == kind ? objects->find(tombstone.key()) : objects->end();
        if (found != objects->end() && found->second.revision() <= tombstone.revision()) {
            objects->erase(found);
        }
    }
    return objects;
}

std::string keyOfRow(const proto::Row &row)
{
    return rowKey(row.service(), row.region(), row.customer());
}

} // namespace

std::shared_ptr<const View> View::next(const View &previous, const proto::TableContent &content, bool snapshot)
{
    const bool forward = content.revision() >= previous.m_revision;
    BL_INVARIANT(forward, "revision_never_reverts");
    if (!forward) {
        return nullptr;
    }
    auto view = std::make_shared<View>(snapshot ? View() : previous);
    view->apply(content);
    view->m_revision = content.revision();
    return view;
}

void View::apply(const proto::TableContent &content)
{
    const auto byId = [](const auto &object) { return object.id(); };
    const auto byName = [](const proto::Customer &customer) { return customer.name(); };
    const auto previousKeys = m_keys;
    const auto previousServers = m_servers;
    m_customers = merged<proto::Customer>(m_customers, content.customers(), byName, content, "customer");
    m_keys = merged<proto::Key>(m_keys, content.keys(), byId, content, "key");
    m_rows = merged<proto::Row>(m_rows, content.rows(), keyOfRow, content, "row");
    m_servers = merged<proto::Server>(m_servers, content.servers(), byId, content, "server");
    m_shifts = merged<proto::Shift>(m_shifts, content.shifts(), byId, content, "shift");
    m_members = merged<proto::Member>(m_members, content.members(), byId, content, "member");
    m_evacuations = merged<proto::Evacuation>(
        m_evacuations, content.evacuations(), [](const auto &object) { return object.availability_zone(); }, content,
        "evacuation");
    m_blockedRequests =
        merged<proto::BlockedRequest>(m_blockedRequests, content.blocked_requests(), byId, content, "blocked");
    if (content.has_declaration()) {
        m_declaration = std::make_shared<const proto::Declaration>(content.declaration());
    }
    if (m_keys != previousKeys) {
        std::map<std::string, std::string> keyIdByDigest;
        for (const auto &[id, key] : *m_keys) {
            keyIdByDigest[key.digest()] = id;
        }
        m_keyIdByDigest = std::make_shared<const std::map<std::string, std::string>>(std::move(keyIdByDigest));
    }
    if (m_servers != previousServers) {
        ServerIndex index;
        for (const auto &[id, server] : *m_servers) {
            index.poolServers[poolResource(server.service(), server.region())].push_back(id);
            index.serviceRegions[server.service()].insert(server.region());
        }
        m_serverIndex = std::make_shared<const ServerIndex>(std::move(index));
    }
}

Revision View::revision() const
{
    return m_revision;
}

const proto::Customer *View::customerOfKey(const std::string &digest) const
{
    const auto id = m_keyIdByDigest->find(digest);
    if (id == m_keyIdByDigest->end()) {
        return nullptr;
    }
    const proto::Key &key = m_keys->at(id->second);
    const auto customer = m_customers->find(key.customer());
    const bool valid = !key.withdrawn() && customer != m_customers->end() && customer->second.active();
    return valid ? &customer->second : nullptr;
}

// Tries the eight combinations of exact names and wildcards from the most to the least specific.
template<typename HasField>
const proto::Row *View::mostSpecificRow(const std::string &service, const std::string &region,
                                        const std::string &customer, HasField hasField) const
{
    static const std::string wildcard = "*";
    for (unsigned wildcards = 0; wildcards < 8; ++wildcards) {
        const auto found =
            m_rows->find(rowKey((wildcards & 2) != 0 ? wildcard : service, (wildcards & 1) != 0 ? wildcard : region,
                                (wildcards & 4) != 0 ? wildcard : customer));
        if (found != m_rows->end() && hasField(found->second)) {
            return &found->second;
        }
    }
    return nullptr;
}

RateLimit View::rateLimit(const std::string &customer) const
{
    RateLimit limit = defaultRateLimit;
    const auto *rate = mostSpecificRow("*", "*", customer, [](const proto::Row &row) { return row.has_rate(); });
    const auto *burst = mostSpecificRow("*", "*", customer, [](const proto::Row &row) { return row.has_burst(); });
    limit.rate = rate != nullptr ? rate->rate() : limit.rate;
    limit.burst = burst != nullptr ? burst->burst() : limit.burst;
    return limit;
}

std::uint32_t View::weight(const std::string &service, const std::string &region, const std::string &customer) const
{
    const auto *row =
        mostSpecificRow(service, region, customer, [](const proto::Row &candidate) { return candidate.has_weight(); });
    return row != nullptr ? row->weight() : defaultWeight;
}

std::optional<std::uint32_t> View::maxInFlight(const std::string &service, const std::string &region,
                                               const std::string &customer) const
{
    const auto *row = mostSpecificRow(service, region, customer,
                                      [](const proto::Row &candidate) { return candidate.has_max_in_flight(); });
    return row != nullptr ? std::optional(row->max_in_flight()) : std::nullopt;
}

bool View::servesWithoutKey(const std::string &service) const
{
    const auto found = m_rows->find(rowKey(service, "*", "*"));
    return found != m_rows->end() && found->second.open();
}

bool View::hasService(const std::string &service) const
{
    return m_serverIndex->serviceRegions.contains(service);
}

std::vector<std::string> View::regionsOf(const std::string &service) const
{
    const auto found = m_serverIndex->serviceRegions.find(service);
    if (found == m_serverIndex->serviceRegions.end()) {
        return {};
    }
    return {found->second.begin(), found->second.end()};
}

std::vector<const proto::Server *> View::serversOf(const std::string &service, const std::string &region) const
{
    std::vector<const proto::Server *> result;
    const auto found = m_serverIndex->poolServers.find(poolResource(service, region));
    if (found != m_serverIndex->poolServers.end()) {
        for (const std::string &id : found->second) {
            result.push_back(&m_servers->at(id));
        }
    }
    return result;
}

const std::map<std::string, proto::Customer> &View::customers() const
{
    return *m_customers;
}

const std::map<std::string, proto::Row> &View::rows() const
{
    return *m_rows;
}

const std::map<std::string, proto::Server> &View::servers() const
{
    return *m_servers;
}

const std::map<std::string, proto::Shift> &View::shifts() const
{
    return *m_shifts;
}

const proto::Declaration &View::declaration() const
{
    return *m_declaration;
}

const std::map<std::string, proto::Evacuation> &View::evacuations() const
{
    return *m_evacuations;
}

const std::map<std::string, proto::BlockedRequest> &View::blockedRequests() const
{
    return *m_blockedRequests;
}

const std::map<std::string, proto::Member> &View::members() const
{
    return *m_members;
}

} // namespace banyanledge
