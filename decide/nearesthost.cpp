#include "decide/nearesthost.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Interval between the measurements of one host, and the shorter one after a failed call.
constexpr milliseconds measurementInterval{5000};
constexpr milliseconds failedInterval{1000};

} // namespace

std::vector<std::string> NearestHost::takeDue(const std::vector<std::string> &hosts, Time now)
{
    std::vector<std::string> due;
    for (const std::string &name : hosts) {
        Host &host = m_hosts[name];
        if (now >= host.nextMeasurement) {
            host.nextMeasurement = now + measurementInterval;
            due.push_back(name);
        }
    }
    return due;
}

void NearestHost::recordRoundTrip(const std::string &host, Duration took)
{
    m_hosts[host].roundTrip = std::max(took, Duration(1));
}

void NearestHost::recordFailure(const std::string &host, Time now)
{
    m_hosts[host] = {Duration{}, now + failedInterval};
}

std::string NearestHost::choose(const std::vector<std::string> &hosts) const
{
    std::string nearest;
    Duration shortest = Duration::max();
    for (const std::string &name : hosts) {
        const auto found = m_hosts.find(name);
        if (found != m_hosts.end() && found->second.roundTrip > Duration{} && found->second.roundTrip < shortest) {
            shortest = found->second.roundTrip;
            nearest = name;
        }
    }
    return nearest;
}

} // namespace banyanledge
