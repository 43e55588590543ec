// SHA-256 digests and random keys, for customers' keys and operators' tokens.
#pragma once

#include <string>
#include <string_view>

namespace banyanledge
{

// SHA-256 of the text as 32 raw bytes.
std::string sha256(std::string_view text);

// Lower-case hexadecimal form of raw bytes.
std::string toHex(std::string_view bytes);

// Random 256-bit key from OpenSSL's generator, as 64 hexadecimal digits. Aborts the process if the generator fails.
std::string randomKey();

// Compares in a time that depends on the lengths but not on the contents, against timing attacks.
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace banyanledge
