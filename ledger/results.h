// Results of commands that are refused.
#pragma once

#include <string>

#include "base/types.h"

namespace banyanledge
{

proto::CommandResult errorResult(proto::ErrorKind kind, const std::string &message);

// Result for a command that names an object which does not exist.
proto::CommandResult notFound(const std::string &objectKind, const std::string &name);

} // namespace banyanledge
