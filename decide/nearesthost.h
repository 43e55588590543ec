// Choice of the host with the shortest round trip among several that can serve a call.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

class NearestHost
{
public:
    // Hosts whose round trip is to be measured now; each is due again after a while.
    std::vector<std::string> takeDue(const std::vector<std::string> &hosts, Time now);

    // Records the round trip of a measurement.
    void recordRoundTrip(const std::string &host, Duration took);

    // Records a failed call. The host is not chosen until a later measurement succeeds.
    void recordFailure(const std::string &host, Time now);

    // The host with the shortest round trip; empty if none answered its last call.
    std::string choose(const std::vector<std::string> &hosts) const;

private:
    struct Host
    {
        Duration roundTrip{}; // zero: unknown
        Time nextMeasurement{};
    };

    std::unordered_map<std::string, Host> m_hosts;
};

} // namespace banyanledge
