// Which entry host owns a resource, computed alike on every host from the members in the table.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "base/types.h"

namespace banyanledge
{

// Identity of one run of a host's process.
struct HostIncarnation
{
    std::string id;
    std::uint64_t incarnation = 0;

    bool operator==(const HostIncarnation &) const = default;

    bool operator<(const HostIncarnation &other) const
    {
        return std::tie(id, incarnation) < std::tie(other.id, other.incarnation);
    }
};

// Live entry host with the highest rendezvous hash for the resource. Pools and links prefer hosts of their region, the
// region after "/" of a pool and before ">" of a link. nullopt when no entry host is live.
std::optional<HostIncarnation> ownerOf(const std::string &resource,
                                       const std::map<std::string, proto::Member> &members);

} // namespace banyanledge
