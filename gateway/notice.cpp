#include "gateway/notice.h"

#include <charconv>
#include <cmath>

namespace banyanledge
{

namespace
{

// Value of a header in a response.
struct HeaderText
{
    std::optional<std::string> value; // nullopt when the header is missing
    bool ambiguous = false; // the header is repeated with another value
};

HeaderText soleHeader(const HttpHeaders &headers, const std::string &name)
{
    HeaderText result;
    for (const auto &[headerName, value] : headers) {
        if (headerNamesEqual(headerName, name)) {
            result.ambiguous = result.ambiguous || (result.value && *result.value != value);
            result.value = value;
        }
    }
    return result;
}

// A decimal number from 0 on; nullopt for anything else.
std::optional<double> parseRate(const std::string &text)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [parseEnd, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool valid = error == std::errc() && parseEnd == end && std::isfinite(value) && value >= 0;
    return valid ? std::optional(value) : std::nullopt;
}

} // namespace

ServerNotice parseNotice(const HttpHeaders &headers, const HeaderNames &names)
{
    ServerNotice notice;
    const HeaderText limit = soleHeader(headers, names.serverLimit);
    if (limit.value) {
        notice.limitPerSecond = limit.ambiguous ? std::nullopt : parseRate(*limit.value);
        if (!notice.limitPerSecond) {
            notice.unreadable.push_back(names.serverLimit);
        }
    }
    return notice;
}

} // namespace banyanledge
