#include "decide/owner.h"

#include <xxhash.h>

namespace banyanledge
{

namespace
{

// Region whose hosts are preferred as owners of the resource; empty if there is none.
std::string preferredRegion(const std::string &resource)
{
    if (resource.starts_with("pool:")) {
        return resource.substr(resource.rfind('/') + 1);
    }
    if (resource.starts_with("link:")) {
        const std::size_t start = std::string("link:").size();
        return resource.substr(start, resource.find('>') - start);
    }
    return {};
}

} // namespace

std::optional<HostIncarnation> ownerOf(const std::string &resource, const std::map<std::string, proto::Member> &members)
{
    const std::string region = preferredRegion(resource);
    std::optional<HostIncarnation> best;
    bool bestPreferred = false;
    XXH64_hash_t bestScore = 0;
    std::string text = resource + "\n";
    for (const auto &[id, member] : members) {
        if (!member.entry() || member.state() != proto::MEMBER_LIVE) {
            continue;
        }
        const bool preferred = !region.empty() && member.region() == region;
        text.resize(resource.size() + 1);
        text += id;
        const XXH64_hash_t score = XXH64(text.data(), text.size(), 0);
        const bool better = preferred != bestPreferred ? preferred : score > bestScore;
        if (!best || better) {
            best = HostIncarnation{id, member.incarnation()};
            bestPreferred = preferred;
            bestScore = score;
        }
    }
    return best;
}

} // namespace banyanledge
