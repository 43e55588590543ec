// Checks of commands that need no state: names, ranges and combinations of fields.
#pragma once

#include <optional>
#include <string>

#include "base/error.h"

namespace banyanledge
{

// Longest name of a customer, service, region, host or key, in bytes.
constexpr std::size_t longestName = 128;

// Largest weight of a region.
constexpr std::uint32_t largestWeight = 1000;

// Whether the text is a name: 1 to longestName letters, digits, ".", "_" or "-".
bool isName(const std::string &text);

// Reason why a declaration can't be put in force, with the remedy; nullopt when it is well-formed.
std::optional<Error> validateDeclaration(const proto::Declaration &declaration);

// Reason why a command cannot be applied to any table, with the remedy; nullopt when it is well-formed.
std::optional<Error> validateCommand(const proto::Command &command);

} // namespace banyanledge
