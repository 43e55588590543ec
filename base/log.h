// Logging of JSON lines to standard output with easylogging++. Customers' keys must never be logged.
// A writer thread writes the lines, so that logging never blocks a request: when standard output is not read and the
// queue is full, lines are dropped.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace banyanledge
{

using LogFields = std::initializer_list<std::pair<const char *, std::string>>;

// Configures the logger; called once at the start of the process. `level` is the lowest level that is logged: debug,
// info, warning or error. `host` is a field of each line. Returns false if the level is unknown.
bool startLog(const std::string &level, const std::string &host);

// Writes the queued lines and ends the writer thread; for the end of the process.
void stopLog();

// Number of lines dropped since the start, because the queue was full or the rate limit was exceeded.
std::uint64_t droppedLogLines();

void logDebug(const std::string &message, LogFields fields = {});
void logInfo(const std::string &message, LogFields fields = {});
void logWarning(const std::string &message, LogFields fields = {});
void logError(const std::string &message, LogFields fields = {});

// The text as a quoted JSON string.
std::string jsonString(const std::string &text);

} // namespace banyanledge
