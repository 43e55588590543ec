// Reverse proxy for the declared routes: authenticates and rate-limits requests, selects a backend server, forwards the
// request and retries it where that is safe.
#pragma once

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "decide/view.h"
#include "gateway/headernames.h"
#include "gateway/tokenclient.h"
#include "net/server.h"

namespace banyanledge
{

// All functions run on the thread of the event loop.
class Gateway
{
public:
    struct Options
    {
        proto::HostSettings host;
        proto::GatewaySettings settings;
        HeaderNames headerNames;
        // Requests rate-limit tokens from the control leader; the callback must run on the event loop's thread.
        TokenClient::SendCall takeTokens;
        // Sends the report to the leader at once; may be empty. Runs on the event loop's thread.
        std::function<void()> reportNow;
    };

    Gateway(asio::io_context &loop, Options options);
    ~Gateway();

    // Applies a new copy of the replicated table.
    void setView(const std::shared_ptr<const View> &view);

    // Records that the copy of the table in use holds everything committed at `confirmedAt`.
    void confirmView(Time confirmedAt);

    // Time since the copy of the table was last confirmed; nullopt before the first confirmation.
    std::optional<Duration> viewAge(Time now) const;

    // Applies the reply to a Sync call: this host's shares of the customers' rates, the loads of backend servers, the
    // mean request rate of the region and the requests that are suspected of crashing servers. `request` is the call
    // that was answered.
    void applySyncReply(const proto::SyncRequest &request, const proto::SyncReply &reply);

    // Adds this host's request rate, the demand and share of each customer, the requests in flight at each backend
    // server and the requests that were running when servers crashed to a Sync call.
    void report(proto::SyncRequest &request) const;

    // Forwards one client request; the response is sent through `call`.
    void handle(std::shared_ptr<HttpCall> call);

    // Whether a request may be in progress together with others of its connection: its route allows it to run more than
    // once, and its response is not a large one. Also true if no server would run it.
    bool mayPipeline(const HttpHead &head) const;

    // Whether a declaration and at least one usable backend server are known.
    bool ready() const;

    // HTTP limits for clients: the declared ones, and defaults for those that are not declared.
    HttpLimits limits() const;

    // HTTP addresses of the live hosts in the client's region, in random order; of all regions when that region has
    // none. `zone` selects the hosts when `region` is empty.
    std::vector<std::string> hostsFor(const std::string &region, const std::string &zone) const;

    // Bytes of responses in memory. The server for clients has to count what its connections hold.
    std::shared_ptr<ByteBudget> responseBudget() const;

    // Requests of clients in progress.
    std::size_t inFlight() const;

    // Prepares for the end of this host: from now on requests whose time limit is later than `end` are rejected as not
    // run, and those in progress time out at `end`.
    void beginStop(Time end);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
