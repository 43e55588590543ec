// Which hosts a control host asks when it does not know the leader of its group.
#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// The other members that this host's log names, and its seeds, asked in turn. Each of them answers with the leader's
// address if it knows it. Thread-safe.
class GroupContacts
{
public:
    GroupContacts(std::string ownAddress, std::vector<std::string> seeds);

    void setSeeds(std::vector<std::string> seeds);

    // Returns the gRPC address to ask next; empty if there is none. The list may be outdated, so seeds come up too.
    std::string next(const proto::LogConfig &members);

private:
    const std::string m_ownAddress;
    std::mutex m_mutex; // guards the next two members
    std::vector<std::string> m_seeds;
    std::size_t m_next = 0; // position in the members followed by the seeds
};

} // namespace banyanledge
