// Finds out whether the process of a server that lost a connection has ended: it refuses new connections then. One that
// has started again meanwhile accepts them, and states its warm-up in the answer to a health check.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/types.h"
#include "gateway/headernames.h"
#include "gateway/upstream.h"

namespace banyanledge
{

// Server to check. Without a health path, only a connection is opened.
struct ProcessCheckTarget
{
    std::string server; // id
    asio::ip::tcp::endpoint address;
    std::string healthPath;
};

// What a check found. A server that neither accepts nor refuses may be cut off, and is not known to have ended.
struct ProcessCheckResult
{
    bool refused = false;
    bool answered = false; // the health check
    std::optional<milliseconds> warmupLeft; // that the server stated; nullopt: none

    bool operator==(const ProcessCheckResult &) const = default;
};

// Used on the event loop's thread only.
class ProcessCheck
{
public:
    using Done = std::function<void(const ProcessCheckResult &)>;

    // `upstream` must live as long as this object.
    ProcessCheck(asio::io_context &loop, Upstream &upstream, const HeaderNames &headerNames);
    ~ProcessCheck();

    // Checks the server and calls `done`; not at all when this object is destroyed before. Checks of one server at the
    // same time are one.
    void start(const ProcessCheckTarget &target, Done done);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
