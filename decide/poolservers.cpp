// The servers of a pool: the platform's list of them, their processes and the slots that can be used.
#include "decide/pool.h"

#include <algorithm>

namespace banyanledge
{

std::vector<std::string> Pool::setServers(const std::vector<PoolServer> &servers, Time now)
{
    std::vector<bool> wasListed;
    std::vector<std::string> changed;
    for (Server &server : m_servers) {
        wasListed.push_back(std::exchange(server.listed, false));
    }
    for (const PoolServer &info : servers) {
        const auto [found, added] = m_serverIndex.emplace(info.id, m_servers.size());
        if (added) {
            m_servers.push_back({info, Health(!m_configured, now), info.ended ? now : Time{}, true, info.ended, false,
                                 0, 0, 0, now, now, 0});
        } else if (update(found->second, info, wasListed[found->second], now)) {
            changed.push_back(info.id);
        }
    }
    m_configured = m_configured || !servers.empty();
    m_listedAt = now;
    m_usableSlotsOutdated = true;
    return changed;
}

// Returns whether the process has changed.
bool Pool::update(std::size_t index, const PoolServer &info, bool wasListed, Time now)
{
    Server &server = m_servers[index];
    const bool changed = info.incarnation != server.info.incarnation;
    const bool endChanged = info.ended != server.info.ended && info.ended != server.ended;
    const bool confirms = wasListed && server.seenFirst && !info.ended && (changed || server.info.ended);
    const bool startsAnew = !confirms && (changed || endChanged || !wasListed);
    if (confirms) {
        confirmProcess(index, info.incarnation, now);
    } else if (startsAnew) {
        startAnew(server, info.ended, now);
        retireLeases(index, info.incarnation, now);
    }
    server.info = info;
    server.listed = true;
    return startsAnew;
}

// The list knows the process that a probe has shown, under this incarnation. The leases granted since then belong to
// it.
void Pool::confirmProcess(std::size_t index, Revision incarnation, Time now)
{
    m_servers[index].seenFirst = false;
    for (auto &[id, lease] : m_leases) {
        if (lease.server == index && !lease.former) {
            lease.incarnation = std::max(lease.incarnation, incarnation);
        } else if (lease.server == index && lease.incarnation < incarnation) {
            setExpiry(id, lease, std::min(lease.expiry, now + withDrift(freshnessLease)));
        }
    }
}

// Marks the leases of the server's former process. Those that name an earlier incarnation count only until every host
// knows the new one, because hosts begin no request on such a lease then.
void Pool::retireLeases(std::size_t server, Revision incarnation, Time now)
{
    const bool sameIncarnation = incarnation == m_servers[server].info.incarnation;
    for (auto &[id, lease] : m_leases) {
        if (lease.server != server) {
            continue;
        }
        const bool earlier = lease.incarnation < incarnation;
        lease.former = lease.former || earlier || sameIncarnation;
        if (earlier) {
            setExpiry(id, lease, std::min(lease.expiry, now + withDrift(freshnessLease)));
        }
    }
}

void Pool::setExpiry(std::uint64_t id, Lease &lease, Time expiry)
{
    m_leaseExpiries.erase({lease.expiry, id});
    lease.expiry = expiry;
    m_leaseExpiries.emplace(expiry, id);
}

// Drops what is known of the server's former process. The requests that it ran ended with it.
void Pool::startAnew(Server &server, bool ended, Time now)
{
    server.health = Health(false, now);
    server.processSince = now;
    server.ended = ended;
    server.seenFirst = false;
    server.startedMs = 0;
    server.unknownSlots = 0;
    server.reducedUntil = now;
}

bool Pool::acceptsRequests(const Server &server)
{
    return server.listed && server.info.acceptsRequests && !server.ended;
}

bool Pool::recordProbe(const std::string &id, const ProbeResult &result, std::uint32_t leasesBefore, Time now)
{
    const auto found = m_serverIndex.find(id);
    if (found == m_serverIndex.end()) {
        return false;
    }
    Server &server = m_servers[found->second];
    if (now - result.latency < server.processSince) {
        return false;
    }
    const bool showsProcess = result.answered && showProcess(found->second, result, now);
    server.health.recordProbe(result, now);
    if (result.answered) {
        // Leases that began or ended during the probe may or may not be in the report. Assuming that they are not
        // counts more slots as unknown rather than too few.
        const std::uint32_t known = std::min(leasesBefore, server.leases);
        server.unknownSlots = std::min(server.unknownSlots, result.inFlight > known ? result.inFlight - known : 0);
    }
    m_usableSlotsOutdated = true;
    return showsProcess;
}

// Begins anew if an answered probe shows that the server has a new process; returns whether it does.
bool Pool::showProcess(std::size_t index, const ProbeResult &result, Time now)
{
    Server &server = m_servers[index];
    const bool namesOtherStart = result.startedMs != 0 && server.startedMs != 0 && result.startedMs != server.startedMs;
    const bool isNew = server.ended || namesOtherStart;
    if (isNew) {
        startAnew(server, false, now);
        retireLeases(index, server.info.incarnation, now);
        server.seenFirst = true;
    }
    server.startedMs = result.startedMs != 0 ? result.startedMs : server.startedMs;
    return isNew;
}

std::vector<PoolServer> Pool::servers() const
{
    std::vector<PoolServer> result;
    for (const Server &server : m_servers) {
        if (server.listed) {
            result.push_back(server.info);
        }
    }
    return result;
}

std::vector<PoolServer> Pool::processesSeenFirst() const
{
    std::vector<PoolServer> result;
    for (const Server &server : m_servers) {
        if (server.listed && server.seenFirst) {
            result.push_back(server.info);
        }
    }
    return result;
}

// Updates the ejections and the usable slots.
void Pool::refresh(Time now)
{
    std::vector<Health *> candidates;
    std::size_t notLeaving = 0;
    for (Server &server : m_servers) {
        if (server.unknownSlots > 0 && now >= server.unknownUntil) {
            server.unknownSlots = 0;
        }
        if (acceptsRequests(server)) {
            candidates.push_back(&server.health);
            notLeaving += server.health.leaving(now) ? 0 : 1;
        }
    }
    updateEjections(candidates, now);
    m_usableSlots = 0;
    for (Server &server : m_servers) {
        // If every server that accepts requests reports that it is leaving, assume that the health endpoints are wrong.
        server.usableSlots = usableSlots(server, notLeaving == 0, now);
        m_usableSlots += server.usableSlots;
    }
    m_refreshedAt = now;
    m_usableSlotsOutdated = false;
}

std::uint32_t Pool::usableSlots(const Server &server, bool ignoreLeaving, Time now) const
{
    const bool leaving = server.health.leaving(now) && !ignoreLeaving;
    if (!acceptsRequests(server) || server.health.ejected() || leaving) {
        return 0;
    }
    const std::uint32_t connections = server.info.maxConnections;
    const std::uint32_t slots = connections > 0 ? std::min(server.info.slots, connections) : server.info.slots;
    const double fraction = server.health.warmFraction(now) * (now < server.reducedUntil ? 0.5 : 1.0);
    return std::min(slots, std::max(1U, static_cast<std::uint32_t>(fraction * slots)));
}

} // namespace banyanledge
