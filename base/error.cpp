#include "base/error.h"

#include <algorithm>

namespace banyanledge
{

namespace
{
thread_local Error threadError;
}

std::nullopt_t fail(proto::ErrorKind kind, const std::string &message)
{
    threadError = Error{kind, message};
    return std::nullopt;
}

const Error &lastError()
{
    return threadError;
}

std::string kindName(proto::ErrorKind kind)
{
    constexpr std::size_t prefixLength = 6; // "ERROR_"
    std::string name = proto::ErrorKind_Name(kind).substr(prefixLength);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace banyanledge
