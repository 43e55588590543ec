// Reports the end of the process by a fatal signal, such as a segmentation fault or a failed assertion of a library.
#pragma once

#include <string>

namespace banyanledge
{

// Writes one log line with the signal and the return addresses of the failed thread before the process ends. The
// addresses are relative to the program, as addr2line expects them. Call once, before other threads start.
void reportCrashes(const std::string &host);

} // namespace banyanledge
