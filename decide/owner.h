// Selection of the entry host that owns a resource; every host computes the same owner from the same table of members.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "base/types.h"

namespace banyanledge
{

// A host and the incarnation number of one run of its process.
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

// Live entry host with the highest rendezvous hash for the resource; nullopt if no entry host is live. Pools and links
// prefer hosts of their region: the one after "/" in a pool resource and the one before ">" in a link resource.
std::optional<HostIncarnation> ownerOf(const std::string &resource,
                                       const std::map<std::string, proto::Member> &members);

} // namespace banyanledge
