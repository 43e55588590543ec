#include "control/join.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "base/error.h"
#include "base/log.h"
#include "control/leader.h"

namespace banyanledge
{

namespace
{

// Interval of the checks whether this host is a member. Short, because a new host has to hold a copy of the table
// within a few seconds.
constexpr milliseconds joinInterval{200};

// Timeout of one request to be added.
constexpr milliseconds joinTimeout{1000};

bool isMember(const proto::ControlStatus &status, const std::string &address)
{
    const auto &members = status.config().members();
    return std::any_of(members.begin(), members.end(),
                       [&address](const auto &member) { return member.rpc_address() == address; });
}

} // namespace

class GroupJoiner::Private
{
public:
    void run();
    std::string nextAddress();

    std::string ownAddress;
    std::function<proto::ControlStatus()> status;
    std::mutex mutex; // guards `seeds`, `nextSeed` and `stopping`
    std::vector<std::string> seeds;
    std::size_t nextSeed = 0;
    bool stopping = false;
    std::condition_variable wake;
    std::thread thread;
};

// Returns the leader's address if it is known and not this host's own, otherwise the seeds in turn.
std::string GroupJoiner::Private::nextAddress()
{
    std::string leader = status().leader_address();
    const std::lock_guard lock(mutex);
    if ((!leader.empty() && leader != ownAddress) || seeds.empty()) {
        return leader;
    }
    return seeds[nextSeed++ % seeds.size()];
}

void GroupJoiner::Private::run()
{
    LeaderClient client([this] { return nextAddress(); });
    std::unique_lock lock(mutex);
    while (!stopping) {
        lock.unlock();
        if (!isMember(status(), ownAddress)) {
            proto::ChangeMembersRequest request;
            request.mutable_member()->set_id(ownAddress);
            request.mutable_member()->set_rpc_address(ownAddress);
            const auto result = client.changeMember(request, Clock::now() + joinTimeout);
            logInfo("requested to join the control group",
                    {{"result", kindName(result.kind())}, {"message", result.message()}});
        }
        lock.lock();
        wake.wait_for(lock, joinInterval, [this] { return stopping; });
    }
}

GroupJoiner::GroupJoiner(std::string ownAddress, std::vector<std::string> seeds,
                         std::function<proto::ControlStatus()> status)
    : d(std::make_unique<Private>())
{
    d->ownAddress = std::move(ownAddress);
    d->seeds = std::move(seeds);
    d->status = std::move(status);
    d->thread = std::thread([this] { d->run(); });
}

GroupJoiner::~GroupJoiner()
{
    {
        const std::lock_guard lock(d->mutex);
        d->stopping = true;
    }
    d->wake.notify_all();
    d->thread.join();
}

void GroupJoiner::setSeeds(std::vector<std::string> seeds)
{
    const std::lock_guard lock(d->mutex);
    d->seeds = std::move(seeds);
}

} // namespace banyanledge
