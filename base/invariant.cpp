#include "base/invariant.h"

#include <atomic>
#include <cstdlib>
#include <mutex>

#include "base/log.h"

namespace banyanledge
{

namespace
{
std::atomic<bool> fatalInvariants{false};
std::mutex countsMutex;
std::map<std::string, std::uint64_t> counts;
} // namespace

void reportBrokenInvariant(const char *name, const char *condition, const char *file, int line)
{
    {
        const std::lock_guard lock(countsMutex);
        ++counts[name];
    }
    logError("invariant broken",
             {{"name", name}, {"condition", condition}, {"file", file}, {"line", std::to_string(line)}});
    if (fatalInvariants) {
        stopLog(); // writes the queued lines, including the one above
        std::abort();
    }
}

void setInvariantsFatal(bool fatal)
{
    fatalInvariants = fatal;
}

std::map<std::string, std::uint64_t> brokenInvariants()
{
    const std::lock_guard lock(countsMutex);
    return counts;
}

} // namespace banyanledge
