// The control role of a daemon: the replicated log, its services and the operators' HTTP interface.
#pragma once

#include <memory>
#include <vector>

#include <grpcpp/impl/service_type.h>

#include "base/types.h"
#include "control/declarations.h"
#include "control/platform.h"

namespace banyanledge
{

class ControlHost
{
public:
    // Recovers the data folder; nullptr with lastError() when it is damaged or a setting cannot be used.
    static std::unique_ptr<ControlHost> create(const proto::Settings &settings);
    ~ControlHost();

    // Reads the platform's list in another way than from list_url; call before start().
    void setPlatformListReader(std::function<std::optional<PlatformList>(const PlatformPoller::Fetch &)> reader);

    // Puts and reads declarations through the leader; null before start().
    Declarations *declarations();

    // Replaces the seeds after a change of the settings.
    void setSeeds(const std::vector<std::string> &addresses);

    // gRPC services to register before the process's gRPC server starts.
    std::vector<grpc::Service *> services();

    // Starts the operators' interface and the loops; false with lastError() when an address cannot be bound.
    bool start();

    // Stops the loops and the operators' interface after the requests in flight.
    void stop();

private:
    class Private;
    explicit ControlHost(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
