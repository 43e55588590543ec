#include "control/peers.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

#include "banyanledge.grpc.pb.h"
#include "base/metrics.h"

namespace banyanledge
{

namespace
{

// Timeout of a call, so that an unresponsive member doesn't delay newer messages.
constexpr milliseconds deliverTimeout{600};

// Timeout of a call with a snapshot, which is large.
constexpr milliseconds snapshotTimeout{30000};

// Messages kept for a member while a call is outstanding. The oldest are dropped first, because Raft sends them again.
constexpr std::size_t maxQueuedMessages = 256;

struct Peer
{
    std::string address;
    std::unique_ptr<proto::Raft::Stub> stub;
    std::unique_ptr<proto::Raft::Stub> previousStub; // kept until the callback of its last call has returned
    std::vector<proto::RaftMessage> queue;
    bool callActive = false;
    grpc::ClientContext *context = nullptr; // of the outstanding call
};

struct Delivery
{
    grpc::ClientContext context;
    proto::RaftBatch batch;
    proto::Empty reply;
};

std::unique_ptr<proto::Raft::Stub> connectStub(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxSendMessageSize(-1);
    arguments.SetMaxReceiveMessageSize(-1);
    // By default, gRPC channels to one address share a connection. A new channel would then reuse a connection that no
    // longer delivers anything.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // Short backoff, so that a member that comes back is reached well within an election timeout.
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
    return proto::Raft::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

} // namespace

class RaftPeers::Private
{
public:
    std::mutex mutex;
    std::condition_variable idle;
    std::map<std::string, Peer> peers;
    bool stopped = false;
    unsigned activeCalls = 0;

    std::shared_ptr<Delivery> nextDelivery(Peer &peer);
    void startCall(const std::string &id);
    void endCall(const std::string &id, bool ok);
};

// Moves the queued messages of a member into a call. Returns nullptr when there is nothing to send or a call is
// outstanding. The caller holds the mutex.
std::shared_ptr<Delivery> RaftPeers::Private::nextDelivery(Peer &peer)
{
    if (stopped || peer.callActive || peer.queue.empty() || !peer.stub) {
        return nullptr;
    }
    auto delivery = std::make_shared<Delivery>();
    milliseconds timeout = deliverTimeout;
    for (auto &message : peer.queue) {
        timeout = message.kind() == proto::RaftMessage::SNAPSHOT ? snapshotTimeout : timeout;
        *delivery->batch.add_messages() = std::move(message);
    }
    peer.queue.clear();
    delivery->context.set_deadline(std::chrono::system_clock::now() + timeout);
    peer.callActive = true;
    peer.context = &delivery->context;
    ++activeCalls;
    return delivery;
}

void RaftPeers::Private::startCall(const std::string &id)
{
    std::shared_ptr<Delivery> delivery;
    proto::Raft::Stub *stub = nullptr;
    {
        const std::lock_guard lock(mutex);
        Peer &peer = peers[id];
        delivery = nextDelivery(peer);
        stub = peer.stub.get();
    }
    if (delivery) {
        stub->async()->Deliver(&delivery->context, &delivery->batch, &delivery->reply,
                               [this, id, delivery](const grpc::Status &status) { endCall(id, status.ok()); });
    }
}

void RaftPeers::Private::endCall(const std::string &id, bool ok)
{
    if (!ok) {
        countMetric("banyanledge_raft_deliver_failures_total", {{"peer", id}});
    }
    {
        const std::lock_guard lock(mutex);
        Peer &peer = peers[id];
        peer.callActive = false;
        peer.context = nullptr;
        if (!ok && !stopped) {
            // The connection may be dead, so the next call opens another one. The old stub has to outlive this callback
            // of its last call.
            peer.previousStub = std::move(peer.stub);
            peer.stub = connectStub(peer.address);
        }
    }
    startCall(id);
    const std::lock_guard lock(mutex);
    --activeCalls;
    idle.notify_all();
}

RaftPeers::RaftPeers()
    : d(std::make_unique<Private>())
{
}

RaftPeers::~RaftPeers()
{
    stop();
}

void RaftPeers::setAddress(const std::string &id, const std::string &address)
{
    const std::lock_guard lock(d->mutex);
    Peer &peer = d->peers[id];
    // The stub has to outlive its outstanding call. The control host sets the address again in its next tick.
    if (peer.address != address && !peer.callActive) {
        peer.address = address;
        peer.stub = connectStub(address);
    }
}

void RaftPeers::send(const proto::RaftMessage &message)
{
    {
        const std::lock_guard lock(d->mutex);
        const auto found = d->peers.find(message.to());
        if (found == d->peers.end() || d->stopped) {
            return;
        }
        auto &queue = found->second.queue;
        if (queue.size() >= maxQueuedMessages) {
            queue.erase(queue.begin());
        }
        queue.push_back(message);
    }
    d->startCall(message.to());
}

void RaftPeers::stop()
{
    std::unique_lock lock(d->mutex);
    d->stopped = true;
    for (auto &[id, peer] : d->peers) {
        peer.queue.clear();
        if (peer.context != nullptr) {
            peer.context->TryCancel();
        }
    }
    d->idle.wait(lock, [this] { return d->activeCalls == 0; });
}

} // namespace banyanledge
