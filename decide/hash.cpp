#include "decide/hash.h"

#include <xxhash.h>

namespace banyanledge
{

std::uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace banyanledge
