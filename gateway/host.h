// The gateway role of a daemon: follows the replicated table, serves clients, readiness checks and host look-ups, and
// shuts down gracefully.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/stopschedule.h"
#include "gateway/gateway.h"

namespace banyanledge
{

class GatewayHost
{
public:
    // State of the host that the responses to the platform's checks and to look-ups depend on.
    struct Status
    {
        bool ready = false; // for clients
        Duration lookupLifetime{}; // of a look-up response
    };

    // Responds to a request on the readiness or the look-up address; runs on the gateway's event loop.
    using Handler = std::function<void(const Gateway &gateway, const Status &status, HttpCall &call)>;

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
    // connections after their responses. Returns when no request or connection is left, at closeBy at the latest.
    void stop(const StopSchedule &schedule);

    // Applies the settings that are reloaded: the RPC addresses of the control hosts and the lifetime of look-ups.
    void applySettings(const proto::Settings &settings);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
