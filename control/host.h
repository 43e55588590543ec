// The control role of a daemon: the replicated log, its gRPC services and the HTTP API for operators.
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
    // Opens the data folder and recovers the log from it. Returns nullptr, with the reason in lastError(), when the
    // data is damaged or a setting can't be used.
    static std::unique_ptr<ControlHost> create(const proto::Settings &settings);
    ~ControlHost();

    // Replaces the reader of the platform's list, which reads list_url by default. Must be called before start().
    void setPlatformListReader(std::function<std::optional<PlatformList>(const PlatformPoller::Fetch &)> reader);

    // Returns the access to declarations through the leader; nullptr before start().
    Declarations *declarations();

    // Replaces the seed addresses, for a change of the settings at runtime.
    void setSeeds(const std::vector<std::string> &addresses);

    // Returns the gRPC services, which must be registered before the process's gRPC server starts.
    std::vector<grpc::Service *> services();

    // Starts the HTTP API for operators, the platform poller and, with seeds, the joining of the group. Returns false,
    // with the reason in lastError(), when the operators file or the address can't be used.
    bool start();

    // Ends the calls of this host to the leader at `end`, so that orders in progress are answered before a planned end.
    void limitCalls(Time end);

    // Leaves the group before a planned end, so that no vote of an ended host stays in it: hands over leadership and
    // waits for the removal. Must be called before stop(), while the gRPC server still runs. Does nothing without
    // seeds, because the host could not join again.
    void leave(Time deadline);

    // Stops the platform poller, the joining and, after the requests in flight, the HTTP API, which waits for them
    // until the deadline. Sync calls are refused from then on.
    void stop(Time deadline);

private:
    class Private;
    explicit ControlHost(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
