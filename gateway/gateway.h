// Serves the declared routes: authenticates, limits, places and forwards requests, and repeats what may be repeated.
#pragma once

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/view.h"
#include "gateway/headernames.h"
#include "gateway/tokenclient.h"
#include "net/server.h"

namespace banyanledge
{

class Gateway
{
public:
    struct Options
    {
        proto::HostSettings host;
        proto::GatewaySettings settings;
        HeaderNames headerNames;
        // Asks the leader for tokens; the answer has to reach `done` on the loop's thread.
        TokenClient::SendCall takeTokens;
    };

    Gateway(asio::io_context &loop, Options options);
    ~Gateway();

    // All functions run on the loop's thread.

    // Takes a new copy of the table.
    void setView(const std::shared_ptr<const View> &view);

    // Takes this host's shares of customers' rates and the loads of servers from an answer to a report.
    void applySyncReply(const proto::SyncRequest &request, const proto::SyncReply &reply);

    // Adds demand, held shares and requests in flight to a Sync call.
    void report(proto::SyncRequest &request) const;

    void handle(std::shared_ptr<HttpCall> call);

    // Whether a declaration and backend servers are known.
    bool ready() const;

    // Limits of callers from the declaration.
    HttpLimits limits() const;

    // Addresses of the hosts that a caller in this region should use; all regions when none of the region is live.
    std::vector<std::string> hostsFor(const std::string &region, const std::string &zone) const;

    std::size_t inFlight() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
