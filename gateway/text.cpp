#include "gateway/text.h"

#include <charconv>

namespace banyanledge
{

std::string headerValue(const HttpHeaders &headers, const std::string &name)
{
    const std::string *value = findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

std::optional<unsigned> parseUnsigned(std::string_view text)
{
    unsigned value = 0;
    const auto [parseEnd, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && parseEnd == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

} // namespace banyanledge
