// Sync calls of ControlClient and their replies.
#include <algorithm>

#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/packing.h"
#include "fleet/controlclient_p.h"

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

} // namespace

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
    const Time since = unansweredSince.value_or(call.sent);
    return call.replyBegun ? call.sent + wholeReplyTimeout : since + firstByteTimeout;
}

// Calls another host next. The connections may have gone silent without an error, that of the next host too, so no
// connection is used again on which nothing has arrived since the call was sent.
void ControlClient::Private::handleOverdueCall(const SyncCall &overdue)
{
    unansweredSince.reset();
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
    unansweredSince.reset();
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
    unansweredSince.reset();
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

} // namespace banyanledge
