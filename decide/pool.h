// Slots and waiting requests of one pool: the backend servers of one service in one region.
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

struct PoolServer
{
    std::string id;
    std::string address; // IP:PORT
    std::uint32_t slots = 0;
    std::uint32_t maxConnections = 0; // 0: no limit known
    bool acceptsRequests = true; // neither leaving nor drained

    bool operator==(const PoolServer &) const = default;
};

struct PoolRequest
{
    std::string customer;
    double weight = 1; // share under contention, against other customers
    std::optional<std::uint32_t> maxInFlight; // of the customer in this pool
    HostIncarnation host;
    std::uint64_t request = 0; // number chosen by the host, for cancel()
    Time deadline; // of the request
    Time waitUntil; // latest moment to get a slot
    std::vector<std::string> exclude; // servers not to use
};

// Lease, or refusal when `kind` is not ERROR_NONE.
struct PoolGrant
{
    proto::ErrorKind kind = proto::ERROR_NONE;
    std::string message;
    Duration retryAfter{};
    std::uint64_t lease = 0;
    std::string server;
    std::string address;
};

struct PoolDecision
{
    std::uint64_t ticket = 0;
    PoolGrant grant;
};

// A lease as the host that holds it or the former owner describes it.
struct PoolLease
{
    std::uint64_t id = 0;
    std::string server;
    std::string customer;
    HostIncarnation host;
    Duration remaining{};

    bool operator==(const PoolLease &) const = default;
};

// Never grants more leases of a server than it has slots. Customers that wait share by weighted fair queueing on the
// slot time they use (start-time fair queueing), so a flood delays only the customer that sends it.
class Pool
{
public:
    // `firstId` starts the lease ids; a random one keeps ids of successive owners apart.
    Pool(std::uint64_t firstId, Time now);

    // Servers in force. Those of the first call are taken as warm, later ones ramp up.
    void setServers(const std::vector<PoolServer> &servers, Time now);

    // Queues a wish and returns its ticket; poll() decides it.
    std::uint64_t acquire(PoolRequest wish, Time now);

    // Ends a lease with what happened. Unknown and repeated ids are ignored.
    void release(std::uint64_t lease, proto::Outcome outcome, Duration latency, Time now);

    // Withdraws a host's request, waiting or granted, whose answer was lost.
    void cancel(const HostIncarnation &host, std::uint64_t request, Time now);

    // Withdraws a waiting request.
    void cancelTicket(std::uint64_t ticket);

    // A host runs with this incarnation: leases of its earlier ones end.
    void hostStarted(const HostIncarnation &run);

    void recordProbe(const std::string &server, const ProbeResult &result, std::uint32_t leasesBefore, Time now);

    // Decides what can be decided now, in the order of decision.
    std::vector<PoolDecision> poll(Time now);

    // Next moment at which poll() has something to do without another call.
    std::optional<Time> nextWakeTime() const;

    // Grants nothing until finishRecovery(). With `unknownHolders`, slots may be in use by hosts that are gone: each
    // server counts as full until its own report says less.
    void startRecovery();
    void adopt(const PoolLease &lease, Time now);
    void finishRecovery(bool unknownHolders, Time now);
    bool recovering() const;

    // No report of the server can be had: slots that hosts now gone may use stay counted for 30 s at most.
    void limitUnknownSlots(const std::string &server, Time now);

    std::vector<PoolLease> leases(Time now) const;
    std::uint32_t leaseCount(const std::string &server) const;
    std::size_t waiting() const;
    std::vector<PoolServer> servers() const;
    proto::PoolLoad load(Time now) const;

private:
    struct Server
    {
        PoolServer info;
        Health health;
        bool listed = true;
        std::uint32_t leases = 0;
        std::uint32_t unknown = 0; // slots that hosts that are gone may still use
        Time unknownUntil;
        Time shedUntil;
        std::uint32_t usable = 0; // slots to use at present
    };
    struct Waiter
    {
        std::uint64_t ticket = 0;
        PoolRequest wish;
    };
    struct Flow
    {
        std::list<Waiter> waiting;
        double weight = 1;
        std::optional<std::uint32_t> maxInFlight;
        std::uint32_t inFlight = 0;
        double start = 0; // virtual start of the first waiting request
        double finish = 0; // virtual finish of the newest granted one
        double holdSeconds = 0; // recent mean time that a lease is held, 0: not known
        bool ready = false;
    };
    struct Lease
    {
        std::size_t server = 0;
        std::string customer;
        HostIncarnation host;
        std::uint64_t request = 0;
        Time granted;
        Time expiry;
        bool adopted = false;
    };
    struct Place
    {
        std::string customer;
        std::list<Waiter>::iterator waiter;
    };

    void refresh(Time now);
    std::uint32_t usableSlots(const Server &server, bool ignoreLeaving, Time now) const;
    void expire(Time now);
    void dispatch(Time now);
    bool grantNext(const std::string &customer, Flow &flow, Time now);
    void grant(Flow &flow, std::list<Waiter>::iterator waiter, std::size_t server, Time now);
    void refuse(std::uint64_t ticket, proto::ErrorKind kind, const std::string &message, Duration retryAfter);
    std::optional<std::size_t> chooseServer(const std::vector<std::string> &exclude);
    bool servable(const PoolRequest &wish) const;
    std::optional<Duration> hopelessWait(const Flow &flow, const PoolRequest &wish, Time now) const;
    void makeRoom();
    void removeWaiter(std::uint64_t ticket);
    void endLease(std::uint64_t id);
    void place(const std::string &customer, Flow &flow);
    void unplace(const std::string &customer, Flow &flow);
    bool mayStart(const Flow &flow) const;
    double cost(const Flow &flow) const;
    double earliestStart(const Flow &flow) const;
    bool anyFree() const;

    std::uint64_t m_nextId;
    std::uint64_t m_nextTicket = 1;
    std::vector<Server> m_servers;
    std::unordered_map<std::string, std::size_t> m_serverIndex;
    std::size_t m_rotation = 0; // spreads equal servers
    bool m_configured = false;
    bool m_recovering = false;
    bool m_stale = true; // usable slots have to be computed again
    Time m_refreshedAt;
    std::uint32_t m_usable = 0; // sum of the servers' usable slots
    double m_virtual = 0; // virtual time: start of the newest granted request
    double m_holdSeconds = 0; // recent mean time that a lease is held
    double m_readyWeight = 0; // of customers that wait
    std::unordered_map<std::string, Flow> m_flows;
    std::set<std::pair<double, std::string>> m_ready;
    std::unordered_map<std::uint64_t, Place> m_places;
    std::set<std::pair<Time, std::uint64_t>> m_waitEnds;
    std::unordered_map<std::uint64_t, Lease> m_leases;
    std::set<std::pair<Time, std::uint64_t>> m_leaseEnds;
    std::vector<PoolDecision> m_decisions;
};

} // namespace banyanledge
