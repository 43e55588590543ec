// Rate limit tokens and backend slots shared by all entry hosts. One host owns each resource and grants it to the
// others.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <grpcpp/impl/service_type.h>

#include "base/error.h"
#include "base/types.h"
#include "fleet/controlclient.h"
#include "fleet/ownermap.h"

namespace banyanledge
{

// Result of a request for tokens. `kind` is ERROR_NONE when they were granted.
struct AdmissionResult
{
    proto::ErrorKind kind = proto::ERROR_NONE;
    std::string message;
    milliseconds retryAfter{0};
};

// Request for a slot of a backend server of one service in one region.
struct SlotRequest
{
    std::string service;
    std::string region;
    std::string customer;
    Time deadline; // of the whole request
    Time waitUntil; // deadline for getting the slot
    std::vector<std::string> exclude; // servers on which this request failed before
};

// Slot of a backend server, held until it is released or the request's deadline passes. Granted if `kind` is
// ERROR_NONE.
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
    std::optional<Revision> incarnation; // of the server's process that the slot belongs to; nullopt: unknown
};

// Requests tokens and slots from the owner host of each resource, and serves the resources that this host owns.
class ResourceManager
{
public:
    struct Options
    {
        proto::Member self; // this host
        proto::PlatformSettings platform; // for the probe interval
        std::uint64_t linkBytesPerSecond = 0; // capacity of each directed link between regions
    };

    // The gRPC server and the control client have to be stopped before this object is destroyed.
    ResourceManager(const Options &options, ControlClient &controlClient);

    // With a source of the table other than a control client, for tests.
    ResourceManager(const Options &options, TableSource source);
    ~ResourceManager();

    void start();

    // Takes tokens of customer:NAME (requests), link:A>B (bytes) or shift:ID (moves). Waits until the deadline for a
    // grant, then refuses with ERROR_RATE_LIMITED or, without an answer of the owner, ERROR_UNAVAILABLE. `done` may run
    // on any thread, also before this function returns.
    void takeTokens(const std::string &resource, double amount, Time deadline,
                    std::function<void(AdmissionResult)> done);

    // Returns the tokens of a request that did not run.
    void returnTokens(const std::string &resource, double amount);

    // Leases a slot from the pool's owner, which queues the request until `waitUntil`.
    void acquireSlot(const SlotRequest &request, std::function<void(SlotLease)> done);

    // Releases a slot and reports the outcome of the request; `latency` is the time to the first byte.
    void releaseSlot(const SlotLease &lease, proto::Outcome outcome, Duration latency);

    // gRPC service for other hosts; register it before the server starts.
    grpc::Service &service();

    // Adds to a Sync request the loads of the pools and links that this host owns, and the server processes that their
    // probes have shown before the table.
    void addReport(proto::SyncRequest &request) const;

    // Hands all owned resources over to the next owners at a planned stop. Calls `done` when they have answered, after
    // 2 s at the latest.
    void handOver(const std::function<void()> &done);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
