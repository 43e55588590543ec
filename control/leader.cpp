#include "control/leader.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "banyanledge.grpc.pb.h"
#include "base/channel.h"
#include "decide/calltimeout.h"

namespace banyanledge
{

namespace
{

using Stub = proto::Control::Stub;

// Pause before the next attempt. An election lasts for several such pauses.
constexpr milliseconds retryInterval{50};

// Bounds of the timeout of one attempt. With the shortest one, an unresponsive leader leaves enough time for calls to
// its successor. The longest one covers the round trips of the call and of the commit to distant members.
constexpr milliseconds minAttemptTimeout{400};
constexpr milliseconds maxAttemptTimeout{1600};

const proto::CommandResult &resultOf(const proto::ProposeReply &reply)
{
    return reply.result();
}

const proto::ReadReply &resultOf(const proto::ReadReply &reply)
{
    return reply;
}

proto::CommandResult notSent(const std::string &reason)
{
    proto::CommandResult result;
    result.set_kind(proto::ERROR_UNAVAILABLE);
    result.set_message(reason + ", so the change was not sent and is not in force");
    return result;
}

} // namespace

class LeaderClient::Private
{
public:
    std::function<std::string()> leaderAddress;
    std::function<std::string()> contactAddress; // may be empty
    ChannelCache channels;
    std::atomic<Time> callsEnd{Time::max()}; // of all calls
    std::mutex mutex;
    std::map<std::string, CallTimeout> timeouts; // of attempts, by address; guarded by mutex
    std::set<grpc::ClientContext *> outstanding; // of attempts; guarded by mutex

    std::string nextAddress() const;
    Duration attemptTimeout(const std::string &address);
    void recordAttempt(const std::string &address, const grpc::Status &status, Duration took);
    void setOutstanding(grpc::ClientContext &context, bool isOutstanding);

    // One attempt at a host.
    template<typename Request, typename Reply>
    bool attempt(grpc::Status (Stub::*method)(grpc::ClientContext *, const Request &, Reply *),
                 const std::string &address, const Request &request, Reply &reply, Time deadline);

    template<typename Request, typename Reply>
    bool call(grpc::Status (Stub::*method)(grpc::ClientContext *, const Request &, Reply *), const Request &request,
              Reply &reply, Time deadline);
};

bool OrderCaller::isWaiting(Time now) const
{
    return now < deadline && (!isConnected || isConnected());
}

std::string LeaderClient::Private::nextAddress() const
{
    const std::string leader = leaderAddress();
    return leader.empty() && contactAddress ? contactAddress() : leader;
}

Duration LeaderClient::Private::attemptTimeout(const std::string &address)
{
    const std::lock_guard lock(mutex);
    return timeouts.try_emplace(address, minAttemptTimeout, maxAttemptTimeout).first->second.value();
}

void LeaderClient::Private::recordAttempt(const std::string &address, const grpc::Status &status, Duration took)
{
    if (!status.ok()) {
        channels.recordFailure(address, Clock::now());
    }
    const std::lock_guard lock(mutex);
    CallTimeout &timeout = timeouts.at(address);
    if (status.ok()) {
        timeout.recordReply(took);
    } else if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED && took >= timeout.value()) {
        timeout.recordTimeout();
    }
}

void LeaderClient::Private::setOutstanding(grpc::ClientContext &context, bool isOutstanding)
{
    const std::lock_guard lock(mutex);
    if (!isOutstanding) {
        outstanding.erase(&context);
        return;
    }
    outstanding.insert(&context);
    if (callsEnd.load() == Time{}) {
        context.TryCancel(); // cancelCalls() came before this attempt
    }
}

template<typename Request, typename Reply>
bool LeaderClient::Private::attempt(grpc::Status (Stub::*method)(grpc::ClientContext *, const Request &, Reply *),
                                    const std::string &address, const Request &request, Reply &reply, Time deadline)
{
    const Time start = Clock::now();
    const Duration timeout = std::min(attemptTimeout(address), deadline - start);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now()
                         + std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout));
    const auto stub = proto::Control::NewStub(channels.channel(address, start));
    setOutstanding(context, true);
    const grpc::Status status = ((*stub).*method)(&context, request, &reply);
    setOutstanding(context, false);
    recordAttempt(address, status, Clock::now() - start);
    return status.ok();
}

// Calls the leader until it answers with a result other than ERROR_UNAVAILABLE. Returns false at the deadline.
template<typename Request, typename Reply>
bool LeaderClient::Private::call(grpc::Status (Stub::*method)(grpc::ClientContext *, const Request &, Reply *),
                                 const Request &request, Reply &reply, Time deadline)
{
    std::string leaderHint;
    while (Clock::now() < std::min(deadline, callsEnd.load())) {
        const bool wasNamed = !leaderHint.empty();
        const std::string address = wasNamed ? leaderHint : nextAddress();
        leaderHint.clear();
        if (!address.empty()) {
            reply.Clear();
            if (attempt(method, address, request, reply, std::min(deadline, callsEnd.load()))) {
                if (resultOf(reply).kind() != proto::ERROR_UNAVAILABLE) {
                    return true;
                }
                leaderHint = reply.leader_address() == address ? "" : reply.leader_address();
            }
        }
        if (!leaderHint.empty() && !wasNamed) {
            continue; // the pause is for elections, and for hosts that name each other
        }
        std::this_thread::sleep_for(std::min<Duration>(retryInterval, std::max(Duration{}, deadline - Clock::now())));
    }
    return false;
}

LeaderClient::LeaderClient(std::function<std::string()> leaderAddress, std::function<std::string()> contactAddress)
    : d(std::make_unique<Private>())
{
    d->leaderAddress = std::move(leaderAddress);
    d->contactAddress = std::move(contactAddress);
}

LeaderClient::~LeaderClient() = default;

void LeaderClient::limitCalls(Time end)
{
    d->callsEnd = end;
}

void LeaderClient::cancelCalls()
{
    limitCalls(Time{});
    const std::lock_guard lock(d->mutex);
    for (grpc::ClientContext *context : d->outstanding) {
        context->TryCancel();
    }
}

proto::CommandResult LeaderClient::propose(const proto::Command &command, Time deadline)
{
    proto::ProposeReply reply;
    if (!d->call(&Stub::Propose, command, reply, deadline)) {
        reply.mutable_result()->set_kind(proto::ERROR_UNAVAILABLE);
        reply.mutable_result()->set_message(
            "no control leader confirmed the change in time, so it is unknown whether it is in force (it cannot come "
            "into force any more once a newer change of the same object is acknowledged)");
    }
    return reply.result();
}

// The revision is read after the order arrived and before the caller is asked for: a newer order that the caller sends
// elsewhere once it waits no more is decided at a higher revision.
proto::CommandResult LeaderClient::proposeOrder(proto::Command command, const OrderCaller &caller)
{
    const auto revision = newestRevision(caller.deadline);
    if (!revision) {
        return notSent("no control leader confirmed the newest revision in time");
    }
    if (!caller.isWaiting(Clock::now())) {
        return notSent("the caller waits no more");
    }
    command.set_seen_revision(*revision);
    return propose(command, caller.deadline);
}

proto::CommandResult LeaderClient::changeMember(proto::ChangeMembersRequest request, const OrderCaller &caller)
{
    proto::CommandResult result = notSent("no control leader confirmed the newest revision in time");
    while (caller.isWaiting(Clock::now())) {
        const auto revision = newestRevision(caller.deadline);
        if (!revision || !caller.isWaiting(Clock::now())) {
            break;
        }
        request.set_seen_revision(*revision);
        proto::ProposeReply reply;
        if (!d->call(&Stub::ChangeMembers, request, reply, caller.deadline)) {
            reply.mutable_result()->set_kind(proto::ERROR_UNAVAILABLE);
            reply.mutable_result()->set_message("no control leader confirmed the change of the control group in time");
        }
        result = reply.result();
        if (result.kind() != proto::ERROR_CONFLICT) {
            break;
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return result;
}

proto::ReadReply LeaderClient::read(const proto::ReadRequest &request, Time deadline)
{
    proto::ReadReply reply;
    if (!d->call(&Stub::Read, request, reply, deadline)) {
        reply.set_kind(proto::ERROR_UNAVAILABLE);
        reply.set_message("no control leader answered in time");
    }
    return reply;
}

std::optional<Revision> LeaderClient::newestRevision(Time deadline)
{
    proto::ReadRequest request;
    request.set_revision_only(true);
    const proto::ReadReply reply = read(request, deadline);
    return reply.kind() == proto::ERROR_NONE ? std::optional(reply.content().revision()) : std::nullopt;
}

proto::ControlStatus LeaderClient::status(Time deadline)
{
    proto::ControlStatus reply;
    const std::string address = d->leaderAddress();
    if (address.empty()) {
        return reply;
    }
    if (!d->attempt(&Stub::Status, address, proto::StatusRequest(), reply, deadline)) {
        reply.Clear();
    }
    return reply;
}

} // namespace banyanledge
