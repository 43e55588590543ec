// Conversions between header values and numbers.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/types.h"
#include "net/http.h"

namespace banyanledge
{

// Value of a header, empty when it is missing.
std::string headerValue(const HttpHeaders &headers, const std::string &name);

// nullopt unless the whole text is a decimal number in the range of unsigned.
std::optional<unsigned> parseUnsigned(std::string_view text);

// Whole milliseconds, truncated.
std::string millisecondsText(Duration duration);

} // namespace banyanledge
