// gRPC client of the Owner service of other hosts.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <grpcpp/grpcpp.h>

#include "banyanledge.grpc.pb.h"
#include "base/channel.h"
#include "base/types.h"

namespace banyanledge
{

// Keeps one channel for each address.
class OwnerClient
{
public:
    OwnerClient() = default;
    OwnerClient(const OwnerClient &) = delete;
    OwnerClient &operator=(const OwnerClient &) = delete;
    ~OwnerClient();

    // Cancels the outstanding calls and waits for their callbacks. Later calls fail at once.
    void stop();

    // Calls of the service's methods. `done` gets nullptr when the call failed. It runs on a gRPC thread, or on the
    // caller's thread after stop() and when `address` is empty.
    void tokens(const std::string &address, const proto::TokensRequest &request, Duration timeout,
                std::function<void(const proto::TokensReply *)> done);
    void acquire(const std::string &address, const proto::AcquireRequest &request, Duration timeout,
                 std::function<void(const proto::AcquireReply *)> done);
    void release(const std::string &address, const proto::ReleaseRequest &request, Duration timeout,
                 std::function<void(const proto::Empty *)> done);
    void held(const std::string &address, const proto::HeldRequest &request, Duration timeout,
              std::function<void(const proto::HeldReply *)> done);
    void handover(const std::string &address, const proto::HandoverRequest &request, Duration timeout,
                  std::function<void(const proto::Empty *)> done);

private:
    template<typename Request, typename Reply, typename Start>
    void call(const std::string &address, const Request &request, Duration timeout,
              std::function<void(const Reply *)> done, Start start);

    std::mutex m_mutex;
    std::condition_variable m_callEnded;
    bool m_stopped = false;
    ChannelCache m_channels;
    std::set<grpc::ClientContext *> m_contexts; // of outstanding calls
};

} // namespace banyanledge
