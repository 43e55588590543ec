// Divides customers' rates over the hosts of the fleet; kept by the control leader.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/hostlimits.h"

namespace banyanledge
{

// What the leader knows of the hosts' shares. A host holds at most what it last reported or was told since. A share
// that was taken from one host is given to another only after the first reported the lower one, or has been silent for
// so long that it uses no more than lostShare of it.
class RateShares
{
public:
    // Forgets everything at a change of leader.
    void reset(Time now);

    // Takes the report of a host's Sync call. A new incarnation holds nothing but what it reports.
    void reported(const proto::SyncRequest &request, Time now);

    // Shares of a host for its next answer. `hosts` are the live entry hosts; a leader that has not heard all of them
    // yet raises no share until shareTerm has passed, because the others may hold the rest of the rate.
    std::vector<proto::RateShare> sharesFor(const std::string &host, const proto::Declaration &declaration,
                                            const std::set<std::string> &hosts, Time now);

private:
    struct Holder
    {
        std::uint64_t incarnation = 0;
        Time heard{};
        std::map<std::string, double> held; // requests per second by customer
        std::map<std::string, double> demand;
    };

    double heldBy(const std::string &host, const std::string &customer, Time now) const;

    std::map<std::string, Holder> m_holders; // by host
    Time m_since{};
};

} // namespace banyanledge
