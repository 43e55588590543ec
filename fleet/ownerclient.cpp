#include "fleet/ownerclient.h"

namespace banyanledge
{

OwnerClient::~OwnerClient()
{
    stop();
}

void OwnerClient::stop()
{
    std::unique_lock lock(m_mutex);
    m_stopped = true;
    for (grpc::ClientContext *context : m_contexts) {
        context->TryCancel();
    }
    m_callEnded.wait(lock, [this] { return m_contexts.empty(); });
}

template<typename Request, typename Reply, typename Start>
void OwnerClient::call(const std::string &address, const Request &request, Duration timeout,
                       std::function<void(const Reply *)> done, Start start)
{
    struct Call
    {
        grpc::ClientContext context;
        Request request;
        Reply reply;
        std::unique_ptr<proto::Owner::Stub> stub;
    };
    auto call = std::make_shared<Call>();
    call->request = request;
    call->context.set_deadline(std::chrono::system_clock::now()
                               + std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout));
    {
        const std::lock_guard lock(m_mutex);
        if (!m_stopped && !address.empty()) {
            call->stub = proto::Owner::NewStub(m_channels.channel(address, Clock::now()));
            m_contexts.insert(&call->context);
        }
    }
    if (call->stub == nullptr) {
        done(nullptr);
        return;
    }
    start(*call->stub->async(), &call->context, &call->request, &call->reply,
          [this, call, done = std::move(done)](const grpc::Status &status) {
              done(status.ok() ? &call->reply : nullptr);
              // Notifies under the lock: after stop() the object may be destroyed as soon as the lock is released.
              const std::lock_guard lock(m_mutex);
              m_contexts.erase(&call->context);
              m_callEnded.notify_all();
          });
}

void OwnerClient::tokens(const std::string &address, const proto::TokensRequest &request, Duration timeout,
                         std::function<void(const proto::TokensReply *)> done)
{
    call(address, request, timeout, std::move(done),
         [](auto &async, auto... arguments) { async.Tokens(arguments...); });
}

void OwnerClient::acquire(const std::string &address, const proto::AcquireRequest &request, Duration timeout,
                          std::function<void(const proto::AcquireReply *)> done)
{
    call(address, request, timeout, std::move(done),
         [](auto &async, auto... arguments) { async.Acquire(arguments...); });
}

void OwnerClient::release(const std::string &address, const proto::ReleaseRequest &request, Duration timeout,
                          std::function<void(const proto::Empty *)> done)
{
    call(address, request, timeout, std::move(done),
         [](auto &async, auto... arguments) { async.ReleaseSlots(arguments...); });
}

void OwnerClient::held(const std::string &address, const proto::HeldRequest &request, Duration timeout,
                       std::function<void(const proto::HeldReply *)> done)
{
    call(address, request, timeout, std::move(done), [](auto &async, auto... arguments) { async.Held(arguments...); });
}

void OwnerClient::handover(const std::string &address, const proto::HandoverRequest &request, Duration timeout,
                           std::function<void(const proto::Empty *)> done)
{
    call(address, request, timeout, std::move(done),
         [](auto &async, auto... arguments) { async.Handover(arguments...); });
}

} // namespace banyanledge
