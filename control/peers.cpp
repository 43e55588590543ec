#include "control/peers.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "banyanledge.grpc.pb.h"
#include "base/channel.h"
#include "base/metrics.h"

namespace banyanledge
{

namespace
{

// Timeout of a call, for a new connection or several round trips.
constexpr milliseconds deliverTimeout{1000};

// Timeout of a call with a snapshot, which is large.
constexpr milliseconds snapshotTimeout{30000};

// Outstanding calls to a member. With a single one, a message would wait for the round trip of the previous call, and a
// commit among distant members would take several round trips instead of one.
constexpr std::size_t maxActiveCalls = 8;

// Messages kept for a member while no further call may start. The oldest are dropped first; Raft sends them again.
constexpr std::size_t maxQueuedMessages = 256;

// The same by encoded size in bytes. The newest message stays in any case, because a snapshot may be larger.
constexpr std::size_t maxQueuedBytes = 8 << 20;

struct Peer
{
    std::string listedAddress; // from the member list; empty if it does not name the host
    std::string learnedAddress; // from the host's own messages
    std::deque<proto::RaftMessage> queue;
    std::size_t queuedBytes = 0; // encoded size of the queue
    std::set<grpc::ClientContext *> activeCalls;

    const std::string &address() const
    {
        return listedAddress.empty() ? learnedAddress : listedAddress;
    }
};

struct Delivery
{
    grpc::ClientContext context;
    std::string address;
    std::unique_ptr<proto::Raft::Stub> stub;
    proto::RaftBatch batch;
    proto::Empty reply;
};

} // namespace

class RaftPeers::Private
{
public:
    std::string ownAddress;
    std::mutex mutex;
    std::condition_variable idle;
    std::map<std::string, Peer> peers;
    ChannelCache channels;
    bool stopped = false;
    unsigned activeCalls = 0; // to all members

    std::shared_ptr<Delivery> nextDelivery(Peer &peer);
    void startCall(const std::string &id);
    void endCall(const std::string &id, const std::shared_ptr<Delivery> &delivery, bool ok);
};

// Moves the queued messages of a member into a call. Returns nullptr when there is nothing to send or all calls are
// outstanding. The caller holds the mutex.
std::shared_ptr<Delivery> RaftPeers::Private::nextDelivery(Peer &peer)
{
    if (stopped || peer.activeCalls.size() >= maxActiveCalls || peer.queue.empty()) {
        return nullptr;
    }
    auto delivery = std::make_shared<Delivery>();
    milliseconds timeout = deliverTimeout;
    for (auto &message : peer.queue) {
        timeout = message.kind() == proto::RaftMessage::SNAPSHOT ? snapshotTimeout : timeout;
        message.set_from_address(ownAddress);
        *delivery->batch.add_messages() = std::move(message);
    }
    peer.queue.clear();
    peer.queuedBytes = 0;
    delivery->context.set_deadline(std::chrono::system_clock::now() + timeout);
    delivery->address = peer.address();
    delivery->stub = proto::Raft::NewStub(channels.channel(delivery->address, Clock::now()));
    peer.activeCalls.insert(&delivery->context);
    ++activeCalls;
    return delivery;
}

void RaftPeers::Private::startCall(const std::string &id)
{
    std::shared_ptr<Delivery> delivery;
    {
        const std::lock_guard lock(mutex);
        delivery = nextDelivery(peers[id]);
    }
    if (delivery) {
        delivery->stub->async()->Deliver(
            &delivery->context, &delivery->batch, &delivery->reply,
            [this, id, delivery](const grpc::Status &status) { endCall(id, delivery, status.ok()); });
    }
}

void RaftPeers::Private::endCall(const std::string &id, const std::shared_ptr<Delivery> &delivery, bool ok)
{
    if (!ok) {
        countMetric("banyanledge_raft_deliver_failures_total", {{"peer", id}});
        channels.recordFailure(delivery->address, Clock::now());
    }
    {
        const std::lock_guard lock(mutex);
        peers[id].activeCalls.erase(&delivery->context);
    }
    startCall(id);
    const std::lock_guard lock(mutex);
    --activeCalls;
    idle.notify_all();
}

RaftPeers::RaftPeers(std::string ownAddress)
    : d(std::make_unique<Private>())
{
    d->ownAddress = std::move(ownAddress);
}

RaftPeers::~RaftPeers()
{
    stop();
}

void RaftPeers::setAddress(const std::string &id, const std::string &address)
{
    const std::lock_guard lock(d->mutex);
    d->peers[id].listedAddress = address;
}

void RaftPeers::learnAddress(const std::string &id, const std::string &address)
{
    const std::lock_guard lock(d->mutex);
    d->peers[id].learnedAddress = address;
}

void RaftPeers::send(const proto::RaftMessage &message)
{
    {
        const std::lock_guard lock(d->mutex);
        if (d->stopped) {
            return;
        }
        const auto found = d->peers.find(message.to());
        if (found == d->peers.end() || found->second.address().empty()) {
            countMetric("banyanledge_raft_unaddressed_total", {{"peer", message.to()}});
            return;
        }
        auto &queue = found->second.queue;
        queue.push_back(message);
        found->second.queuedBytes += message.ByteSizeLong();
        while (queue.size() > maxQueuedMessages || (queue.size() > 1 && found->second.queuedBytes > maxQueuedBytes)) {
            found->second.queuedBytes -= queue.front().ByteSizeLong();
            queue.pop_front();
        }
    }
    d->startCall(message.to());
}

void RaftPeers::stop()
{
    std::unique_lock lock(d->mutex);
    d->stopped = true;
    for (auto &[id, peer] : d->peers) {
        peer.queue.clear();
        peer.queuedBytes = 0;
        for (grpc::ClientContext *context : peer.activeCalls) {
            context->TryCancel();
        }
    }
    d->idle.wait(lock, [this] { return d->activeCalls == 0; });
}

} // namespace banyanledge
