// Selection of the entry hosts that a caller should use, in order of preference.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/view.h"

namespace banyanledge
{

// Maps blocks of client addresses to their nearest region by longest-prefix match. Each block belongs to a site
// and each site to its nearest region.
class ClientBlocks
{
public:
    // An IPv4 address block in CIDR notation.
    struct Block
    {
        std::uint32_t first = 0; // first address, in host byte order
        std::uint8_t prefix = 0; // length in bits
        std::uint16_t site = 0; // index into `siteRegions`
    };

    ClientBlocks() = default;
    ClientBlocks(std::vector<Block> blocks, std::vector<std::string> siteRegions);

    // Parses lines of the form "A.B.C.D/LEN SITE REGION"; lines that start with # are comments. Returns nullopt and
    // sets lastError(), which names the line, if a line is malformed or gives a site a second region.
    static std::optional<ClientBlocks> parse(const std::string &text);

    // Region of the longest block that contains the address (host byte order); nullopt if none does.
    std::optional<std::string> regionOf(std::uint32_t address) const;

    std::size_t size() const; // number of blocks
    std::size_t memoryBytes() const;

private:
    std::vector<std::uint32_t> m_starts; // first addresses of disjoint ranges, sorted
    std::vector<std::uint16_t> m_sites; // of each range
    std::vector<std::string> m_regions; // of each site
    std::size_t m_blockCount = 0;
};

// Query for the entry hosts of a service.
struct LookupQuery
{
    std::string service;
    std::string region; // of the caller; empty if unknown
    std::uint64_t callerHash = 0; // distributes callers over equivalent hosts
};

// Index of a view's live entry hosts by region. It costs a pass over all members; build it once for each view.
class HostIndex
{
public:
    explicit HostIndex(std::shared_ptr<const View> view);

    // The view that the index was built from.
    const std::shared_ptr<const View> &view() const;

    // Up to `maxHosts` live entry hosts for the query: first those of the caller's region, then those of regions that
    // have the service, then the others. Within a group they are ordered by weighted rendezvous hashing on `callerHash`
    // and `hostLoads`, loads of 0 to 1 by host id. Joining, leaving and gone hosts are left out.
    std::vector<proto::Member> hostsFor(const LookupQuery &query, const std::map<std::string, double> &hostLoads,
                                        std::size_t maxHosts) const;

private:
    std::shared_ptr<const View> m_view;
    std::map<std::string, std::vector<const proto::Member *>> m_hostsByRegion;
};

// HostIndex::hostsFor() for a single query, without a prepared index.
std::vector<proto::Member> lookupHosts(const LookupQuery &query, const View &view,
                                       const std::map<std::string, double> &hostLoads, std::size_t maxHosts);

} // namespace banyanledge
