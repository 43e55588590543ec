#include "base/timer.h"

#include <utility>

namespace banyanledge
{

Timer::Timer(const asio::any_io_executor &executor)
    : m_timer(executor)
    , m_starts(std::make_shared<std::uint64_t>(0))
{
}

Timer::~Timer()
{
    stop();
}

void Timer::start(Time when, std::function<void()> expired)
{
    const std::uint64_t current = ++*m_starts;
    m_timer.expires_at(when);
    m_timer.async_wait([starts = m_starts, current, expired = std::move(expired)](const asio::error_code &error) {
        if (!error && *starts == current) {
            expired();
        }
    });
}

void Timer::start(Duration delay, std::function<void()> expired)
{
    start(Clock::now() + delay, std::move(expired));
}

void Timer::stop()
{
    ++*m_starts;
    m_timer.cancel();
}

} // namespace banyanledge
