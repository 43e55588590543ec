// What a backend server says of itself in the head of a response. Does no I/O and decides nothing.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "gateway/headernames.h"
#include "net/http.h"

namespace banyanledge
{

// The statements of one response.
struct ServerNotice
{
    std::optional<double> limitPerSecond; // requests that the server takes from all hosts together
    bool leaving = false; // the server takes no further requests
    std::optional<Duration> pause; // the server wants no requests from this host for so long
    std::vector<std::string> unreadable; // names of headers whose values are not valid; they state nothing

    bool operator==(const ServerNotice &) const = default;
};

// Reads the statements of a response. A header that is repeated with another value is not valid.
ServerNotice parseNotice(const HttpHead &head, const HeaderNames &names);

} // namespace banyanledge
