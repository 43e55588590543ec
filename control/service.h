// gRPC services of a control host.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <grpcpp/impl/service_type.h>

#include <asio/io_context.hpp>

#include "control/peers.h"
#include "control/sync.h"
#include "control/tokenrelay.h"
#include "ledger/node.h"

namespace banyanledge
{

class ControlServices
{
public:
    // `loop` is the event loop on which the methods of `sync` have to be called.
    ControlServices(asio::io_context &loop, Node &node, RaftPeers &peers, SyncHandler &sync, TokenRelay &tokenRelay);
    ~ControlServices();

    std::vector<grpc::Service *> services();

    // Waits for the replies that are being built.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
