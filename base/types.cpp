#include "base/types.h"

#include <random>

namespace banyanledge
{

std::string customerResource(const std::string &customer)
{
    return "customer:" + customer;
}

std::string poolResource(const std::string &service, const std::string &region)
{
    return "pool:" + service + "/" + region;
}

std::string linkResource(const std::string &fromRegion, const std::string &toRegion)
{
    return "link:" + fromRegion + ">" + toRegion;
}

std::string shiftResource(const std::string &shift)
{
    return "shift:" + shift;
}

std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::uint64_t randomId()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace banyanledge
