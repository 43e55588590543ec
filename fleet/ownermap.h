// Owner host of each resource, and the time from which this host may act as the owner of its own resources.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/types.h"
#include "decide/owner.h"
#include "decide/view.h"

namespace banyanledge
{

// Source of the table and of its freshness lease; a ControlClient except in tests.
struct TableSource
{
    std::function<std::shared_ptr<const View>()> view;
    // End of the lease. A view() called after it returns a copy at least as new as the one that this lease covers.
    std::function<Time()> freshUntil;
    std::function<void(std::function<void(const std::shared_ptr<const View> &)>)> onChange;
};

// Records the recent member lists, since a former owner may act until its freshness lease ends. Thread-safe.
class OwnerMap
{
public:
    explicit OwnerMap(HostIncarnation self);

    // Applies a new copy of the table. `leaseLapsed` tells whether this host's freshness lease had ended before.
    // Returns whether another host may have acted as owner of this host's resources in the meantime.
    bool update(const std::shared_ptr<const View> &view, bool leaseLapsed, Time now);

    // Gives up the ownership of all resources at a planned stop.
    void resign(Time now);

    // Owner by the newest copy; nullopt when there is none.
    std::optional<HostIncarnation> owner(const std::string &resource) const;

    // Time from which this host may act as owner; nullopt when it is not the owner. `formerOwner` is the host that
    // handed the resource over, if any; ownerTakeoverDelay does not apply after it.
    std::optional<Time> ownershipStart(const std::string &resource,
                                       const std::optional<HostIncarnation> &formerOwner) const;

    // gRPC address of a host; empty when the table doesn't have the host with this incarnation.
    std::string address(const HostIncarnation &host) const;

    std::shared_ptr<const View> view() const;
    const HostIncarnation &self() const;

private:
    // Period in which the list of entry hosts did not change.
    struct Epoch
    {
        Time receivedAt; // start of the epoch on this host
        std::map<std::string, proto::Member> members;
    };

    void appendEpoch(std::map<std::string, proto::Member> members, Time now);
    // Whether the newest copy shows that this incarnation of the host has stopped.
    bool hasStopped(const HostIncarnation &host) const;
    std::optional<HostIncarnation> ownerIn(const std::string &resource, const Epoch &epoch) const;

    const HostIncarnation m_self;
    mutable std::mutex m_mutex;
    std::shared_ptr<const View> m_view = std::make_shared<View>();
    std::deque<Epoch> m_epochs; // oldest first; the last one is current
    // The owners before the oldest epoch are unknown: it began with the first copy, or after the history was lost.
    bool m_earlierOwnersUnknown = false;
    bool m_resigned = false;
    mutable std::unordered_map<std::string, std::optional<HostIncarnation>>
        m_owners; // cache of owners in the newest epoch
};

} // namespace banyanledge
