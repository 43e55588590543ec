#include "fleet/tokencalls.h"

#include <grpcpp/grpcpp.h>

#include "banyanledge.grpc.pb.h"

namespace banyanledge
{

namespace
{

// Timeout of a call that measures a round trip.
constexpr milliseconds roundTripTimeout{1000};

proto::TakeTokensReply unavailable(const std::string &reason)
{
    proto::TakeTokensReply reply;
    reply.set_kind(proto::ERROR_UNAVAILABLE);
    reply.set_message(reason);
    return reply;
}

} // namespace

struct TokenCalls::Call
{
    std::unique_ptr<grpc::ClientContext> refusedContext; // of the first attempt, which ends only after its callback
    std::unique_ptr<grpc::ClientContext> context;
    proto::TakeTokensRequest request;
    proto::TakeTokensReply reply;
    std::string address;
    std::string leader; // called when the host at `address` refuses; empty: none
    Time sent{};
    Time deadline{};
    Done done; // empty for a measurement
};

TokenCalls::TokenCalls(ChannelCache &channels)
    : m_channels(channels)
{
}

TokenCalls::~TokenCalls()
{
    stop();
}

void TokenCalls::stop()
{
    std::unique_lock lock(m_mutex);
    m_stopped = true;
    for (const auto &call : m_calls) {
        call->context->TryCancel();
    }
    m_callEnded.wait(lock, [this] { return m_calls.empty(); });
}

void TokenCalls::measureRoundTrips(const ControlHosts &hosts, Time now)
{
    std::vector<std::string> due;
    {
        const std::lock_guard lock(m_mutex);
        due = m_nearestHost.takeDue(hosts.all, now);
    }
    for (const std::string &address : due) {
        const auto call = std::make_shared<Call>();
        call->deadline = now + roundTripTimeout;
        send(call, address);
    }
}

void TokenCalls::take(const proto::TakeTokensRequest &request, const ControlHosts &hosts, Time deadline,
                      const Done &done)
{
    const auto call = std::make_shared<Call>();
    call->request = request;
    call->deadline = deadline;
    call->done = done;
    std::string nearest;
    {
        const std::lock_guard lock(m_mutex);
        nearest = m_nearestHost.choose(hosts.all);
    }
    call->leader = nearest.empty() || nearest == hosts.leader ? std::string() : hosts.leader;
    send(call, nearest.empty() ? hosts.leader : nearest);
}

void TokenCalls::send(const std::shared_ptr<Call> &call, const std::string &address)
{
    const Time now = Clock::now();
    auto context = std::make_unique<grpc::ClientContext>();
    context->set_deadline(
        std::chrono::system_clock::now()
        + std::chrono::duration_cast<std::chrono::system_clock::duration>(std::max(call->deadline - now, Duration{})));
    call->address = address;
    call->sent = now;
    if (!registerAttempt(call, std::move(context))) {
        call->reply = unavailable("this host is stopping or knows no control host");
        end(call);
        return;
    }
    const auto stub = proto::Control::NewStub(m_channels.channel(address, now));
    stub->async()->TakeTokens(call->context.get(), &call->request, &call->reply,
                              [this, call](const grpc::Status &status) {
                                  if (!status.ok()) {
                                      call->reply = unavailable(status.error_message());
                                  }
                                  finish(call, status.ok());
                              });
}

// A call that timed out is not repeated, because the requests that wait for it wait no longer.
void TokenCalls::finish(const std::shared_ptr<Call> &call, bool ok)
{
    const Time now = Clock::now();
    const bool refused = call->reply.kind() != proto::ERROR_NONE && call->reply.granted_size() == 0;
    if (ok) {
        m_channels.recordSuccess(call->address, now);
    } else {
        m_channels.recordFailure(call->address, now);
    }
    bool repeats = false;
    {
        const std::lock_guard lock(m_mutex);
        if (refused) {
            m_nearestHost.recordFailure(call->address, now);
        } else if (!call->done) {
            m_nearestHost.recordRoundTrip(call->address, now - call->sent);
        }
        repeats = refused && !call->leader.empty() && now < call->deadline && !m_stopped;
    }
    if (repeats) {
        call->reply.Clear();
        send(call, std::exchange(call->leader, {}));
    } else {
        end(call);
    }
}

// Returns false when no call may be made.
bool TokenCalls::registerAttempt(const std::shared_ptr<Call> &call, std::unique_ptr<grpc::ClientContext> context)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped || call->address.empty()) {
        return false;
    }
    call->refusedContext = std::exchange(call->context, std::move(context));
    m_calls.insert(call);
    return true;
}

void TokenCalls::end(const std::shared_ptr<Call> &call)
{
    if (call->done) {
        call->done(call->reply);
    }
    // Notifies under the lock: after stop() the object may be destroyed as soon as the lock is released.
    const std::lock_guard lock(m_mutex);
    m_calls.erase(call);
    m_callEnded.notify_all();
}

} // namespace banyanledge
