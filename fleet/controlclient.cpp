#include "fleet/controlclient.h"

#include <algorithm>

#include "base/error.h"
#include "fleet/controlclient_p.h"

namespace banyanledge
{

namespace
{

// Delay before the next Sync or Propose call after a failed one.
constexpr milliseconds retryDelay{20};

// Least time between two Sync calls of syncNow(). What is reported meanwhile goes together.
constexpr milliseconds urgentCallInterval{50};

// Timeout of a Propose call. The command is then sent again, to the leader known at that time.
constexpr milliseconds proposeTimeout{1000};

proto::CommandResult failedResult(proto::ErrorKind kind, const std::string &message)
{
    proto::CommandResult result;
    result.set_kind(kind);
    result.set_message(message);
    return result;
}

} // namespace

std::chrono::system_clock::time_point systemClockDeadline(Duration remaining)
{
    return std::chrono::system_clock::now()
        + std::chrono::duration_cast<std::chrono::system_clock::duration>(std::max(remaining, Duration(0)));
}

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

void ControlClient::syncNow()
{
    {
        const std::lock_guard lock(d->mutex);
        d->syncRequested = true;
    }
    d->condition.notify_all();
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

// Nothing wakes the thread any more once this is true. The caller holds the mutex.
bool ControlClient::Private::mayEnd() const
{
    return stopping && !syncCall && lateCalls.empty() && outstandingCalls == 0;
}

// Main loop of the thread: makes Sync calls and runs due timers and waiters. After stop() it continues until the
// outstanding calls have ended, because their callbacks use this object.
void ControlClient::Private::run()
{
    std::unique_lock lock(mutex);
    Time nextCall = Clock::now();
    while (!mayEnd()) {
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
        if (syncCall && !syncCall->done && !stopping && urgentCallDue(Clock::now())) {
            unansweredSince = unansweredSince.value_or(syncCall->sent);
            lateCalls.push_back(std::exchange(syncCall, nullptr));
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
            urgentCallAllowedAt =
                std::exchange(syncRequested, false) ? Clock::now() + urgentCallInterval : urgentCallAllowedAt;
            lock.unlock();
            auto started = startCall();
            lock.lock();
            if (stopping) {
                started->context.TryCancel();
            }
        }
        runDueActions(lock);
        Time nextStep = syncCall ? overdueAt(*syncCall) : nextCall;
        if (syncCall && syncRequested) {
            nextStep = std::min(nextStep, urgentCallAllowedAt);
        }
        const Time until = std::min(nextDeadline(), stopping ? Time::max() : nextStep);
        const bool anyLateEnded =
            std::any_of(lateCalls.begin(), lateCalls.end(), [](const auto &c) { return c->done; });
        if (!(syncCall && syncCall->done) && !anyLateEnded && !mayEnd()) {
            condition.wait_until(lock, std::min(until, Clock::now() + std::chrono::seconds(1)));
        }
    }
    for (auto &waiter : waiters) {
        waiter.done(false);
    }
    waiters.clear();
}

// Whether a new call is to be made although one is outstanding. The caller holds the mutex.
bool ControlClient::Private::urgentCallDue(Time now) const
{
    return syncRequested && now >= urgentCallAllowedAt;
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
