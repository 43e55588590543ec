// Identifies a request that is sent again under another request id, at any host.
#pragma once

#include <string>
#include <string_view>

namespace banyanledge
{

// What two requests have in common if one repeats the other.
struct RequestContent
{
    std::string_view method;
    std::string_view host; // of the Host header, as normalizedHostName() returns it
    std::string_view target; // with its query
    std::string_view customer; // empty without one
    std::string_view body;
};

// 48 hexadecimal digits, equal for equal contents. A customer can't make a request that has the fingerprint of another
// customer's request.
std::string fingerprintOf(const RequestContent &content);

// The first 16 digits of the fingerprints of all requests with this target. They tell most requests apart without the
// cost of reading their bodies.
std::string fingerprintPrefix(std::string_view target);

// The prefix of a fingerprint.
std::string_view prefixOf(std::string_view fingerprint);

} // namespace banyanledge
