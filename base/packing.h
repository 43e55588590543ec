// Parts of a Sync answer that are the same for many hosts. The leader serializes and compresses them once instead of
// once for each host.
#pragma once

#include <string>

#include "base/types.h"

namespace banyanledge
{

// The part as compressed bytes, for SyncReply::common.
std::string packCommon(const proto::SyncReply &part);

// Merges all common parts into the answer and removes them; false when one can't be read, see lastError().
bool unpackCommon(proto::SyncReply &reply);

} // namespace banyanledge
