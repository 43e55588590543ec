// Entry hosts that a caller should use, in order of preference.
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

// Blocks of client addresses with the region that is nearest to them; longest prefix wins.
class ClientBlocks
{
public:
    struct Block
    {
        std::uint32_t first = 0; // first IPv4 address, host byte order
        std::uint8_t prefix = 0; // length in bits
        std::uint16_t site = 0; // index into the sites
    };

    ClientBlocks() = default;
    ClientBlocks(std::vector<Block> blocks, std::vector<std::string> siteRegions);

    // Parses lines "A.B.C.D/LEN SITE REGION"; nullopt with lastError() naming the line.
    static std::optional<ClientBlocks> parse(const std::string &text);

    // Region of the longest block that holds the address; nullopt when none does.
    std::optional<std::string> regionOf(std::uint32_t address) const;

    std::size_t size() const;
    std::size_t memoryBytes() const;

private:
    std::vector<std::uint32_t> m_starts; // sorted, disjoint ranges after flattening
    std::vector<std::uint16_t> m_sites;
    std::vector<std::string> m_regions;
    std::size_t m_blocks = 0;
};

struct LookupQuery
{
    std::string service;
    std::string region; // of the caller; empty if unknown
    std::uint64_t callerHash = 0; // hash of the caller, so that callers spread over equal hosts
};

// Live entry hosts of one view by region, so that a look-up reads only those it may name. Build it once for each view.
class HostIndex
{
public:
    explicit HostIndex(std::shared_ptr<const View> view);

    // The copy of the table that the index describes.
    const std::shared_ptr<const View> &view() const;

    // Live entry hosts for the query, nearest region first, then regions that have the service, spread within a group
    // by `spread` and host load in 0 to 1. Joining, leaving and gone hosts are not named.
    std::vector<proto::Member> hostsFor(const LookupQuery &query, const std::map<std::string, double> &hostLoads,
                                        std::size_t most) const;

private:
    std::shared_ptr<const View> m_view;
    std::map<std::string, std::vector<const proto::Member *>> m_regions;
};

// The same for a single query, without an index.
std::vector<proto::Member> lookupHosts(const LookupQuery &query, const View &view,
                                       const std::map<std::string, double> &hostLoads, std::size_t most);

} // namespace banyanledge
