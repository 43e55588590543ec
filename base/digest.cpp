#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <cstdlib>

namespace banyanledge
{

std::string sha256(std::string_view text)
{
    std::string result(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
           reinterpret_cast<unsigned char *>(result.data()));
    return result;
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    result.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        result += digits[value >> 4];
        result += digits[value & 15];
    }
    return result;
}

std::string randomKey()
{
    std::array<unsigned char, 32> bytes{};
    // A key from a failed generator could be guessed, so the process ends instead of issuing it.
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        std::abort();
    }
    return toHex({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace banyanledge
