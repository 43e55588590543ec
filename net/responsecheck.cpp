#include "net/responsecheck.h"

#include "base/error.h"

namespace banyanledge
{

ResponseCheck::ResponseCheck(std::size_t maxBodyBytes)
    : m_maxBodyBytes(maxBodyBytes)
{
}

std::size_t ResponseCheck::readLine(char *data, std::size_t size, std::size_t count, void *check)
{
    auto &self = *static_cast<ResponseCheck *>(check);
    const std::string_view line(data, size * count);
    if (self.m_lines.read(line)) {
        return line.size();
    }
    self.fail();
    return 0;
}

std::size_t ResponseCheck::readBody(char *data, std::size_t size, std::size_t count, void *check)
{
    auto &self = *static_cast<ResponseCheck *>(check);
    const std::string_view bytes(data, size * count);
    if (!self.m_decoder.read(self.m_lines, bytes, self.m_body)) {
        self.fail();
        return 0;
    }
    return self.m_body.size() > self.m_maxBodyBytes ? 0 : bytes.size();
}

void ResponseCheck::fail()
{
    m_error = "invalid HTTP response: " + lastError().message;
}

bool ResponseCheck::complete() const
{
    return m_decoder.complete();
}

const std::string &ResponseCheck::body() const
{
    return m_body;
}

std::string ResponseCheck::error() const
{
    return m_error.empty() && !complete() ? "the response is incomplete" : m_error;
}

} // namespace banyanledge
