// Stateless validation of commands: names, value ranges and combinations of fields.
//
// Error messages of the validation and of the table become part of stored change results and audit records, so all
// builds of a group have to word them alike; a changed text would make the control hosts of two builds store different
// results.
#pragma once

#include <optional>
#include <string>

#include "base/error.h"

namespace banyanledge
{

// Maximum length in bytes of the name of a customer, service, region, host or key, and of a request id.
constexpr std::size_t maxNameLength = 128;

// Maximum weight of a row.
constexpr std::uint32_t maxRowWeight = 1000;

// Returns true if the text consists of 1 to maxNameLength letters, digits, '.', '_' or '-'.
bool isValidName(const std::string &text);

// Validates a declaration. Returns the first error, with what to do about it, or nullopt when it is valid.
std::optional<Error> validateDeclaration(const proto::Declaration &declaration);

// Validates a command without looking at the table. Returns the first error, with what to do about it, or nullopt when
// it is valid.
std::optional<Error> validateCommand(const proto::Command &command);

} // namespace banyanledge
