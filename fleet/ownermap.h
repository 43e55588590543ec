// Which host owns a resource, and from when on this host may act as the owner of its own resources.
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

// What ownership needs of the follower.
struct TableSource
{
    std::function<std::shared_ptr<const View>()> view;
    std::function<Time()> freshUntil; // the copy that view() gives afterwards is at least as new as this proof
    std::function<void(std::function<void(const std::shared_ptr<const View> &)>)> onChange;
};

// Safe from any thread.
class OwnerMap
{
public:
    explicit OwnerMap(HostRun self);

    // Learns a copy of the table. `lapsed` says that this host's freshness ended since the last one; returns whether
    // another host may have acted as owner of this host's resources in between.
    bool update(const std::shared_ptr<const View> &view, bool lapsed, Time now);

    // Gives up every resource at a planned stop.
    void resign(Time now);

    std::optional<HostRun> owner(const std::string &resource) const;

    // Moment from which this host may act as owner; nullopt when it is not the owner. `formerOwner` is a former owner
    // that gave the resource up by itself.
    std::optional<Time> ownershipStart(const std::string &resource, const std::optional<HostRun> &formerOwner) const;

    // gRPC address of a host that is not gone; empty when unknown.
    std::string address(const HostRun &run) const;

    std::shared_ptr<const View> view() const;
    const HostRun &self() const;

private:
    struct Epoch
    {
        Time receivedAt;
        std::map<std::string, proto::Member> members;
    };

    void append(std::map<std::string, proto::Member> members, Time now);
    bool hasStopped(const HostRun &run) const;
    std::optional<HostRun> ownerIn(const std::string &resource, const Epoch &epoch) const;

    const HostRun m_self;
    mutable std::mutex m_mutex;
    std::shared_ptr<const View> m_view = std::make_shared<View>();
    std::deque<Epoch> m_epochs; // oldest first; the newest is in force
    bool m_startsAtFirstView = false; // the oldest epoch is the first copy, what came before is not known
    bool m_resigned = false;
    mutable std::unordered_map<std::string, std::optional<HostRun>> m_owners; // of the newest epoch
};

} // namespace banyanledge
