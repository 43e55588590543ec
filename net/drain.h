// Steps of a graceful shutdown of an HTTP server, called from another thread than that of its event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <memory>

#include "base/types.h"
#include "net/server.h"

namespace banyanledge
{

// Runs a function on the thread of an event loop, waits for it and returns its result.
template<typename Function>
auto runOnLoop(asio::io_context &loop, Function function)
{
    // Shared with the loop: the result is available before the loop has finished with the task.
    auto task = std::make_shared<std::packaged_task<decltype(function())()>>(std::move(function));
    auto result = task->get_future();
    asio::post(loop, [task] { (*task)(); });
    return result.get();
}

// Closes the connections of a server as they become idle, until none is left or the deadline has passed. Returns the
// number of connections that are left.
std::size_t closeConnections(asio::io_context &loop, HttpServer &server, Time deadline);

} // namespace banyanledge
