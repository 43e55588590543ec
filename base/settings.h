// Reads the INI settings of the daemon into the Settings message of the schema. The options of the message's fields
// give default values and limits.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Parses INI text. On failure returns nullopt and sets lastError() to file, line, section, key and what to write
// instead. `file` is only used in error messages.
std::optional<proto::Settings> parseSettings(const std::string &text, const std::string &file);

// Reads and parses a file. Fails with ERROR_IO if it is unreadable, else like parseSettings().
std::optional<proto::Settings> readSettings(const std::string &path);

// Names, as "[section] key", the settings that differ and that a running host does not reload.
std::vector<std::string> changesForRestart(const proto::Settings &running, const proto::Settings &changed);

// List of all sections and keys with their meanings and defaults, for --help-settings and the operators' manual.
std::string settingsHelp();

// Whether the text is IP:PORT, where IP is a numeric IPv4 address or an IPv6 address in brackets.
bool isAddress(const std::string &text);

// Replaces the port of each address; port 0 leaves the addresses unchanged.
std::vector<std::string> withPort(const google::protobuf::RepeatedPtrField<std::string> &addresses, std::uint32_t port);

} // namespace banyanledge
