// Calls of a gateway host for tokens of customers' rates, to the nearest control host that answers.
#pragma once

#include <grpcpp/client_context.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/channel.h"
#include "decide/nearesthost.h"

namespace banyanledge
{

// Addresses of the control hosts as one host knows them.
struct ControlHosts
{
    std::vector<std::string> all;
    std::string leader; // the one that is called for changes of the table
};

// Thread-safe.
class TokenCalls
{
public:
    using Done = std::function<void(const proto::TakeTokensReply &)>;

    explicit TokenCalls(ChannelCache &channels);
    TokenCalls(const TokenCalls &) = delete;
    TokenCalls &operator=(const TokenCalls &) = delete;
    ~TokenCalls();

    // Measures the round trips to the control hosts for which this is due, by calls that want nothing.
    void measureRoundTrips(const ControlHosts &hosts, Time now);

    // Calls the nearest control host, and the leader if that host refuses. `done` gets ERROR_UNAVAILABLE when no
    // control host answered in time; it runs on a gRPC thread.
    void take(const proto::TakeTokensRequest &request, const ControlHosts &hosts, Time deadline, const Done &done);

    // Cancels the outstanding calls and waits for their callbacks. Later calls fail at once.
    void stop();

private:
    struct Call;

    void send(const std::shared_ptr<Call> &call, const std::string &address);
    bool registerAttempt(const std::shared_ptr<Call> &call, std::unique_ptr<grpc::ClientContext> context);
    void finish(const std::shared_ptr<Call> &call, bool ok);
    void end(const std::shared_ptr<Call> &call);

    ChannelCache &m_channels;
    std::mutex m_mutex; // guards the following members
    std::condition_variable m_callEnded;
    NearestHost m_nearestHost;
    std::set<std::shared_ptr<Call>> m_calls; // outstanding
    bool m_stopped = false;
};

} // namespace banyanledge
