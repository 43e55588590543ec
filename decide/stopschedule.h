// Times of a graceful shutdown, all derived from the grace that the installation states: the time from SIGTERM until
// the platform kills the process.
#pragma once

#include "base/types.h"

namespace banyanledge
{

// Grace of a host whose settings state none.
constexpr milliseconds defaultStopGrace{6000};

// Times of one graceful shutdown, in this order. The installation forgives requests that are cut in the last sixth of
// the grace only, so that answerBy lies in that sixth, and the rest of the sixth is for writing and for the end.
struct StopSchedule
{
    Time begin{}; // arrival of SIGTERM
    Time acceptUntil{}; // new connections may be accepted, for clients that use an earlier look-up response
    Time answerBy{}; // requests in progress get an answer of this host if their server has not answered
    Time closeBy{}; // responses are written and connections closed
    Time end{}; // the platform kills the process

    friend bool operator==(const StopSchedule &, const StopSchedule &) = default;
};

// Returns the schedule of a shutdown that began at `begin`.
StopSchedule stopSchedule(Time begin, Duration grace);

// Returns until when a host that asked the others at `now` not to name it any more accepts connections. Clients use a
// look-up response for `lookupLifetime`.
Time acceptDeadline(const StopSchedule &schedule, Duration lookupLifetime, Time now);

// Returns until when a control host that begins to leave its group at `now` waits for the others.
Time leaveDeadline(const StopSchedule &schedule, Time now);

// A process that is only short of processor time takes a signal up to this late.
constexpr milliseconds signalDelayTolerance{250};

// Returns when the grace of a process began that takes SIGTERM from the kernel at `now` and was due to look for signals
// at `due`. A process that stood still takes the signal late, and its grace ran meanwhile.
Time stopBegin(Time due, Time now);

} // namespace banyanledge
