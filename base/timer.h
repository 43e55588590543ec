// One-shot timer on an event loop.
#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

#include "base/types.h"

namespace banyanledge
{

// Runs a callback once at a given time. The callback of an earlier start() never runs after stop(), another start() or
// the end of the timer, not even when its time has passed and asio has queued its completion: cancelling a steady_timer
// does not reach such a completion. All functions run on the thread or the strand of the executor.
class Timer
{
public:
    explicit Timer(const asio::any_io_executor &executor);
    ~Timer();

    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    // Replaces an earlier start.
    void start(Time when, std::function<void()> expired);
    void start(Duration delay, std::function<void()> expired);

    void stop();

private:
    asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_starts; // number of starts and stops; shared with the pending completions
};

} // namespace banyanledge
