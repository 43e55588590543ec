// Reads the daemon's INI settings into the schema's Settings message and checks each value.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Parses INI text. On failure returns nullopt and lastError() names file, line, section, key and what to write
// instead. `file` only appears in messages.
std::optional<proto::Settings> parseSettings(const std::string &text, const std::string &file);

// Reads a file and parses it; an unreadable file is an ERROR_IO.
std::optional<proto::Settings> readSettings(const std::string &path);

// Table of all sections, keys, defaults and meanings, for --help-settings and the operators' page.
std::string settingsHelp();

// Whether the text is IP:PORT with a numeric IPv4 address or an IPv6 address in brackets.
bool isAddress(const std::string &text);

// Addresses with another port; port 0 leaves them as written.
std::vector<std::string> withPort(const google::protobuf::RepeatedPtrField<std::string> &addresses, std::uint32_t port);

} // namespace banyanledge
