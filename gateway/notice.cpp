#include "gateway/notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace banyanledge
{

namespace
{

// Longer pauses are cut to this, so that a faulty value does not take a server away for good.
constexpr double maxPauseSeconds = 3600;

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
        if (equalsIgnoreCase(headerName, name)) {
            result.ambiguous = result.ambiguous || (result.value && *result.value != value);
            result.value = value;
        }
    }
    return result;
}

// A decimal number from 0 on; nullopt for anything else.
std::optional<double> parseNumber(const std::string &text)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [parseEnd, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool valid = error == std::errc() && parseEnd == end && std::isfinite(value) && value >= 0;
    return valid ? std::optional(value) : std::nullopt;
}

// Number in a header; nullopt when the header is missing or not valid, which `notice` records.
std::optional<double> readNumber(const HttpHeaders &headers, const std::string &name, ServerNotice &notice)
{
    const HeaderText text = soleHeader(headers, name);
    const std::optional<double> number = text.value && !text.ambiguous ? parseNumber(*text.value) : std::nullopt;
    if (text.value && !number) {
        notice.unreadable.push_back(name);
    }
    return number;
}

bool readLeaving(const HttpHeaders &headers, const std::string &name, ServerNotice &notice)
{
    const HeaderText text = soleHeader(headers, name);
    const bool valid = !text.value || (!text.ambiguous && (*text.value == "0" || *text.value == "1"));
    if (!valid) {
        notice.unreadable.push_back(name);
    }
    return valid && text.value == "1";
}

} // namespace

ServerNotice parseNotice(const HttpHead &head, const HeaderNames &names)
{
    ServerNotice notice;
    notice.limitPerSecond = readNumber(head.headers, names.serverLimit, notice);
    notice.leaving = readLeaving(head.headers, names.serverLeaving, notice);
    if (head.status == 503) {
        if (const auto pauseSeconds = readNumber(head.headers, "Retry-After", notice)) {
            const std::chrono::duration<double> pause(std::min(*pauseSeconds, maxPauseSeconds));
            notice.pause = std::chrono::duration_cast<Duration>(pause);
        }
    }
    return notice;
}

} // namespace banyanledge
