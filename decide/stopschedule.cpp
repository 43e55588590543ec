#include "decide/stopschedule.h"

#include <algorithm>

namespace banyanledge
{

StopSchedule stopSchedule(Time begin, Duration grace)
{
    StopSchedule schedule;
    schedule.begin = begin;
    schedule.answerBy = begin + grace * 7 / 8;
    schedule.closeBy = begin + grace * 11 / 12;
    schedule.end = begin + grace;
    // A request that arrives in the second half of the time for answers rarely has the time to be answered here.
    schedule.acceptUntil = begin + (schedule.answerBy - begin) / 2;
    return schedule;
}

Time acceptDeadline(const StopSchedule &schedule, Duration lookupLifetime, Time now)
{
    // Other hosts name this one for up to a freshness lease after the change.
    return std::min(schedule.acceptUntil, now + freshnessLease + lookupLifetime);
}

Time leaveDeadline(const StopSchedule &schedule, Time now)
{
    const Duration share = (schedule.end - schedule.begin) / 3;
    return std::min(now + share, schedule.answerBy);
}

Time stopBegin(Time due, Time now)
{
    return now > due + signalDelayTolerance ? due : now;
}

} // namespace banyanledge
