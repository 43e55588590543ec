// Error reporting without exceptions. A function that can fail returns std::optional, a pointer or bool and stores the
// error for lastError().
#pragma once

#include <optional>
#include <string>

#include "base/types.h"

namespace banyanledge
{

struct Error
{
    proto::ErrorKind kind = proto::ERROR_NONE;
    std::string message; // what is wrong and what to do about it

    bool operator==(const Error &) const = default;
};

// Stores the error of the calling thread and returns nullopt, so that a function can end with
// `return fail(kind, message)`.
std::nullopt_t fail(proto::ErrorKind kind, const std::string &message);

// Most recent error of the calling thread. A success doesn't clear it.
const Error &lastError();

// Name of a kind in JSON and in metric labels: lower case without the prefix, such as "not_found".
std::string kindName(proto::ErrorKind kind);

} // namespace banyanledge
