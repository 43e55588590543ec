// Active health checks of backend servers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/health.h"

namespace banyanledge
{

// Server to probe.
struct ProbeTarget
{
    std::string pool; // resource name of the pool
    std::string server;
    std::string address; // IP:PORT
    std::uint32_t leases = 0; // leases of the server when the round began

    bool operator==(const ProbeTarget &) const = default;
};

// Requests /health of all targets in rounds, on a thread of its own.
class HealthProber
{
public:
    // `interval` is the time between rounds; less than 50 ms counts as 50 ms. `targets` is called before each round and
    // `done` after each probe, both on the prober's thread.
    HealthProber(Duration interval, std::function<std::vector<ProbeTarget>()> targets,
                 std::function<void(const ProbeTarget &, const ProbeResult &)> done);
    ~HealthProber();

    void start();
    void stop();

    // Starts the next round at once. Thread-safe, also before start().
    void probeNow();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Parses {"state":"live"|"leaving","in_flight":N,"cold":bool,"started_ms":N}. An invalid body counts as a failed probe.
ProbeResult parseHealth(const std::string &body);

} // namespace banyanledge
