#include "gateway/crashcheck.h"

#include <map>
#include <utility>
#include <vector>

#include "base/timer.h"

namespace banyanledge
{

namespace
{

// A server that neither accepts nor refuses within this time may be cut off, and does not count as crashed.
constexpr milliseconds connectTimeout{400};

// One connection attempt.
struct Check
{
    explicit Check(asio::io_context &loop)
        : socket(loop)
        , timer(loop.get_executor())
    {
    }

    std::uint64_t number = 0; // tells it from other checks of the server
    asio::ip::tcp::socket socket;
    Timer timer;
    std::vector<std::function<void(bool)>> waiters;
};

} // namespace

class CrashCheck::Private : public std::enable_shared_from_this<CrashCheck::Private>
{
public:
    explicit Private(asio::io_context &eventLoop)
        : loop(eventLoop)
    {
    }

    void connect(const std::string &server, const asio::ip::tcp::endpoint &address, Check &check);
    void finish(const std::string &server, bool refused);

    asio::io_context &loop;
    std::map<std::string, std::unique_ptr<Check>> checks; // by server id
    std::uint64_t startedChecks = 0;
};

void CrashCheck::Private::connect(const std::string &server, const asio::ip::tcp::endpoint &address, Check &check)
{
    const std::weak_ptr<Private> weak = weak_from_this();
    check.timer.start(connectTimeout, [weak, server] {
        if (const auto self = weak.lock()) {
            self->finish(server, false);
        }
    });
    check.number = ++startedChecks;
    check.socket.async_connect(address, [weak, server, number = check.number](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto found = self->checks.find(server);
        if (found != self->checks.end() && found->second->number == number) {
            self->finish(server, error == asio::error::connection_refused);
        }
    });
}

void CrashCheck::Private::finish(const std::string &server, bool refused)
{
    const auto check = std::move(checks.extract(server).mapped());
    for (const auto &done : check->waiters) {
        done(refused);
    }
}

CrashCheck::CrashCheck(asio::io_context &loop)
    : d(std::make_shared<Private>(loop))
{
}

CrashCheck::~CrashCheck() = default;

void CrashCheck::start(const std::string &server, const asio::ip::tcp::endpoint &address,
                       std::function<void(bool)> done)
{
    auto &check = d->checks[server];
    const bool isNew = check == nullptr;
    if (isNew) {
        check = std::make_unique<Check>(d->loop);
    }
    check->waiters.push_back(std::move(done));
    if (isNew) {
        d->connect(server, address, *check);
    }
}

} // namespace banyanledge
