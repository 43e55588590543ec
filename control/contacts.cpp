#include "control/contacts.h"

#include <algorithm>

namespace banyanledge
{

GroupContacts::GroupContacts(std::string ownAddress, std::vector<std::string> seeds)
    : m_ownAddress(std::move(ownAddress))
    , m_seeds(std::move(seeds))
{
}

void GroupContacts::setSeeds(std::vector<std::string> seeds)
{
    const std::lock_guard lock(m_mutex);
    m_seeds = std::move(seeds);
}

std::string GroupContacts::next(const proto::LogConfig &members)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> addresses = m_seeds;
    for (const auto &member : members.members()) {
        if (std::find(addresses.begin(), addresses.end(), member.rpc_address()) == addresses.end()) {
            addresses.push_back(member.rpc_address());
        }
    }
    std::erase(addresses, m_ownAddress);
    return addresses.empty() ? std::string() : addresses[m_next++ % addresses.size()];
}

} // namespace banyanledge
