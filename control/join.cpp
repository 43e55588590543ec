#include "control/join.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

#include "base/error.h"
#include "base/log.h"

namespace banyanledge
{

namespace
{

// Interval of the checks whether a leader contacts this host. Short, because a new host has to hold a copy of the table
// within a few seconds.
constexpr milliseconds joinInterval{200};

// Time without a leader after which a host that has a member list asks to be added. An ordinary election is shorter.
constexpr milliseconds leaderlessTimeout{500};

// Timeout of one request to be added, which takes two calls to the leader.
constexpr milliseconds joinTimeout{2000};

// Pause between two checks whether a step of leaving is done.
constexpr milliseconds leaveInterval{10};

// Interval at which the same outcome of repeated requests is logged again.
constexpr milliseconds repeatedLogInterval{10000};

} // namespace

bool mustRequestJoin(const proto::ControlStatus &status, Duration leaderless)
{
    return status.leader().empty() && (status.config().members().empty() || leaderless >= leaderlessTimeout);
}

class GroupJoiner::Private
{
public:
    Private(std::string initialAddress, GroupContacts &initialContacts,
            std::function<proto::ControlStatus()> initialStatus)
        : ownAddress(std::move(initialAddress))
        , contacts(initialContacts)
        , status(std::move(initialStatus))
        , client([this] { return status().leader_address(); }, [this] { return contacts.next(status().config()); })
    {
    }

    void run();
    void check(Time now);
    void logOutcome(const proto::CommandResult &result, Time now);

    const std::string ownAddress;
    GroupContacts &contacts;
    const std::function<proto::ControlStatus()> status;
    LeaderClient client;
    Time lastLeaderTime{}; // last check at which a leader was known
    std::optional<proto::ErrorKind> loggedOutcome;
    Time loggedTime{};
    std::mutex mutex; // guards `stopping`
    bool stopping = false;
    std::condition_variable wake;
    std::thread thread;
};

void GroupJoiner::Private::run()
{
    lastLeaderTime = Clock::now();
    std::unique_lock lock(mutex);
    while (!stopping) {
        lock.unlock();
        check(Clock::now());
        lock.lock();
        wake.wait_for(lock, joinInterval, [this] { return stopping; });
    }
}

void GroupJoiner::Private::check(Time now)
{
    const auto current = status();
    if (!current.leader().empty()) {
        lastLeaderTime = now;
        loggedOutcome.reset();
    }
    if (!mustRequestJoin(current, now - lastLeaderTime)) {
        return;
    }
    proto::ChangeMembersRequest request;
    request.mutable_member()->set_id(ownAddress);
    request.mutable_member()->set_rpc_address(ownAddress);
    logOutcome(client.changeMember(request, {now + joinTimeout, {}}), now);
}

// A host that can't reach its group repeats the request for as long as that lasts, so that not each outcome is logged.
void GroupJoiner::Private::logOutcome(const proto::CommandResult &result, Time now)
{
    if (loggedOutcome == result.kind() && now < loggedTime + repeatedLogInterval) {
        return;
    }
    loggedOutcome = result.kind();
    loggedTime = now;
    logInfo("requested to join the control group",
            {{"result", kindName(result.kind())}, {"message", result.message()}});
}

void leaveGroup(Node &node, LeaderClient &leader, const std::string &ownAddress, Time deadline)
{
    const Time begin = Clock::now();
    const Time handoverEnd = begin + (deadline - begin) / 2;
    const bool led = node.status().role() == "leader";
    node.transferLeadership();
    while (node.status().role() == "leader" && Clock::now() < handoverEnd) {
        std::this_thread::sleep_for(leaveInterval);
    }
    proto::ChangeMembersRequest request;
    request.mutable_member()->set_id(ownAddress);
    request.set_remove(true);
    request.set_leaving(true);
    const proto::CommandResult result = leader.changeMember(request, {deadline, {}});
    logInfo("asked to leave the control group",
            {{"led", led ? "yes" : "no"}, {"result", kindName(result.kind())}, {"message", result.message()}});
}

GroupJoiner::GroupJoiner(std::string ownAddress, GroupContacts &contacts, std::function<proto::ControlStatus()> status)
    : d(std::make_unique<Private>(std::move(ownAddress), contacts, std::move(status)))
{
    d->thread = std::thread([this] { d->run(); });
}

GroupJoiner::~GroupJoiner()
{
    {
        const std::lock_guard lock(d->mutex);
        d->stopping = true;
    }
    d->client.cancelCalls();
    d->wake.notify_all();
    d->thread.join();
}

} // namespace banyanledge
