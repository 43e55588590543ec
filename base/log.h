// Log lines in JSON on standard output, through easylogging++. Keys never go into them.
// Lines are written by a thread of their own: a full queue or a reader that stops drops lines, it never blocks a
// request.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace banyanledge
{

using LogFields = std::initializer_list<std::pair<const char *, std::string>>;

// Sets up the logger once at the start of the process. `level` is debug, info, warning or error; `host` is added to
// each line. Returns false for an unknown level.
bool startLog(const std::string &level, const std::string &host);

// Writes what is queued and ends the writer; for the end of the process.
void stopLog();

// Lines dropped since the start, because the queue was full or a second had more than its lines.
std::uint64_t droppedLogLines();

void logDebug(const std::string &message, LogFields fields = {});
void logInfo(const std::string &message, LogFields fields = {});
void logWarning(const std::string &message, LogFields fields = {});
void logError(const std::string &message, LogFields fields = {});

// Text as a JSON string with quotes.
std::string jsonString(const std::string &text);

} // namespace banyanledge
