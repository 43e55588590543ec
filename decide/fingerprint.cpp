#include "decide/fingerprint.h"

#include <cstdint>

#include "base/digest.h"
#include "decide/hash.h"

namespace banyanledge
{

namespace
{

constexpr std::size_t prefixDigits = 16;

// Raw bytes of the SHA-256 digest in a fingerprint; 128 bits can't be matched on purpose.
constexpr std::size_t digestBytes = 16;

// Appends a field with its length, so that the end of one field can't be taken for the start of the next.
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

std::string fingerprintPrefix(std::string_view target)
{
    const std::uint64_t hash = hashText(target);
    std::string bytes;
    for (unsigned shift = 0; shift < 64; shift += 8) {
        bytes += static_cast<char>(hash >> shift & 0xff);
    }
    return toHex(bytes);
}

std::string fingerprintOf(const RequestContent &content)
{
    std::string text;
    for (const std::string_view field : {content.method, content.host, content.target, content.customer}) {
        appendField(text, field);
    }
    text += sha256(content.body);
    return fingerprintPrefix(content.target) + toHex(std::string_view(sha256(text)).substr(0, digestBytes));
}

std::string_view prefixOf(std::string_view fingerprint)
{
    return fingerprint.substr(0, prefixDigits);
}

} // namespace banyanledge
