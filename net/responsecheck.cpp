#include "net/responsecheck.h"

#include "base/error.h"

namespace banyanledge
{

std::size_t ResponseCheck::readLine(char *data, std::size_t size, std::size_t count, void *check)
{
    auto &self = *static_cast<ResponseCheck *>(check);
    const std::string_view line(data, size * count);
    if (self.m_lines.read(line)) {
        return line.size();
    }
    self.m_error = "invalid HTTP response: " + lastError().message;
    return 0;
}

const std::string &ResponseCheck::error() const
{
    return m_error;
}

} // namespace banyanledge
