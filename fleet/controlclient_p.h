// Private part of ControlClient. controlclient.cpp implements its thread and the proposals, controlclient_sync.cpp the
// Sync calls.
#pragma once

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "banyanledge.grpc.pb.h"
#include "base/channel.h"
#include "fleet/controlclient.h"
#include "fleet/tokencalls.h"

namespace banyanledge
{

// Deadline of a gRPC call that ends after this time.
std::chrono::system_clock::time_point systemClockDeadline(Duration remaining);

// Outstanding Sync call. `done` and `replyBegun` are guarded by Private::mutex.
struct SyncCall : grpc::ClientUnaryReactor
{
    void OnReadInitialMetadataDone(bool ok) override
    {
        if (ok) {
            onReplyBegin();
        }
    }

    void OnDone(const grpc::Status &result) override
    {
        const auto self = std::move(outstanding); // the end of this function may release the call
        onEnd(result);
    }

    grpc::ClientContext context;
    proto::SyncRequest request;
    proto::SyncReply reply;
    grpc::Status status;
    std::string address;
    Time sent;
    std::shared_ptr<SyncCall> outstanding; // this call until gRPC has finished with it
    std::function<void()> onReplyBegin;
    std::function<void(const grpc::Status &)> onEnd;
    bool replyBegun = false; // the first byte of the reply has arrived
    bool done = false;
};

// Command that is sent until it has a result or its deadline passes.
struct Proposal
{
    proto::Command command;
    Time deadline;
    std::function<void(const proto::CommandResult &)> done;
    bool attempted = false;
};

// Outstanding Propose call: one attempt of a proposal.
struct ProposeCall
{
    grpc::ClientContext context;
    proto::ProposeReply reply;
    std::string address;
};

// Caller of whenFresh().
struct Waiter
{
    Time deadline;
    std::function<void(bool)> done;
};

class ControlClient::Private
{
public:
    explicit Private(Options options)
        : options(std::move(options))
    {
    }

    bool mayEnd() const;
    void run();
    std::shared_ptr<SyncCall> startCall();
    Time overdueAt(const SyncCall &call) const;
    bool urgentCallDue(Time now) const;
    void handleOverdueCall(const SyncCall &overdue);
    void handleEndedLateCalls(std::unique_lock<std::mutex> &lock);
    void finishCall(const SyncCall &finished);
    void finishLateCall(const SyncCall &finished);
    bool apply(const SyncCall &finished);
    void applyLoads(const SyncCall &finished);
    void confirm(const SyncCall &finished);
    void logSyncFailure(const SyncCall &failed, const std::string &reason);
    void switchHost(const std::string &failed, const std::string &leaderAddress);
    std::unique_ptr<proto::Control::Stub> stubFor(const std::string &address);
    void runDueActions(std::unique_lock<std::mutex> &lock);
    Time nextDeadline() const;
    void schedule(Time when, std::function<void()> action);
    void sendProposal(const std::shared_ptr<Proposal> &proposal);
    void finishProposeCall(const std::shared_ptr<Proposal> &proposal, const ProposeCall &proposeCall,
                           const grpc::Status &status);
    bool isFresh(Time now) const;
    ControlHosts knownHosts() const;

    const Options options;
    std::thread thread;
    mutable std::mutex mutex; // guards the members below except those of the thread and the atomics
    std::condition_variable condition;
    bool stopping = false;
    proto::MemberState state = proto::MEMBER_LIVE;
    std::string currentHost; // address of the control host that is called
    std::vector<std::string> controlHosts; // addresses from the settings and from replies
    bool syncRequested = false; // by syncNow(), not made yet
    std::shared_ptr<SyncCall> syncCall; // outstanding or not yet handled; null if none
    std::vector<std::shared_ptr<SyncCall>> lateCalls; // outstanding ones after which another call was begun
    std::vector<Waiter> waiters;
    std::multimap<Time, std::function<void()>> timers;
    std::vector<std::function<void(const std::shared_ptr<const View> &)>> listeners;
    std::vector<proto::PoolLoad> poolLoads; // of the last reply
    Time poolLoadsReceivedAt{};
    std::map<std::string, double> hostLoads; // of busy hosts, by id
    int outstandingCalls = 0; // of propose()
    // Used on this client's thread only.
    bool lastSyncFailed = false; // the last Sync call failed
    std::optional<Time> unansweredSince; // when the first call was sent that an urgent one followed without a reply
    Time urgentCallAllowedAt{}; // when syncNow() may be followed by a call
    Time lastAppliedCall{}; // when the newest call with a valid reply was sent
    ChannelCache channels;
    TokenCalls tokenCalls{channels};

    std::atomic<std::shared_ptr<const View>> view{std::make_shared<const View>()};
    std::atomic<Time> freshUntil{Time::min()};
};

} // namespace banyanledge
