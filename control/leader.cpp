#include "control/leader.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <mutex>
#include <thread>

#include "banyanledge.grpc.pb.h"

namespace banyanledge
{

namespace
{

using Stub = proto::Control::Stub;

// Pause before the next attempt. An election lasts for several such pauses.
constexpr milliseconds retryInterval{50};

// Timeout of one attempt. An unresponsive leader leaves enough time for calls to its successor.
constexpr milliseconds attemptTimeout{400};

const proto::CommandResult &resultOf(const proto::ProposeReply &reply)
{
    return reply.result();
}

const proto::ReadReply &resultOf(const proto::ReadReply &reply)
{
    return reply;
}

} // namespace

class LeaderClient::Private
{
public:
    std::function<std::string()> leaderAddress;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Stub>> stubs;

    std::shared_ptr<Stub> stub(const std::string &address);

    template<typename Request, typename Reply>
    bool call(grpc::Status (Stub::*method)(grpc::ClientContext *, const Request &, Reply *), const Request &request,
              Reply &reply, Time deadline);
};

std::shared_ptr<Stub> LeaderClient::Private::stub(const std::string &address)
{
    const std::lock_guard lock(mutex);
    auto &found = stubs[address];
    if (!found) {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(-1);
        // By default, gRPC channels to one address share a connection. A new channel would then reuse a connection that
        // no longer delivers anything.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 50);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
        found =
            proto::Control::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    }
    return found;
}

// Calls the leader until it answers with a result other than ERROR_UNAVAILABLE. Returns false at the deadline.
template<typename Request, typename Reply>
bool LeaderClient::Private::call(grpc::Status (Stub::*method)(grpc::ClientContext *, const Request &, Reply *),
                                 const Request &request, Reply &reply, Time deadline)
{
    std::string leaderHint;
    while (Clock::now() < deadline) {
        const std::string address = leaderHint.empty() ? leaderAddress() : leaderHint;
        leaderHint.clear();
        if (!address.empty()) {
            grpc::ClientContext context;
            const Duration timeout = std::min<Duration>(attemptTimeout, deadline - Clock::now());
            context.set_deadline(std::chrono::system_clock::now()
                                 + std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout));
            reply.Clear();
            if (((*stub(address)).*method)(&context, request, &reply).ok()) {
                if (resultOf(reply).kind() != proto::ERROR_UNAVAILABLE) {
                    return true;
                }
                leaderHint = reply.leader_address() == address ? "" : reply.leader_address();
            } else {
                const std::lock_guard lock(mutex);
                stubs.erase(address); // the connection may be dead, so the next attempt opens another one
            }
        }
        std::this_thread::sleep_for(std::min<Duration>(retryInterval, std::max(Duration{}, deadline - Clock::now())));
    }
    return false;
}

LeaderClient::LeaderClient(std::function<std::string()> leaderAddress)
    : d(std::make_unique<Private>())
{
    d->leaderAddress = std::move(leaderAddress);
}

LeaderClient::~LeaderClient() = default;

proto::CommandResult LeaderClient::propose(const proto::Command &command, Time deadline)
{
    proto::ProposeReply reply;
    if (!d->call(&Stub::Propose, command, reply, deadline)) {
        reply.mutable_result()->set_kind(proto::ERROR_UNAVAILABLE);
        reply.mutable_result()->set_message(
            "no control leader confirmed the change in time, so it is unknown whether it is in force");
    }
    return reply.result();
}

proto::CommandResult LeaderClient::changeMember(const proto::ChangeMembersRequest &request, Time deadline)
{
    proto::ProposeReply reply;
    if (!d->call(&Stub::ChangeMembers, request, reply, deadline)) {
        reply.mutable_result()->set_kind(proto::ERROR_UNAVAILABLE);
        reply.mutable_result()->set_message("no control leader confirmed the change of the control group in time");
    }
    return reply.result();
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

proto::ControlStatus LeaderClient::status(Time deadline)
{
    proto::ControlStatus reply;
    const std::string address = d->leaderAddress();
    if (address.empty()) {
        return reply;
    }
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now()
                         + std::chrono::duration_cast<std::chrono::system_clock::duration>(
                             std::min<Duration>(attemptTimeout, deadline - Clock::now())));
    if (!d->stub(address)->Status(&context, {}, &reply).ok()) {
        reply.Clear();
    }
    return reply;
}

} // namespace banyanledge
