// Stable hash functions that distribute objects over servers and hosts. Every host computes the same values.
#pragma once

#include <cstdint>
#include <string_view>

namespace banyanledge
{

// 64-bit hash of a string.
std::uint64_t hashText(std::string_view text);

// Identifies a server in the reports of Sync calls.
inline std::uint32_t shortServerHash(std::string_view server)
{
    return static_cast<std::uint32_t>(hashText(server));
}

// Combines two hashes into one; the order of the arguments matters.
constexpr std::uint64_t mixHashes(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Maps a hash to the interval [0, 1).
constexpr double hashFraction(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

} // namespace banyanledge
