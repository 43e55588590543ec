// The entry role of a daemon: look-ups and the request path.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <grpcpp/impl/service_type.h>

#include "base/types.h"
#include "decide/stopschedule.h"

namespace banyanledge
{

class EntryHost
{
public:
    // Prepares the role; nullptr with lastError() when a setting cannot be used.
    static std::unique_ptr<EntryHost> create(const proto::Settings &settings);
    ~EntryHost();

    // gRPC services to register before the process's gRPC server starts.
    std::vector<grpc::Service *> services();

    // Starts serving; false with lastError() when the address cannot be bound.
    bool start();

    // Graceful shutdown: announces that the host leaves, hands over its resources, serves requests for the lifetime of
    // a look-up, then waits for requests in flight. Blocks until done, until closeBy at the latest.
    void stop(const StopSchedule &schedule);

    // Applies the settings that are reloaded: the RPC addresses of the control hosts.
    void applySettings(const proto::Settings &settings);

private:
    class Private;
    explicit EntryHost(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
