// HTTP server of the API for operators.
#pragma once

#include <memory>
#include <string>

#include "control/api.h"

namespace banyanledge
{

class OperatorServer
{
public:
    // Starts to serve on IP:PORT. Returns nullptr, with the reason in lastError(), when the address can't be bound.
    static std::unique_ptr<OperatorServer> start(const std::string &address, Api &api);

    ~OperatorServer();

    // Waits for the requests in flight, until the deadline, then stops the server.
    void stop(Time deadline);

private:
    class Private;
    explicit OperatorServer(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
