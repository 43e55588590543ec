#include "fleet/resourcemanager.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <grpcpp/grpcpp.h>

#include "banyanledge.grpc.pb.h"
#include "base/log.h"
#include "fleet/healthprober.h"
#include "fleet/ownerclient.h"
#include "fleet/ownermap.h"
#include "fleet/slotservice.h"
#include "fleet/tokenservice.h"

namespace banyanledge
{

namespace
{

// Timeout of a handover call, and so the maximum time that a planned stop waits for the new owners.
constexpr milliseconds handoverTimeout{2000};

// gRPC service of the owner side.
class OwnerService final : public proto::Owner::CallbackService
{
public:
    OwnerService(TokenService &tokens, SlotService &slots)
        : m_tokens(tokens)
        , m_slots(slots)
    {
    }

    grpc::ServerUnaryReactor *Tokens(grpc::CallbackServerContext *context, const proto::TokensRequest *request,
                                     proto::TokensReply *reply) override
    {
        *reply = m_tokens.handleTokens(*request);
        return finish(context, grpc::Status::OK);
    }

    grpc::ServerUnaryReactor *Acquire(grpc::CallbackServerContext *context, const proto::AcquireRequest *request,
                                      proto::AcquireReply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        m_slots.handleAcquire(*request, [reactor, reply](const proto::AcquireReply &answer) {
            *reply = answer;
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *ReleaseSlots(grpc::CallbackServerContext *context, const proto::ReleaseRequest *request,
                                           proto::Empty * /*reply*/) override
    {
        const bool applied = m_slots.handleRelease(*request);
        return finish(
            context,
            applied ? grpc::Status::OK
                    : grpc::Status(
                        grpc::StatusCode::UNAVAILABLE,
                        "this host does not own the pool or is recovering its leases; send the releases again later"));
    }

    grpc::ServerUnaryReactor *Held(grpc::CallbackServerContext *context, const proto::HeldRequest *request,
                                   proto::HeldReply *reply) override
    {
        *reply = m_slots.handleHeld(*request);
        return finish(context, grpc::Status::OK);
    }

    grpc::ServerUnaryReactor *Handover(grpc::CallbackServerContext *context, const proto::HandoverRequest *request,
                                       proto::Empty * /*reply*/) override
    {
        if (request->resource().starts_with("pool:")) {
            m_slots.handleHandover(*request);
        } else {
            m_tokens.handleHandover(*request);
        }
        return finish(context, grpc::Status::OK);
    }

private:
    static grpc::ServerUnaryReactor *finish(grpc::CallbackServerContext *context, const grpc::Status &status)
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(status);
        return reactor;
    }

    TokenService &m_tokens;
    SlotService &m_slots;
};

TableSource tableSourceOf(ControlClient &controlClient)
{
    return {[&controlClient] { return controlClient.view(); }, [&controlClient] { return controlClient.freshUntil(); },
            [&controlClient](auto listener) { controlClient.onChange(std::move(listener)); }};
}

} // namespace

class ResourceManager::Private
{
public:
    Private(const Options &options, TableSource source)
        : owners({options.self.id(), options.self.incarnation()})
        , tokens(owners, ownerClient, makeOwnershipCheck(), static_cast<double>(options.linkBytesPerSecond),
                 [this] { wake(); })
        , slots(
              owners, ownerClient, makeOwnershipCheck(), [this] { wake(); }, [this] { healthProber.probeNow(); })
        , service(tokens, slots)
        , healthProber(
              milliseconds{options.platform.probe_ms()}, [this] { return slots.probeTargets(); },
              [this](const ProbeTarget &target, const ProbeResult &result) {
                  slots.handleProbeResult(target, result, Clock::now());
              })
        , source(std::move(source))
    {
    }

    void wake()
    {
        const std::lock_guard lock(mutex);
        woken = true;
        condition.notify_one();
    }

    // Returns the check whether this host may act as an owner: only while its freshness lease is valid, and only on the
    // copy of the table that the lease covers.
    std::function<bool(Time)> makeOwnershipCheck()
    {
        return [this](Time now) { return now < freshUntil.load(); };
    }

    // Applies the newest copy of the table and then the new end of the freshness lease. The end is read before the
    // copy, so that the copy is at least as new as the one that the lease covers.
    void applyNewestView()
    {
        const std::lock_guard lock(viewMutex);
        const Time now = Clock::now();
        const Time nextFreshUntil = source.freshUntil();
        const std::shared_ptr<const View> view = source.view();
        const bool leaseLapsed = now >= freshUntil.load();
        if (view != owners.view()) {
            if (owners.update(view, leaseLapsed, now)) {
                logWarning("freshness lease expired while entry hosts changed; dropping the state of owned resources",
                           {});
                tokens.dropOwnedState();
                slots.dropOwnedState();
            }
            handOverLostResources(now, [] {});
        }
        freshUntil = nextFreshUntil;
    }

    // Sends the state of each resource that this host no longer owns to its new owner.
    void handOverLostResources(Time now, const std::function<void()> &done)
    {
        auto handovers = tokens.tableChanged(now);
        auto pools = slots.tableChanged(now);
        handovers.insert(handovers.end(), pools.begin(), pools.end());
        if (handovers.empty()) {
            done();
            return;
        }
        auto remaining = std::make_shared<std::atomic<std::size_t>>(handovers.size());
        for (const auto &[owner, request] : handovers) {
            ownerClient.handover(
                owners.address(owner), request, handoverTimeout,
                [remaining, done, resource = request.resource()](const proto::Empty *reply) {
                    if (reply == nullptr) {
                        logWarning("handover failed; the new owner grants nothing until the takeover delay has passed",
                                   {{"resource", resource}});
                    }
                    if (--*remaining == 0) {
                        done();
                    }
                });
        }
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (!stopping) {
            woken = false;
            lock.unlock();
            applyNewestView();
            const Time now = Clock::now();
            const Time next = std::min(tokens.tick(now), slots.tick(now));
            lock.lock();
            condition.wait_until(lock, next, [this] { return stopping || woken; });
            // At most one tick per millisecond, also with frequent wake() calls.
            condition.wait_until(lock, now + milliseconds{1}, [this] { return stopping; });
        }
    }

    OwnerMap owners;
    OwnerClient ownerClient;
    TokenService tokens;
    SlotService slots;
    OwnerService service;
    HealthProber healthProber;
    TableSource source;
    std::mutex viewMutex; // held while a copy and its lease end are applied; locked before the services' mutexes
    std::atomic<Time> freshUntil{Time::min()};
    std::mutex mutex; // guards the flags below; no other class is called while it is held
    std::condition_variable condition;
    bool woken = false;
    bool stopping = false;
    std::thread thread;
};

ResourceManager::ResourceManager(const Options &options, ControlClient &controlClient)
    : ResourceManager(options, tableSourceOf(controlClient))
{
}

ResourceManager::ResourceManager(const Options &options, TableSource source)
    : d(std::make_unique<Private>(options, std::move(source)))
{
}

ResourceManager::~ResourceManager()
{
    {
        const std::lock_guard lock(d->mutex);
        d->stopping = true;
        d->condition.notify_one();
    }
    if (d->thread.joinable()) {
        d->thread.join();
    }
    d->healthProber.stop();
    d->tokens.stop();
    d->slots.stop();
    d->ownerClient.stop();
}

void ResourceManager::start()
{
    d->source.onChange([this](const std::shared_ptr<const View> &) { d->applyNewestView(); });
    d->applyNewestView();
    d->healthProber.start();
    d->thread = std::thread([this] { d->run(); });
}

void ResourceManager::takeTokens(const std::string &resource, double amount, Time deadline,
                                 std::function<void(AdmissionResult)> done)
{
    d->tokens.take(resource, amount, deadline, std::move(done));
}

void ResourceManager::returnTokens(const std::string &resource, double amount)
{
    d->tokens.returnTokens(resource, amount);
}

void ResourceManager::acquireSlot(const SlotRequest &request, std::function<void(SlotLease)> done)
{
    d->slots.acquire(request, std::move(done));
}

void ResourceManager::releaseSlot(const SlotLease &lease, proto::Outcome outcome, Duration latency)
{
    d->slots.release(lease, outcome, latency);
}

grpc::Service &ResourceManager::service()
{
    return d->service;
}

void ResourceManager::addReport(proto::SyncRequest &request) const
{
    d->slots.addReport(request);
    d->tokens.addReport(request);
}

void ResourceManager::handOver(const std::function<void()> &done)
{
    const std::lock_guard lock(d->viewMutex);
    const Time now = Clock::now();
    d->owners.resign(now);
    d->handOverLostResources(now, done);
}

} // namespace banyanledge
