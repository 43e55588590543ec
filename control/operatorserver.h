// HTTP server of the operators' interface.
#pragma once

#include <memory>
#include <string>

#include "control/api.h"

namespace banyanledge
{

class OperatorServer
{
public:
    // Starts serving on IP:PORT; nullptr with lastError() when the address cannot be bound.
    static std::unique_ptr<OperatorServer> start(const std::string &address, Api &api);

    // Stops accepting and waits for the requests in flight.
    ~OperatorServer();

private:
    class Private;
    explicit OperatorServer(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
