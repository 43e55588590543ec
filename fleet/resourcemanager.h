// Tokens and slots across the fleet: asks the owner host of each resource, and serves those that this host owns.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <grpcpp/impl/service_type.h>

#include "base/error.h"
#include "base/types.h"
#include "fleet/controlclient.h"
#include "fleet/ownermap.h"

namespace banyanledge
{

// Answer to a wish for tokens. `kind` is ERROR_NONE when granted.
struct AdmissionResult
{
    proto::ErrorKind kind = proto::ERROR_NONE;
    std::string message;
    milliseconds retryAfter{0};
};

struct SlotRequest
{
    std::string service;
    std::string region;
    std::string customer;
    Time deadline; // of the whole request
    Time waitUntil; // latest moment to get the slot
    std::vector<std::string> exclude; // servers that failed this request already
};

// A slot of a backend server, held until released or until the request's deadline. Granted when `kind` is ERROR_NONE.
struct SlotLease
{
    proto::ErrorKind kind = proto::ERROR_NONE;
    std::string message;
    milliseconds retryAfter{0};
    std::uint64_t id = 0;
    std::string service;
    std::string region;
    std::string server;
    std::string address; // IP:PORT
};

class ResourceManager
{
public:
    struct Options
    {
        proto::Member self;
        proto::PlatformSettings platform; // probe interval
        std::uint64_t linkBytesPerSecond = 0; // of each directed link
    };

    // The gRPC server and the follower have to be stopped before this object is destroyed.
    ResourceManager(const Options &options, ControlClient &controlClient);

    // With another source of the table than a follower.
    ResourceManager(const Options &options, TableSource source);
    ~ResourceManager();

    void start();

    // Takes tokens of customer:NAME (requests), link:A>B (bytes) or shift:ID (moves); waits for the owner until the
    // deadline before it refuses. `done` may run on any thread, also before this function returns.
    void takeTokens(const std::string &resource, double amount, Time deadline,
                    std::function<void(AdmissionResult)> done);

    // Gives back tokens of a request that did not run.
    void returnTokens(const std::string &resource, double amount);

    // Leases a slot from the pool's owner, queued there until `waitUntil`.
    void acquireSlot(const SlotRequest &request, std::function<void(SlotLease)> done);

    // Returns a slot with what happened; `latency` is the time to the first byte.
    void releaseSlot(const SlotLease &lease, proto::Outcome outcome, Duration latency);

    // gRPC service that other hosts call; register it before the server starts.
    grpc::Service &service();

    // Loads of the pools and links that this host owns, for the Sync report.
    void addReport(proto::SyncRequest &request) const;

    // Hands everything owned over to the next owners at a planned stop; `done` when they answered or after 2 s.
    void handOver(const std::function<void()> &done);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
