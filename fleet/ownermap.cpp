#include "fleet/ownermap.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Retention of former member lists. Must exceed ownerTakeoverDelay plus the longest grant.
constexpr milliseconds epochRetention{10000};

// Whether two member lists give the same owners and the same set of stopped hosts.
bool sameEntryHosts(const std::map<std::string, proto::Member> &a, const std::map<std::string, proto::Member> &b)
{
    const auto same = [](const auto &left, const auto &right) {
        const proto::Member &x = left.second;
        const proto::Member &y = right.second;
        return left.first == right.first && x.incarnation() == y.incarnation() && x.state() == y.state()
            && x.stopped() == y.stopped() && x.entry() == y.entry() && x.region() == y.region()
            && x.rpc_address() == y.rpc_address();
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), same);
}

// Revision of the last change of an entry host.
Revision newestEntryChange(const View &view)
{
    Revision newest = 0;
    for (const auto &[id, member] : view.members()) {
        newest = member.entry() ? std::max(newest, member.revision()) : newest;
    }
    return newest;
}

} // namespace

OwnerMap::OwnerMap(HostIncarnation self)
    : m_self(std::move(self))
{
}

bool OwnerMap::update(const std::shared_ptr<const View> &view, bool leaseLapsed, Time now)
{
    const std::lock_guard lock(m_mutex);
    // A copy does not show what happened between two revisions. While the freshness lease was valid no other host could
    // act as owner in that time. After a lapse, any change of an entry host may hide another owner.
    const bool historyLost = leaseLapsed && !m_epochs.empty() && newestEntryChange(*view) != newestEntryChange(*m_view);
    if (historyLost) {
        m_epochs.clear();
    }
    m_view = view;
    std::map<std::string, proto::Member> members = view->members();
    if (m_resigned) {
        members.erase(m_self.id);
    }
    appendEpoch(std::move(members), now);
    return historyLost;
}

void OwnerMap::resign(Time now)
{
    const std::lock_guard lock(m_mutex);
    m_resigned = true;
    std::map<std::string, proto::Member> members = m_view->members();
    members.erase(m_self.id);
    appendEpoch(std::move(members), now);
}

void OwnerMap::appendEpoch(std::map<std::string, proto::Member> members, Time now)
{
    if (!m_epochs.empty() && sameEntryHosts(m_epochs.back().members, members)) {
        return;
    }
    if (m_epochs.empty()) {
        m_earlierOwnersUnknown = true;
    }
    m_epochs.push_back({now, std::move(members)});
    m_owners.clear();
    while (m_epochs.size() > 1 && now - m_epochs[1].receivedAt > epochRetention) {
        m_epochs.pop_front();
        m_earlierOwnersUnknown = false;
    }
}

std::optional<HostIncarnation> OwnerMap::owner(const std::string &resource) const
{
    const std::lock_guard lock(m_mutex);
    if (m_epochs.empty()) {
        return std::nullopt;
    }
    const auto [found, added] = m_owners.try_emplace(resource);
    if (added) {
        found->second = ownerIn(resource, m_epochs.back());
    }
    return found->second;
}

std::optional<Time> OwnerMap::ownershipStart(const std::string &resource,
                                             const std::optional<HostIncarnation> &formerOwner) const
{
    const std::lock_guard lock(m_mutex);
    if (m_epochs.empty() || ownerIn(resource, m_epochs.back()) != m_self) {
        return std::nullopt;
    }
    // If the owners before the oldest epoch are unknown, ownerTakeoverDelay applies from its start.
    Time start =
        m_epochs.front().receivedAt + (m_earlierOwnersUnknown && !formerOwner ? ownerTakeoverDelay : milliseconds{0});
    for (std::size_t i = 0; i + 1 < m_epochs.size(); ++i) {
        const std::optional<HostIncarnation> former = ownerIn(resource, m_epochs[i]);
        if (!former || former == m_self) {
            continue;
        }
        const Time lostAt = m_epochs[i + 1].receivedAt;
        start = std::max(start, former == formerOwner || hasStopped(*former) ? lostAt : lostAt + ownerTakeoverDelay);
    }
    return start;
}

std::string OwnerMap::address(const HostIncarnation &host) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_view->members().find(host.id);
    if (found == m_view->members().end() || found->second.incarnation() != host.incarnation) {
        return {};
    }
    return found->second.rpc_address();
}

std::shared_ptr<const View> OwnerMap::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

const HostIncarnation &OwnerMap::self() const
{
    return m_self;
}

bool OwnerMap::hasStopped(const HostIncarnation &host) const
{
    const auto found = m_epochs.back().members.find(host.id);
    if (found == m_epochs.back().members.end() || !found->second.stopped()) {
        return false;
    }
    const proto::Member &member = found->second;
    return member.incarnation() != host.incarnation || member.state() == proto::MEMBER_GONE;
}

std::optional<HostIncarnation> OwnerMap::ownerIn(const std::string &resource, const Epoch &epoch) const
{
    return ownerOf(resource, epoch.members);
}

} // namespace banyanledge
