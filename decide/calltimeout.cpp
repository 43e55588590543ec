#include "decide/calltimeout.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// The timeout is at least this multiple of the time of the last reply.
constexpr int replyTimeFactor = 3;

// With each reply the timeout shrinks to this part at most, so that one fast reply does not end it for slower ones.
constexpr double shrinkFactor = 0.75;

} // namespace

CallTimeout::CallTimeout(Duration min, Duration max)
    : m_min(min)
    , m_max(max)
    , m_value(min)
{
}

Duration CallTimeout::value() const
{
    return m_value;
}

void CallTimeout::recordReply(Duration took)
{
    const Duration shrunk(static_cast<Duration::rep>(static_cast<double>(m_value.count()) * shrinkFactor));
    m_value = std::clamp(std::max(took * replyTimeFactor, shrunk), m_min, m_max);
}

void CallTimeout::recordTimeout()
{
    m_value = std::min(m_value * 2, m_max);
}

} // namespace banyanledge
