// The gateway role of a daemon: follows the table, serves callers, readiness checks and look-ups, and stops gracefully.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/types.h"
#include "gateway/gateway.h"

namespace banyanledge
{

class GatewayHost
{
public:
    // What answers on the readiness and the look-up address; runs on the gateway's loop.
    using Handler = std::function<void(const Gateway &gateway, bool ready, HttpCall &call)>;

    struct Options
    {
        proto::Settings settings;
        HeaderNames headerNames;
        Handler handleReady;
        Handler handleLookup;
    };

    explicit GatewayHost(Options options);
    ~GatewayHost();

    // Binds the addresses and starts; false with lastError() when an address can't be bound.
    bool start();

    // Serves what was begun, tells callers to go elsewhere, and returns once nothing is left or the time is over.
    void stop();

    // Replaces the control hosts after a change of the settings.
    void setControlHosts(const std::vector<std::string> &addresses);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
