// gRPC services of a control host.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <grpcpp/impl/service_type.h>

#include <asio/io_context.hpp>

#include "control/sync.h"
#include "ledger/node.h"

namespace banyanledge
{

class ControlServices
{
public:
    // `loop` runs the functions of `sync`.
    ControlServices(asio::io_context &loop, Node &node, SyncHandler &sync);
    ~ControlServices();

    std::vector<grpc::Service *> services();

    // Waits for the answers that are being built.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
