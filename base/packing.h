// Compression of the parts of a Sync reply that are the same for many hosts. The leader serializes and compresses them
// once instead of once for each host.
#pragma once

#include <string>

#include "base/types.h"

namespace banyanledge
{

// Serializes and compresses a part, for SyncReply::common.
std::string packCommon(const proto::SyncReply &part);

// Decompresses the parts in `common`, merges them into the reply and clears `common`. Returns false and sets
// lastError() if a part can't be decompressed or parsed.
bool unpackCommon(proto::SyncReply &reply);

} // namespace banyanledge
