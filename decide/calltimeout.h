// Timeout of calls to another host that follows the time its replies take.
#pragma once

#include "base/types.h"

namespace banyanledge
{

// A fixed timeout is either too short for a distant host, whose calls then never succeed, or too long to find out soon
// that a near one is silent.
class CallTimeout
{
public:
    // The timeout starts at `min` and never exceeds `max`.
    CallTimeout(Duration min, Duration max);

    Duration value() const;

    // Records how long a reply took.
    void recordReply(Duration took);

    // Records that a call got no reply within the timeout. The next one gets twice the time.
    void recordTimeout();

private:
    Duration m_min;
    Duration m_max;
    Duration m_value;
};

} // namespace banyanledge
