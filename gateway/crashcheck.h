// Finds out whether a server whose connection ended during a request has crashed: it refuses new connections then,
// while a server that closed a connection for another reason accepts them.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

#include "base/types.h"

namespace banyanledge
{

// Used on the event loop's thread only.
class CrashCheck
{
public:
    explicit CrashCheck(asio::io_context &loop);
    ~CrashCheck();

    // Connects to the server and calls `done` with whether it refused the connection; not at all when this object is
    // destroyed before. Checks of one server at the same time share one connection.
    void start(const std::string &server, const asio::ip::tcp::endpoint &address, std::function<void(bool)> done);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
