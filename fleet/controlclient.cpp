#include "fleet/controlclient.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "banyanledge.grpc.pb.h"
#include "base/channel.h"
#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/packing.h"
#include "fleet/tokencalls.h"

namespace banyanledge
{

namespace
{

// Long-poll timeout: the leader answers a Sync call after this time even if the table has not changed. A third of
// freshnessLease, so that one lost reply does not end the lease.
constexpr milliseconds maxSyncWait{400};

// Time that the first byte of a Sync reply gets. Then another control host is called. After one lost call and a switch
// to another host, the next reply still arrives before freshnessLease ends.
constexpr milliseconds syncTimeout{700};

// The same with Options::longTimeout. On a saturated link a reply may take longer than syncTimeout, and a retry would
// add the same traffic again.
constexpr milliseconds longSyncTimeout{1400};

// Time that a whole Sync reply gets once its first byte has arrived, before another control host is called. A retry
// would send the reply again over the same link.
constexpr milliseconds wholeReplyTimeout{4000};

// A reply that arrives after the next call began is still applied, up to this time after its call.
constexpr milliseconds lateReplyLimit{6000};

// Delay before the next Sync or Propose call after a failed one.
constexpr milliseconds retryDelay{20};

// Timeout of a Propose call. The command is then sent again, to the leader known at that time.
constexpr milliseconds proposeTimeout{1000};

std::chrono::system_clock::time_point systemClockDeadline(Duration remaining)
{
    return std::chrono::system_clock::now()
        + std::chrono::duration_cast<std::chrono::system_clock::duration>(std::max(remaining, Duration(0)));
}

proto::CommandResult failedResult(proto::ErrorKind kind, const std::string &message)
{
    proto::CommandResult result;
    result.set_kind(kind);
    result.set_message(message);
    return result;
}

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

} // namespace

class ControlClient::Private
{
public:
    explicit Private(Options options)
        : options(std::move(options))
    {
    }

    void run();
    std::shared_ptr<SyncCall> startCall();
    Time overdueAt(const SyncCall &call) const;
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
    Time lastAppliedCall{}; // when the newest call with a valid reply was sent
    ChannelCache channels;
    TokenCalls tokenCalls{channels};

    std::atomic<std::shared_ptr<const View>> view{std::make_shared<const View>()};
    std::atomic<Time> freshUntil{Time::min()};
};

ControlClient::ControlClient(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
    d->state = d->options.self.state() == proto::MEMBER_JOINING ? proto::MEMBER_LIVE : d->options.self.state();
    setControlHosts(d->options.controlHosts);
}

ControlClient::~ControlClient()
{
    stop();
}

void ControlClient::start()
{
    d->thread = std::thread([this] { d->run(); });
}

void ControlClient::stop()
{
    {
        const std::lock_guard lock(d->mutex);
        d->stopping = true;
        if (d->syncCall) {
            d->syncCall->context.TryCancel();
        }
        for (const auto &call : d->lateCalls) {
            call->context.TryCancel();
        }
    }
    d->condition.notify_all();
    d->tokenCalls.stop();
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

std::shared_ptr<const View> ControlClient::view() const
{
    return d->view.load();
}

void ControlClient::setControlHosts(const std::vector<std::string> &addresses)
{
    const std::lock_guard lock(d->mutex);
    d->controlHosts = addresses;
    if (d->currentHost.empty() && !addresses.empty()) {
        d->currentHost = addresses.front();
    }
}

bool ControlClient::isFresh(Time now) const
{
    return d->isFresh(now);
}

Time ControlClient::freshUntil() const
{
    return d->freshUntil.load();
}

void ControlClient::whenFresh(Time deadline, std::function<void(bool)> done)
{
    {
        std::unique_lock lock(d->mutex);
        if (!d->stopping && !d->isFresh(Clock::now())) {
            d->waiters.push_back({deadline, std::move(done)});
            lock.unlock();
            d->condition.notify_all();
            return;
        }
    }
    done(d->isFresh(Clock::now()));
}

void ControlClient::setState(proto::MemberState state)
{
    const std::lock_guard lock(d->mutex);
    d->state = state;
    if (d->syncCall) {
        // The next call starts after retryDelay and carries the new state.
        d->syncCall->context.TryCancel();
    }
}

void ControlClient::onChange(std::function<void(const std::shared_ptr<const View> &)> listener)
{
    const std::lock_guard lock(d->mutex);
    d->listeners.push_back(std::move(listener));
}

std::vector<proto::PoolLoad> ControlClient::poolLoads() const
{
    const std::lock_guard lock(d->mutex);
    auto loads = d->poolLoads;
    const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - d->poolLoadsReceivedAt).count();
    for (auto &load : loads) {
        load.set_age_ms(load.age_ms() + static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)));
    }
    return loads;
}

std::map<std::string, double> ControlClient::hostLoads() const
{
    const std::lock_guard lock(d->mutex);
    return d->hostLoads;
}

void ControlClient::propose(const proto::Command &command, Time deadline,
                            std::function<void(const proto::CommandResult &)> done)
{
    auto proposal = std::make_shared<Proposal>();
    proposal->command = command;
    proposal->deadline = deadline;
    proposal->done = std::move(done);
    {
        const std::lock_guard lock(d->mutex);
        ++d->outstandingCalls;
    }
    d->sendProposal(proposal);
}

void ControlClient::takeTokens(const proto::TakeTokensRequest &request, milliseconds timeout,
                               const std::function<void(const proto::TakeTokensReply &)> &done)
{
    d->tokenCalls.take(request, d->knownHosts(), Clock::now() + timeout, done);
}

ControlHosts ControlClient::Private::knownHosts() const
{
    const std::lock_guard lock(mutex);
    return {controlHosts, currentHost};
}

bool ControlClient::Private::isFresh(Time now) const
{
    return now < freshUntil.load();
}

// Main loop of the thread: makes Sync calls and runs due timers and waiters. After stop() it continues until the
// outstanding calls have ended, because their callbacks use this object.
void ControlClient::Private::run()
{
    std::unique_lock lock(mutex);
    Time nextCall = Clock::now();
    while (!stopping || syncCall || !lateCalls.empty() || outstandingCalls > 0) {
        handleEndedLateCalls(lock);
        if (syncCall && !syncCall->done && !stopping && Clock::now() >= overdueAt(*syncCall)) {
            const auto overdue = std::move(syncCall);
            syncCall.reset();
            lateCalls.push_back(overdue);
            lock.unlock();
            handleOverdueCall(*overdue);
            lock.lock();
            nextCall = Clock::now();
        }
        if (syncCall && syncCall->done) {
            const auto finished = std::move(syncCall);
            syncCall.reset();
            lock.unlock();
            finishCall(*finished);
            lock.lock();
            nextCall = finished->reply.kind() == proto::ERROR_NONE && finished->status.ok() ? Clock::now()
                                                                                            : Clock::now() + retryDelay;
        }
        if (!syncCall && !stopping && Clock::now() >= nextCall && !currentHost.empty()) {
            lock.unlock();
            auto started = startCall();
            lock.lock();
            if (stopping) {
                started->context.TryCancel();
            }
        }
        runDueActions(lock);
        const Time nextStep = syncCall ? overdueAt(*syncCall) : nextCall;
        const Time until = std::min(nextDeadline(), stopping ? Time::max() : nextStep);
        const bool anyLateEnded =
            std::any_of(lateCalls.begin(), lateCalls.end(), [](const auto &c) { return c->done; });
        if (!(syncCall && syncCall->done) && !anyLateEnded) {
            condition.wait_until(lock, std::min(until, Clock::now() + std::chrono::seconds(1)));
        }
    }
    for (auto &waiter : waiters) {
        waiter.done(false);
    }
    waiters.clear();
}

// Runs expired timers, and the callbacks of waiters when the lease is valid or their deadline has passed. Releases the
// lock meanwhile.
void ControlClient::Private::runDueActions(std::unique_lock<std::mutex> &lock)
{
    const Time now = Clock::now();
    std::vector<std::function<void()>> due;
    while (!timers.empty() && (timers.begin()->first <= now || stopping)) {
        due.push_back(std::move(timers.begin()->second));
        timers.erase(timers.begin());
    }
    const bool isNowFresh = isFresh(now);
    std::erase_if(waiters, [&](Waiter &waiter) {
        if (!isNowFresh && waiter.deadline > now) {
            return false;
        }
        due.emplace_back([done = std::move(waiter.done), isNowFresh] { done(isNowFresh); });
        return true;
    });
    if (due.empty()) {
        return;
    }
    lock.unlock();
    for (const auto &action : due) {
        action();
    }
    lock.lock();
}

Time ControlClient::Private::nextDeadline() const
{
    Time next = timers.empty() ? Time::max() : timers.begin()->first;
    for (const auto &waiter : waiters) {
        next = std::min(next, waiter.deadline);
    }
    return next;
}

void ControlClient::Private::schedule(Time when, std::function<void()> action)
{
    {
        const std::lock_guard lock(mutex);
        timers.emplace(when, std::move(action));
    }
    condition.notify_all();
}

std::unique_ptr<proto::Control::Stub> ControlClient::Private::stubFor(const std::string &address)
{
    return proto::Control::NewStub(channels.channel(address, Clock::now()));
}

std::shared_ptr<SyncCall> ControlClient::Private::startCall()
{
    auto started = std::make_shared<SyncCall>();
    *started->request.mutable_self() = options.self;
    started->request.set_known_revision(view.load()->revision());
    started->request.set_wait_ms(static_cast<std::uint32_t>(maxSyncWait.count()));
    if (options.addReport) {
        options.addReport(started->request);
    }
    {
        const std::lock_guard lock(mutex);
        started->request.mutable_self()->set_state(state);
        started->address = currentHost;
        syncCall = started;
    }
    const auto stub = stubFor(started->address);
    started->context.set_deadline(systemClockDeadline(lateReplyLimit));
    // The lease counts from here, not from the arrival of the reply: the leader confirms that the reply holds
    // everything committed up to some time after this one, which may be long before the reply arrives.
    started->sent = Clock::now();
    started->onReplyBegin = [this, call = started.get()] {
        const std::lock_guard lock(mutex);
        call->replyBegun = true;
    };
    started->onEnd = [this, call = started.get()](const grpc::Status &status) {
        // Notifies under the lock: after stop() the object may be destroyed as soon as the thread sees `done`.
        const std::lock_guard lock(mutex);
        call->status = status;
        if (call->status.ok() && !unpackCommon(call->reply)) {
            call->status = grpc::Status(grpc::StatusCode::DATA_LOSS, lastError().message);
        }
        call->done = true;
        condition.notify_all();
    };
    started->outstanding = started;
    stub->async()->Sync(&started->context, &started->request, &started->reply, started.get());
    started->StartCall();
    return started;
}

// When another call is begun although this one is outstanding.
Time ControlClient::Private::overdueAt(const SyncCall &call) const
{
    const milliseconds firstByteTimeout = options.longTimeout ? longSyncTimeout : syncTimeout;
    return call.sent + (call.replyBegun ? wholeReplyTimeout : firstByteTimeout);
}

// Calls another host next. The connections may have gone silent without an error, that of the next host too, so no
// connection is used again on which nothing has arrived since the call was sent.
void ControlClient::Private::handleOverdueCall(const SyncCall &overdue)
{
    countMetric("banyanledge_sync_overdue_total");
    logSyncFailure(overdue, overdue.replyBegun ? "the reply takes too long" : "no reply in time");
    channels.recordSilence(overdue.sent, Clock::now());
    switchHost(overdue.address, {});
}

// Applies the replies to late calls that have ended. Releases the lock meanwhile.
void ControlClient::Private::handleEndedLateCalls(std::unique_lock<std::mutex> &lock)
{
    std::vector<std::shared_ptr<SyncCall>> ended;
    std::erase_if(lateCalls, [&ended](const auto &call) {
        if (call->done) {
            ended.push_back(call);
        }
        return call->done;
    });
    if (ended.empty()) {
        return;
    }
    lock.unlock();
    for (const auto &call : ended) {
        finishLateCall(*call);
    }
    lock.lock();
}

// Applies a reply that arrived after the next call began, unless the copy is newer by now. A late call that failed has
// been handled when it was overdue.
void ControlClient::Private::finishLateCall(const SyncCall &finished)
{
    if (!finished.status.ok() || finished.reply.kind() != proto::ERROR_NONE) {
        return;
    }
    countMetric("banyanledge_sync_late_replies_total");
    if (finished.reply.content().revision() < view.load()->revision() || apply(finished)) {
        confirm(finished);
    }
}

void ControlClient::Private::finishCall(const SyncCall &finished)
{
    if (!finished.status.ok() || finished.reply.kind() != proto::ERROR_NONE) {
        countMetric("banyanledge_sync_failures_total");
        const bool cancelledHere = finished.status.error_code() == grpc::StatusCode::CANCELLED;
        if (!cancelledHere) {
            logSyncFailure(finished, finished.status.ok() ? finished.reply.message() : finished.status.error_message());
            if (!finished.status.ok()) {
                channels.recordFailure(finished.address, Clock::now());
            }
            switchHost(finished.address, finished.reply.leader_address());
        }
        return;
    }
    if (!apply(finished)) {
        switchHost(finished.address, {});
        return;
    }
    confirm(finished);
    if (options.takesTokens) {
        tokenCalls.measureRoundTrips(knownHosts(), Clock::now());
    }
    if (std::exchange(lastSyncFailed, false)) {
        logInfo("control leader reachable again", {{"address", finished.address}});
    }
}

// Records that the copy holds everything that was committed when the answered call was sent.
void ControlClient::Private::confirm(const SyncCall &finished)
{
    channels.recordSuccess(finished.address, Clock::now());
    freshUntil = std::max(freshUntil.load(), finished.sent + freshnessLease);
    if (options.onConfirmed) {
        options.onConfirmed(finished.sent);
    }
}

// Logs the first of several failed calls in a row.
void ControlClient::Private::logSyncFailure(const SyncCall &failed, const std::string &reason)
{
    if (!std::exchange(lastSyncFailed, true)) {
        logWarning(
            "Sync call to the control leader failed; trying again",
            {{"address", failed.address},
             {"reason", reason},
             {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(Clock::now() - failed.sent).count())},
             {"revision", std::to_string(view.load()->revision())}});
    }
}

// Applies the table and the loads of a reply; false when its table is older than the copy of this host.
bool ControlClient::Private::apply(const SyncCall &finished)
{
    const auto &reply = finished.reply;
    const auto previous = view.load();
    std::shared_ptr<const View> next = previous;
    if (reply.snapshot() || reply.content().revision() != previous->revision()) {
        next = View::next(*previous, reply.content(), reply.snapshot());
        if (!next) {
            logError("control host sent an older table; trying another control host",
                     {{"address", finished.address}, {"revision", std::to_string(reply.content().revision())}});
            return false;
        }
        view = next;
    }
    // Shares and loads of an older call must not replace those of a newer one.
    if (finished.sent >= lastAppliedCall) {
        lastAppliedCall = finished.sent;
        applyLoads(finished);
    }
    std::vector<std::function<void(const std::shared_ptr<const View> &)>> listenersToCall;
    if (next != previous) {
        const std::lock_guard lock(mutex);
        listenersToCall = listeners;
    }
    for (const auto &listener : listenersToCall) {
        listener(next);
    }
    return true;
}

void ControlClient::Private::applyLoads(const SyncCall &finished)
{
    const auto &reply = finished.reply;
    if (options.onReply) {
        options.onReply(finished.request, reply);
    }
    const std::lock_guard lock(mutex);
    poolLoads.assign(reply.pools().begin(), reply.pools().end());
    poolLoadsReceivedAt = Clock::now();
    for (const std::string &address : reply.control_hosts()) {
        if (std::find(controlHosts.begin(), controlHosts.end(), address) == controlHosts.end()) {
            controlHosts.push_back(address);
        }
    }
    hostLoads.clear();
    for (const auto &host : reply.busy_hosts()) {
        hostLoads[host.id()] = host.load();
    }
}

// Switches to the leader that the failed host named, or else to the next control host.
void ControlClient::Private::switchHost(const std::string &failed, const std::string &leaderAddress)
{
    const std::lock_guard lock(mutex);
    if (currentHost != failed) {
        return;
    }
    if (!leaderAddress.empty() && leaderAddress != failed) {
        currentHost = leaderAddress;
        return;
    }
    const auto &hosts = controlHosts;
    if (hosts.empty()) {
        return;
    }
    const auto found = std::find(hosts.begin(), hosts.end(), failed);
    currentHost = found == hosts.end() || found + 1 == hosts.end() ? hosts.front() : *(found + 1);
}

void ControlClient::Private::sendProposal(const std::shared_ptr<Proposal> &proposal)
{
    const Duration remaining = proposal->deadline - Clock::now();
    std::string address;
    bool cannotCall = false;
    {
        const std::lock_guard lock(mutex);
        address = currentHost;
        cannotCall = stopping || address.empty();
    }
    if (remaining <= Duration(0) || cannotCall) {
        proposal->done(
            proposal->attempted
                ? failedResult(proto::ERROR_TIMEOUT,
                               "no control host confirmed the change before the deadline; its "
                               "outcome is unknown, send it again with the same change id")
                : failedResult(
                    proto::ERROR_UNAVAILABLE,
                    "the change was not sent: its deadline has passed, this host is stopping or it knows no control "
                    "host; try again"));
        const std::lock_guard lock(mutex);
        --outstandingCalls;
        condition.notify_all();
        return;
    }
    proposal->attempted = true;
    const auto proposeCall = std::make_shared<ProposeCall>();
    proposeCall->address = address;
    proposeCall->context.set_deadline(systemClockDeadline(std::min<Duration>(remaining, proposeTimeout)));
    stubFor(address)->async()->Propose(&proposeCall->context, &proposal->command, &proposeCall->reply,
                                       [this, proposal, proposeCall](const grpc::Status &status) {
                                           finishProposeCall(proposal, *proposeCall, status);
                                       });
}

void ControlClient::Private::finishProposeCall(const std::shared_ptr<Proposal> &proposal,
                                               const ProposeCall &proposeCall, const grpc::Status &status)
{
    const auto kind = proposeCall.reply.result().kind();
    if (status.ok() && kind != proto::ERROR_UNAVAILABLE && kind != proto::ERROR_TIMEOUT) {
        proposal->done(proposeCall.reply.result());
        const std::lock_guard lock(mutex);
        --outstandingCalls;
        condition.notify_all();
        return;
    }
    switchHost(proposeCall.address, proposeCall.reply.leader_address());
    schedule(Clock::now() + retryDelay, [this, proposal] { sendProposal(proposal); });
}

} // namespace banyanledge
