// Logs a fatal signal, such as a segmentation fault or a library's failed assertion, before it ends the process.
#pragma once

#include <string>

namespace banyanledge
{

// Installs handlers that write one log line with the signal and the backtrace of the failed thread, then let the signal
// end the process. Addresses are relative to the load address of the program, as addr2line expects them. Call once,
// before other threads start.
void installCrashHandlers(const std::string &host);

} // namespace banyanledge
