// Probes the health page of backend servers on a thread of its own.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/health.h"

namespace banyanledge
{

struct ProbeTarget
{
    std::string pool; // resource name
    std::string server;
    std::string address; // IP:PORT
    std::uint32_t leases = 0; // of the server when the probe began

    bool operator==(const ProbeTarget &) const = default;
};

class HealthProber
{
public:
    // `targets` is called before each round, `done` for each server; both run on the probes' thread.
    HealthProber(Duration interval, std::function<std::vector<ProbeTarget>()> targets,
                 std::function<void(const ProbeTarget &, const ProbeResult &)> done);
    ~HealthProber();

    void start();
    void stop();

    // Starts the next round now. Safe from any thread, also before start().
    void probeNow();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Reads {"state":"live"|"leaving","in_flight":N,"cold":bool}; an unreadable body counts as no answer.
ProbeResult parseHealth(const std::string &body);

} // namespace banyanledge
