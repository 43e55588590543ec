#include "net/drain.h"

#include <thread>

namespace banyanledge
{

namespace
{

// Interval between two checks for idle connections.
constexpr milliseconds pollInterval{20};

} // namespace

std::size_t closeConnections(asio::io_context &loop, HttpServer &server, Time deadline)
{
    const auto closeIdle = [&loop, &server] {
        return runOnLoop(loop, [&server] {
            server.closeIdleConnections();
            return server.connections();
        });
    };
    std::size_t left = closeIdle();
    while (left > 0 && Clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        left = closeIdle();
    }
    return left;
}

} // namespace banyanledge
