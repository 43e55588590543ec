// Slot allocation and request queue of one pool: the backend servers of one service in one region.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/types.h"
#include "decide/health.h"
#include "decide/owner.h"

namespace banyanledge
{

// A backend server of the pool.
struct PoolServer
{
    std::string id;
    std::string address; // IP:PORT
    std::uint32_t slots = 0; // requests that it may run at once
    std::uint32_t maxConnections = 0; // 0: no known limit
    bool acceptsRequests = true; // false if it is leaving or drained
    Revision incarnation = 0; // of its process; changes when the process ends or a new one starts
    bool ended = false; // its process has ended, and no new one was seen yet

    bool operator==(const PoolServer &) const = default;
};

// Request for a slot.
struct PoolRequest
{
    std::string customer;
    double weight = 1; // relative share of the customer under contention
    std::optional<std::uint32_t> maxInFlight; // limit of the customer in this pool
    HostIncarnation host;
    std::uint64_t request = 0; // number chosen by the host, identifies the request for cancel()
    Time deadline; // of the request
    Time waitUntil; // latest time to get a slot
    std::vector<std::string> exclude; // ids of servers not to use
};

// A lease of a slot, or a refusal if `kind` is not ERROR_NONE.
struct PoolGrant
{
    proto::ErrorKind kind = proto::ERROR_NONE;
    std::string message; // reason of a refusal
    Duration retryAfter{}; // delay after which a refused caller may retry
    std::uint64_t lease = 0; // id of the lease
    std::string server; // id
    std::string address; // IP:PORT of the server
    std::optional<Revision> incarnation; // of the server's process; nullopt: unknown
};

// Decision on a queued request.
struct PoolDecision
{
    std::uint64_t ticket = 0; // as returned by Pool::acquire()
    PoolGrant grant;
};

// A lease as reported by the host that holds it or by the previous owner of the pool.
struct PoolLease
{
    std::uint64_t id = 0;
    std::string server;
    std::string customer;
    HostIncarnation host;
    Duration remaining{}; // until it expires
    std::optional<Revision> incarnation; // of the server's process; nullopt: unknown, counts as the present one

    bool operator==(const PoolLease &) const = default;
};

// Allocates the slots of a pool. A server never has more leases than slots. Waiting customers share the slots by
// weighted start-time fair queueing on the slot time that they use, so a flood of requests delays only the customer
// that sends it.
class Pool
{
public:
    // `firstId` is the first lease id; a random one keeps the ids of successive owners distinct.
    Pool(std::uint64_t firstId, Time now);

    // Replaces the list of servers. Those of the first call count as warm; servers that are added, come back or have a
    // new process later ramp up. Returns the ids of the known servers whose process has changed.
    std::vector<std::string> setServers(const std::vector<PoolServer> &servers, Time now);

    // Queues a request and returns its ticket; poll() returns the decision.
    std::uint64_t acquire(PoolRequest request, Time now);

    // Ends a lease and records the request's outcome and latency. Unknown and already released ids are ignored.
    void release(std::uint64_t lease, proto::Outcome outcome, Duration latency, Time now);

    // Cancels a host's request, waiting or granted, whose answer was lost.
    void cancel(const HostIncarnation &host, std::uint64_t request, Time now);

    // Cancels a waiting request; ignored if it was already decided.
    void cancelTicket(std::uint64_t ticket);

    // Ends the leases of all incarnations of the host other than `current`.
    void hostStarted(const HostIncarnation &current);

    // Records a probe of a server that had `leasesBefore` leases when the probe began. One that began before the
    // present process was known is ignored, because the former process may have answered it. An answer shows that a
    // server whose process had ended is back.
    bool recordProbe(const std::string &server, const ProbeResult &result, std::uint32_t leasesBefore, Time now);

    // Grants and refuses what can be decided now and returns the decisions in the order in which they were made.
    std::vector<PoolDecision> poll(Time now);

    // Time at which poll() next has work to do if nothing else is called; nullopt if never.
    std::optional<Time> nextWakeTime() const;

    // Recovery of a new owner: between startRecovery() and finishRecovery() it grants nothing and adopts the leases
    // that hosts and the previous owner report. With `unknownHolders`, hosts that are gone may still use slots, so each
    // server counts as full until its own report shows fewer requests.
    void startRecovery();
    void adopt(const PoolLease &lease, Time now);
    void finishRecovery(bool unknownHolders, Time now);
    bool recovering() const;

    // Records that the server reports no load. Its slots that departed hosts may still use then count as used for at
    // most 30 s.
    void limitUnknownSlots(const std::string &server, Time now);

    std::vector<PoolLease> leases(Time now) const;
    std::uint32_t leaseCount(const std::string &server) const;
    std::size_t waiting() const; // number of waiting requests
    std::vector<PoolServer> servers() const;
    // Listed servers of which a probe has shown a new process that the list does not know yet.
    std::vector<PoolServer> processesSeenFirst() const;
    // Load of the pool; error rate, latency and warmth are means over the servers that accept requests.
    proto::PoolLoad load(Time now) const;

private:
    struct Server
    {
        PoolServer info;
        Health health;
        Time processSince{}; // when the change to the present process became known
        bool listed = true; // part of the last setServers() call
        bool ended = false; // no process is known to run; a probe may show one before the list does
        bool seenFirst = false; // a probe has shown the present process, and the list does not know it yet
        std::int64_t startedMs = 0; // start of the present process as in its health report; 0: not known
        std::uint32_t leases = 0;
        std::uint32_t unknownSlots = 0; // slots that departed hosts may still use
        Time unknownUntil;
        Time reducedUntil; // fewer usable slots until then, because the server shed load
        std::uint32_t usableSlots = 0; // slots that may be used at present
    };
    struct Waiter
    {
        std::uint64_t ticket = 0;
        PoolRequest request;
    };
    // Queue and fair queueing state of one customer.
    struct Flow
    {
        std::list<Waiter> waiting;
        double weight = 1;
        std::optional<std::uint32_t> maxInFlight;
        std::uint32_t inFlight = 0;
        double start = 0; // virtual start time of the first waiting request
        double finish = 0; // virtual finish time of the last granted request
        double holdSeconds = 0; // moving average of the time that a lease is held, 0: unknown
        bool ready = false; // in m_ready
    };
    struct Lease
    {
        std::size_t server = 0;
        std::string customer;
        HostIncarnation host;
        std::uint64_t request = 0;
        Time granted;
        Time expiry;
        bool adopted = false; // from a report, so `granted` is the time of adoption
        Revision incarnation = 0; // of the server's process, as known when the lease was granted
        bool former = false; // of a process before the present one
    };
    struct WaiterPosition
    {
        std::string customer;
        std::list<Waiter>::iterator waiter;
    };

    bool update(std::size_t index, const PoolServer &info, bool wasListed, Time now);
    bool showProcess(std::size_t index, const ProbeResult &result, Time now);
    void confirmProcess(std::size_t index, Revision incarnation, Time now);
    void retireLeases(std::size_t server, Revision incarnation, Time now);
    void setExpiry(std::uint64_t id, Lease &lease, Time expiry);
    static void startAnew(Server &server, bool ended, Time now);
    static bool acceptsRequests(const Server &server);
    void refresh(Time now);
    std::uint32_t usableSlots(const Server &server, bool ignoreLeaving, Time now) const;
    void expire(Time now);
    void dispatch(Time now);
    bool grantNext(const std::string &customer, Flow &flow, Time now);
    void grant(Flow &flow, std::list<Waiter>::iterator waiter, std::size_t server, Time now);
    void refuse(std::uint64_t ticket, proto::ErrorKind kind, const std::string &message, Duration retryAfter);
    std::optional<std::size_t> chooseServer(const std::vector<std::string> &exclude);
    bool hasUsableServer(const PoolRequest &request) const;
    std::optional<Duration> excessiveWait(const Flow &flow, const PoolRequest &request, Time now) const;
    void shedExcessWaiter();
    void removeWaiter(std::uint64_t ticket);
    void endLease(std::uint64_t id);
    void enqueueFlow(const std::string &customer, Flow &flow);
    void dequeueFlow(const std::string &customer, Flow &flow);
    bool belowInFlightLimit(const Flow &flow) const;
    double cost(const Flow &flow) const;
    double earliestStart(const Flow &flow) const;
    bool hasFreeSlot() const;

    std::uint64_t m_nextId;
    std::uint64_t m_nextTicket = 1;
    std::vector<Server> m_servers;
    std::unordered_map<std::string, std::size_t> m_serverIndex;
    std::size_t m_rotation = 0; // start index of chooseServer(), so that equally loaded servers alternate
    bool m_configured = false; // whether any servers were set
    Time m_listedAt{}; // of the last setServers() call
    bool m_recovering = false;
    bool m_usableSlotsOutdated = true;
    Time m_refreshedAt;
    std::uint32_t m_usableSlots = 0; // sum over the servers
    double m_virtualTime = 0; // virtual time: start of the last granted request
    double m_holdSeconds = 0; // moving average of the time that a lease is held, 0: unknown
    double m_readyWeight = 0; // sum over the flows in m_ready
    std::unordered_map<std::string, Flow> m_flows;
    std::set<std::pair<double, std::string>> m_ready; // flows that may get a slot, by virtual start time
    std::unordered_map<std::uint64_t, WaiterPosition> m_waiterPositions;
    std::set<std::pair<Time, std::uint64_t>> m_waitDeadlines;
    std::unordered_map<std::uint64_t, Lease> m_leases;
    std::set<std::pair<Time, std::uint64_t>> m_leaseExpiries;
    std::vector<PoolDecision> m_decisions;
};

} // namespace banyanledge
