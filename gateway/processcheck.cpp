#include "gateway/processcheck.h"

#include <map>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/timer.h"
#include "gateway/text.h"

namespace banyanledge
{

namespace
{

// A server that neither accepts nor refuses a connection within this time may be cut off.
constexpr milliseconds connectTimeout{400};

// The health check waits for a slot of the server, as requests do.
constexpr milliseconds healthTimeout{1000};

// Check in progress.
struct Check
{
    explicit Check(asio::io_context &loop)
        : socket(loop)
        , timer(loop.get_executor())
    {
    }

    std::uint64_t number = 0; // tells it from other checks of the server
    asio::ip::tcp::socket socket; // without a health path
    std::shared_ptr<UpstreamAttempt> health; // with one
    Timer timer;
    ProcessCheckResult result;
    std::vector<ProcessCheck::Done> waiters;
};

} // namespace

class ProcessCheck::Private : public std::enable_shared_from_this<ProcessCheck::Private>
{
public:
    Private(asio::io_context &eventLoop, Upstream &connections, const HeaderNames &headerNames)
        : loop(eventLoop)
        , upstream(connections)
        , names(headerNames)
    {
    }

    void connect(const ProcessCheckTarget &target, Check &check);
    void askHealth(const ProcessCheckTarget &target, Check &check);
    Check *find(const std::string &server, std::uint64_t number);
    void finish(const std::string &server, std::uint64_t number, bool refused);

    asio::io_context &loop;
    Upstream &upstream;
    const HeaderNames names;
    std::map<std::string, std::unique_ptr<Check>> checks; // by server id
    std::uint64_t startedChecks = 0;
};

void ProcessCheck::Private::connect(const ProcessCheckTarget &target, Check &check)
{
    check.socket.async_connect(
        target.address,
        [weak = weak_from_this(), server = target.server, number = check.number](const asio::error_code &error) {
            if (const auto self = weak.lock()) {
                self->finish(server, number, error == asio::error::connection_refused);
            }
        });
}

void ProcessCheck::Private::askHealth(const ProcessCheckTarget &target, Check &check)
{
    UpstreamRequest request;
    request.serverId = target.server;
    request.address = target.address;
    request.bytes = "GET " + target.healthPath + " HTTP/1.1\r\nHost: " + target.server + "\r\n" + names.expectedServer
        + ": " + target.server + "\r\n\r\n";
    request.maxIdleTime = Duration(-1); // an ended process can't refuse an open connection
    request.isCheck = true;
    AttemptHandlers handlers;
    handlers.head = [weak = weak_from_this(), server = target.server, number = check.number](const HttpHead &head) {
        const auto self = weak.lock();
        Check *current = self ? self->find(server, number) : nullptr;
        const bool isOtherServer = head.status == 421;
        if (current != nullptr && !isOtherServer) {
            current->result.answered = true;
            const auto warmup = parseUnsigned(headerValue(head.headers, self->names.warmupLeftMs));
            current->result.warmupLeft = warmup ? std::optional(milliseconds(*warmup)) : std::nullopt;
        }
    };
    handlers.body = [](const std::string &) {};
    handlers.end = [weak = weak_from_this(), server = target.server, number = check.number](AttemptResult result,
                                                                                            const std::string &reason) {
        if (result == AttemptResult::NoResponse) {
            logInfo("health check failed", {{"server", server}, {"reason", reason}});
        }
        if (const auto self = weak.lock()) {
            self->finish(server, number, result == AttemptResult::Refused);
        }
    };
    check.health = upstream.send(std::move(request), std::move(handlers));
}

Check *ProcessCheck::Private::find(const std::string &server, std::uint64_t number)
{
    const auto found = checks.find(server);
    return found != checks.end() && found->second->number == number ? found->second.get() : nullptr;
}

void ProcessCheck::Private::finish(const std::string &server, std::uint64_t number, bool refused)
{
    if (find(server, number) == nullptr) {
        return;
    }
    const auto check = std::move(checks.extract(server).mapped());
    check->result.refused = refused;
    for (const auto &done : check->waiters) {
        done(check->result);
    }
}

ProcessCheck::ProcessCheck(asio::io_context &loop, Upstream &upstream, const HeaderNames &headerNames)
    : d(std::make_shared<Private>(loop, upstream, headerNames))
{
}

ProcessCheck::~ProcessCheck() = default;

void ProcessCheck::start(const ProcessCheckTarget &target, Done done)
{
    auto &check = d->checks[target.server];
    const bool isNew = check == nullptr;
    if (isNew) {
        check = std::make_unique<Check>(d->loop);
        check->number = ++d->startedChecks;
    }
    check->waiters.push_back(std::move(done));
    if (!isNew) {
        return;
    }
    const bool asksHealth = !target.healthPath.empty();
    check->timer.start(asksHealth ? healthTimeout : connectTimeout,
                       [weak = d->weak_from_this(), server = target.server, number = check->number] {
                           const auto self = weak.lock();
                           Check *current = self ? self->find(server, number) : nullptr;
                           if (current != nullptr && current->health) {
                               current->health->cancel();
                           }
                           if (self) {
                               self->finish(server, number, false);
                           }
                       });
    if (asksHealth) {
        d->askHealth(target, *check);
    } else {
        d->connect(target, *check);
    }
}

} // namespace banyanledge
