// The gateway role of a daemon: follows the replicated table, serves clients, readiness checks and host look-ups, and
// shuts down gracefully.
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
    // Responds to a request on the readiness or the look-up address; runs on the gateway's event loop.
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

    // Binds the addresses and starts the threads; false with lastError() when an address can't be bound.
    bool start();

    // Shuts down gracefully: reports the host as leaving, completes the requests in progress and closes client
    // connections after their responses. Returns when no request or connection is left, or after stop_timeout_ms.
    void stop();

    // Replaces the RPC addresses of the control hosts after the settings were reloaded.
    void setControlHosts(const std::vector<std::string> &addresses);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
