#include "decide/lookup.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

#include <xxhash.h>

#include "base/error.h"

namespace banyanledge
{

namespace
{

// Site of addresses that are in no block.
constexpr std::uint16_t noSite = 0xFFFF;

// Weight of a fully loaded host; not zero, because load reports are delayed.
constexpr double minHostWeight = 0.05;

// A block that encloses the current one in the sweep over all blocks.
struct EnclosingBlock
{
    std::uint64_t last = 0;
    std::uint16_t site = 0;
};

std::uint64_t lastAddress(const ClientBlocks::Block &block)
{
    return block.first + (1ULL << (32U - block.prefix)) - 1;
}

std::optional<std::uint32_t> parseAddress(const std::string &text)
{
    std::uint32_t address = 0;
    const char *at = text.data();
    const char *end = at + text.size();
    for (unsigned part = 0; part < 4; ++part) {
        unsigned value = 0;
        const auto [next, error] = std::from_chars(at, end, value);
        const bool dot = next != end && *next == '.';
        if (error != std::errc() || value > 255 || dot != (part < 3) || (part == 3 && next != end)) {
            return std::nullopt;
        }
        address = (address << 8U) | value;
        at = next + (dot ? 1 : 0);
    }
    return address;
}

std::optional<ClientBlocks::Block> parseBlock(const std::string &text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    const auto address = parseAddress(text.substr(0, slash));
    unsigned prefix = 0;
    const char *end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data() + slash + 1, end, prefix);
    if (!address || error != std::errc() || next != end || prefix > 32) {
        return std::nullopt;
    }
    const bool aligned = prefix == 32 || (*address & ((1ULL << (32U - prefix)) - 1)) == 0;
    return aligned ? std::optional(ClientBlocks::Block{*address, static_cast<std::uint8_t>(prefix), 0}) : std::nullopt;
}

} // namespace

// Flattens nested blocks into disjoint ranges by a sweep over the sorted blocks with a stack of the enclosing ones.
ClientBlocks::ClientBlocks(std::vector<Block> blocks, std::vector<std::string> siteRegions)
    : m_regions(std::move(siteRegions))
    , m_blockCount(blocks.size())
{
    std::stable_sort(blocks.begin(), blocks.end(), [](const Block &a, const Block &b) {
        return a.first != b.first ? a.first < b.first : a.prefix < b.prefix;
    });
    const auto addRange = [this](std::uint64_t start, std::uint16_t site) {
        if (start > 0xFFFFFFFFULL) {
            return;
        }
        if (!m_starts.empty() && m_starts.back() == start) {
            m_sites.back() = site;
        } else if (m_sites.empty() || m_sites.back() != site) {
            m_starts.push_back(static_cast<std::uint32_t>(start));
            m_sites.push_back(site);
        }
    };
    addRange(0, noSite);
    std::vector<EnclosingBlock> enclosing;
    const auto closeBefore = [&enclosing, &addRange](std::uint64_t address) {
        while (!enclosing.empty() && enclosing.back().last < address) {
            const std::uint64_t next = enclosing.back().last + 1;
            enclosing.pop_back();
            addRange(next, enclosing.empty() ? noSite : enclosing.back().site);
        }
    };
    for (const Block &block : blocks) {
        closeBefore(block.first);
        addRange(block.first, block.site);
        enclosing.push_back({lastAddress(block), block.site});
    }
    closeBefore(1ULL << 32U);
    m_starts.shrink_to_fit();
    m_sites.shrink_to_fit();
}

std::optional<ClientBlocks> ClientBlocks::parse(const std::string &text)
{
    std::vector<Block> blocks;
    std::vector<std::string> regions;
    std::map<std::string, std::uint16_t> sites;
    std::istringstream lines(text);
    std::string line;
    for (unsigned number = 1; std::getline(lines, line); ++number) {
        std::istringstream fields(line);
        std::string address;
        std::string site;
        std::string region;
        std::string rest;
        if (!(fields >> address) || address.starts_with('#')) {
            continue;
        }
        auto block = parseBlock(address);
        if (!block || !(fields >> site >> region) || fields >> rest) {
            return fail(proto::ERROR_INVALID,
                        "client blocks, line " + std::to_string(number)
                            + ": expected A.B.C.D/LEN SITE REGION, with zero host bits");
        }
        const auto [known, added] = sites.try_emplace(site, static_cast<std::uint16_t>(regions.size()));
        if (added) {
            regions.push_back(region);
        } else if (regions[known->second] != region) {
            return fail(proto::ERROR_INVALID,
                        "client blocks, line " + std::to_string(number) + ": give site " + site
                            + " one region only; it is in region " + regions[known->second] + " above");
        }
        if (regions.size() >= noSite) {
            return fail(proto::ERROR_INVALID, "client blocks: more than 65534 sites; merge sites of the same region");
        }
        block->site = known->second;
        blocks.push_back(*block);
    }
    return ClientBlocks(std::move(blocks), std::move(regions));
}

std::optional<std::string> ClientBlocks::regionOf(std::uint32_t address) const
{
    const auto after = std::upper_bound(m_starts.begin(), m_starts.end(), address);
    if (after == m_starts.begin()) {
        return std::nullopt;
    }
    const std::uint16_t site = m_sites[static_cast<std::size_t>(after - m_starts.begin()) - 1];
    return site < m_regions.size() ? std::optional(m_regions[site]) : std::nullopt;
}

std::size_t ClientBlocks::size() const
{
    return m_blockCount;
}

std::size_t ClientBlocks::memoryBytes() const
{
    std::size_t bytes = (m_starts.capacity() * sizeof(std::uint32_t)) + (m_sites.capacity() * sizeof(std::uint16_t));
    for (const std::string &region : m_regions) {
        bytes += sizeof(std::string) + region.capacity();
    }
    return bytes;
}

namespace
{

struct RankedHost
{
    const proto::Member *member = nullptr;
    double score = 0;
};

// Weighted rendezvous hashing: each host gets callers in proportion to its weight, and a change of one host's load
// moves only callers to or from that host. The lowest score wins.
double scoreOf(const std::string &id, std::uint64_t callerHash, double load)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), callerHash);
    const double uniform = (static_cast<double>(hash >> 11U) + 1) * 0x1.0p-53;
    return -std::log(uniform) / std::max(minHostWeight, 1 - load);
}

// Appends the best hosts of a group until the result has `maxHosts`.
void addBest(std::vector<RankedHost> &group, const LookupQuery &query, const std::map<std::string, double> &hostLoads,
             std::size_t maxHosts, std::vector<proto::Member> &result)
{
    const std::size_t wanted = std::min(maxHosts - result.size(), group.size());
    if (wanted == 0) {
        return;
    }
    for (RankedHost &ranked : group) {
        const auto load = hostLoads.find(ranked.member->id());
        ranked.score = scoreOf(ranked.member->id(), query.callerHash, load != hostLoads.end() ? load->second : 0);
    }
    const auto end = group.begin() + static_cast<std::ptrdiff_t>(wanted);
    std::partial_sort(group.begin(), end, group.end(),
                      [](const RankedHost &a, const RankedHost &b) { return a.score < b.score; });
    for (auto ranked = group.begin(); ranked != end; ++ranked) {
        result.push_back(*ranked->member);
    }
}

// Preference rank of a region, 0 is best. Hosts in regions that run the service save a hop.
unsigned rankOf(const std::string &region, const LookupQuery &query, const std::vector<std::string> &serving)
{
    if (region == query.region) {
        return 0;
    }
    return std::binary_search(serving.begin(), serving.end(), region) ? 1 : 2;
}

} // namespace

HostIndex::HostIndex(std::shared_ptr<const View> view)
    : m_view(std::move(view))
{
    for (const auto &[id, member] : m_view->members()) {
        if (member.entry() && member.state() == proto::MEMBER_LIVE) {
            m_hostsByRegion[member.region()].push_back(&member);
        }
    }
}

const std::shared_ptr<const View> &HostIndex::view() const
{
    return m_view;
}

std::vector<proto::Member> HostIndex::hostsFor(const LookupQuery &query, const std::map<std::string, double> &hostLoads,
                                               std::size_t maxHosts) const
{
    const std::vector<std::string> serving = m_view->regionsOf(query.service);
    std::vector<proto::Member> result;
    for (unsigned rank = 0; rank < 3 && result.size() < maxHosts; ++rank) {
        std::vector<RankedHost> group;
        for (const auto &[region, members] : m_hostsByRegion) {
            if (rankOf(region, query, serving) == rank) {
                for (const proto::Member *member : members) {
                    group.push_back({member, 0});
                }
            }
        }
        addBest(group, query, hostLoads, maxHosts, result);
    }
    return result;
}

std::vector<proto::Member> lookupHosts(const LookupQuery &query, const View &view,
                                       const std::map<std::string, double> &hostLoads, std::size_t maxHosts)
{
    // The index does not outlive the caller's view, so it doesn't need to own it.
    return HostIndex(std::shared_ptr<const View>(std::shared_ptr<const View>(), &view))
        .hostsFor(query, hostLoads, maxHosts);
}

} // namespace banyanledge
