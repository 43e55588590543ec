// Runtime checks of invariants, which are compiled into release builds too.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace banyanledge
{

// Counts a broken invariant under its name and logs it. Aborts the process if broken invariants are fatal.
void reportBrokenInvariant(const char *name, const char *condition, const char *file, int line);

// Whether a broken invariant aborts the process; off by default, on in tests.
void setInvariantsFatal(bool fatal);

// Number of times each invariant was broken since the start of the process.
std::map<std::string, std::uint64_t> brokenInvariants();

} // namespace banyanledge

// Reports the invariant `name`, a string literal, as broken if the condition is false. Continues after it unless broken
// invariants are fatal.
#define BL_INVARIANT(condition, name)                                                   \
    do {                                                                                \
        if (!(condition)) {                                                             \
            ::banyanledge::reportBrokenInvariant(name, #condition, __FILE__, __LINE__); \
        }                                                                               \
    } while (false)
