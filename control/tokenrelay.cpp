#include "control/tokenrelay.h"

#include <asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "banyanledge.grpc.pb.h"
#include "base/channel.h"
#include "base/metrics.h"
#include "decide/tokenstock.h"

namespace banyanledge
{

namespace
{

// Outstanding calls to the leader. Requests that arrive while all are outstanding share the next one.
constexpr std::size_t maxActiveCalls = 4;

// Timeout of a call to the leader. No request waits longer for its token.
constexpr milliseconds leaderCallTimeout{500};

// Interval of the calls that only refill the stock.
constexpr milliseconds refillInterval{100};

// One call of a gateway host that waits for tokens from the leader.
struct WaitingCall
{
    proto::TakeTokensReply reply;
    TokenRelay::Done done;
    double missing = 0; // tokens without an answer of the leader
};

// Tokens that a call of a gateway host waits for.
struct Waiter
{
    std::shared_ptr<WaitingCall> call;
    double amount = 0;
};

using Waiters = std::map<std::string, std::vector<Waiter>>; // by customer

// Outstanding call to the leader.
struct LeaderCall
{
    grpc::ClientContext context;
    proto::TakeTokensRequest request;
    proto::TakeTokensReply reply;
    std::unique_ptr<proto::Control::Stub> stub;
    std::string address;
    Waiters waiters;
    Time sent{};
};

void addGranted(proto::TakeTokensReply &reply, const std::string &customer, double amount)
{
    if (amount > 0) {
        auto *granted = reply.add_granted();
        granted->set_customer(customer);
        granted->set_amount(amount);
    }
}

void settle(const Waiter &waiter, const std::string &customer, double granted)
{
    addGranted(waiter.call->reply, customer, granted);
    waiter.call->missing -= waiter.amount;
    if (waiter.call->missing <= 0) {
        waiter.call->done(waiter.call->reply);
    }
}

} // namespace

class TokenRelay::Private : public std::enable_shared_from_this<TokenRelay::Private>
{
public:
    Private(asio::io_context &eventLoop, std::string address, std::function<std::string()> leader)
        : loop(eventLoop)
        , ownAddress(std::move(address))
        , leaderAddress(std::move(leader))
    {
    }

    void callLeader(bool refill, Time now);
    bool registerCall(LeaderCall &call);
    bool isStopped();
    void refuseWaiting();
    void endCall(const std::shared_ptr<LeaderCall> &call, bool ok, Time now);

    asio::io_context &loop;
    const std::string ownAddress;
    const std::function<std::string()> leaderAddress;
    TokenStock stock;
    Waiters waiting; // not sent to the leader yet
    ChannelCache channels;
    bool refillActive = false; // an outstanding call refills the stock
    Time nextRefill{};
    std::mutex mutex; // guards the following members
    std::condition_variable callEnded;
    std::set<grpc::ClientContext *> activeCalls;
    bool stopped = false;
};

// Sends what requests wait for and, if `refill` is set, what the stock lacks.
void TokenRelay::Private::callLeader(bool refill, Time now)
{
    auto call = std::make_shared<LeaderCall>();
    for (const auto &[customer, waiters] : waiting) {
        auto *want = call->request.add_wants();
        want->set_customer(customer);
        for (const Waiter &waiter : waiters) {
            want->set_amount(want->amount() + waiter.amount);
        }
    }
    const bool refills = refill && !refillActive;
    if (refills) {
        for (const auto &missing : stock.refills(now)) {
            auto *want = call->request.add_wants();
            want->set_customer(missing.customer);
            want->set_reserve(missing.amount);
        }
    }
    if (call->request.wants_size() == 0) {
        return;
    }
    call->address = leaderAddress();
    if (call->address.empty() || call->address == ownAddress || isStopped()) {
        refuseWaiting();
        return;
    }
    if (!registerCall(*call)) {
        return; // the requests wait for the end of an outstanding call
    }
    refillActive = refillActive || refills;
    call->request.set_host(ownAddress);
    call->request.set_relayed(true);
    call->waiters = std::exchange(waiting, {});
    call->sent = now;
    call->context.set_deadline(std::chrono::system_clock::now() + leaderCallTimeout);
    call->stub = proto::Control::NewStub(channels.channel(call->address, now));
    call->stub->async()->TakeTokens(&call->context, &call->request, &call->reply,
                                    [self = shared_from_this(), call, refills](const grpc::Status &status) {
                                        asio::post(self->loop, [self, call, refills, ok = status.ok()] {
                                            self->refillActive = self->refillActive && !refills;
                                            self->endCall(call, ok, Clock::now());
                                        });
                                        const std::lock_guard lock(self->mutex);
                                        self->activeCalls.erase(&call->context);
                                        self->callEnded.notify_all();
                                    });
}

// Returns false if no further call may be outstanding.
bool TokenRelay::Private::registerCall(LeaderCall &call)
{
    const std::lock_guard lock(mutex);
    return !stopped && activeCalls.size() < maxActiveCalls && activeCalls.insert(&call.context).second;
}

bool TokenRelay::Private::isStopped()
{
    const std::lock_guard lock(mutex);
    return stopped;
}

void TokenRelay::Private::refuseWaiting()
{
    for (const auto &[customer, waiters] : std::exchange(waiting, {})) {
        for (const Waiter &waiter : waiters) {
            waiter.call->reply.set_kind(proto::ERROR_UNAVAILABLE);
            waiter.call->reply.set_message("this control host knows no leader that grants tokens");
            settle(waiter, customer, 0);
        }
    }
}

void TokenRelay::Private::endCall(const std::shared_ptr<LeaderCall> &call, bool ok, Time now)
{
    if (!ok) {
        channels.recordFailure(call->address, now);
    }
    const bool answered = ok && call->reply.kind() == proto::ERROR_NONE;
    std::map<std::string, proto::TokenAmount> granted;
    for (const auto &amount : call->reply.granted()) {
        auto &sum = granted[amount.customer()];
        sum.set_customer(amount.customer());
        sum.set_amount(sum.amount() + amount.amount());
        sum.set_lifetime_ms(amount.lifetime_ms());
    }
    for (const auto &[customer, waiters] : call->waiters) {
        proto::TokenAmount &left = granted[customer];
        for (const Waiter &waiter : waiters) {
            const double part = std::min(waiter.amount, left.amount());
            left.set_amount(left.amount() - part);
            if (!answered) {
                waiter.call->reply.set_kind(proto::ERROR_UNAVAILABLE);
                waiter.call->reply.set_message("the control leader did not answer this control host");
            }
            settle(waiter, customer, part);
        }
    }
    for (const auto &[customer, left] : granted) {
        // Counted from before the call, because the leader may have granted the tokens right after it.
        if (left.amount() > 0) {
            stock.add(customer, left.amount(), call->sent + milliseconds(left.lifetime_ms()), now);
        }
    }
    if (!waiting.empty()) {
        callLeader(false, now);
    }
}

TokenRelay::TokenRelay(asio::io_context &loop, std::string ownAddress, std::function<std::string()> leaderAddress)
    : d(std::make_shared<Private>(loop, std::move(ownAddress), std::move(leaderAddress)))
{
}

TokenRelay::~TokenRelay()
{
    stop();
}

void TokenRelay::take(const proto::TakeTokensRequest &request, const Done &done, Time now)
{
    const auto call = std::make_shared<WaitingCall>();
    call->done = done;
    for (const auto &want : request.wants()) {
        const double amount = std::ceil(want.amount());
        const double taken = d->stock.take(want.customer(), amount, now);
        addGranted(call->reply, want.customer(), taken);
        if (taken < amount) {
            call->missing += amount - taken;
            d->waiting[want.customer()].push_back({call, amount - taken});
        }
    }
    countMetric("banyanledge_control_token_calls_total", {{"source", call->missing > 0 ? "leader" : "stock"}});
    if (call->missing <= 0) {
        done(call->reply);
        return;
    }
    d->callLeader(true, now);
}

void TokenRelay::tick(Time now)
{
    if (now >= d->nextRefill) {
        d->nextRefill = now + refillInterval;
        d->callLeader(true, now);
    }
}

void TokenRelay::stop()
{
    std::unique_lock lock(d->mutex);
    d->stopped = true;
    for (grpc::ClientContext *context : d->activeCalls) {
        context->TryCancel();
    }
    d->callEnded.wait(lock, [this] { return d->activeCalls.empty(); });
}

} // namespace banyanledge
