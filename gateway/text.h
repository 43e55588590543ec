// Small conversions between header text and values.
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

// nullopt unless the whole text is a number.
std::optional<unsigned> parseUnsigned(std::string_view text);

std::string millisecondsText(Duration duration);

} // namespace banyanledge
