// Responses of backend servers, sound and broken, with which the tests try each reader of responses.
#pragma once

#include <string>
#include <vector>

namespace banyanledge
{

// A response to the request with the id "a", signed as GatewayFixture expects it.
struct ResponseCase
{
    std::string name;
    std::string bytes; // as the server sends them
    int status = 0; // of a sound response
    std::string body; // of a sound response, without its framing
};

// Unusual responses that RFC 9112 allows. Each has a length or is chunked.
std::vector<ResponseCase> soundResponses();

// Responses whose head is broken. No part of them may reach a client.
std::vector<ResponseCase> brokenHeads();

// Responses with a sound head whose chunks or trailers are broken. They may not look complete to a client.
std::vector<ResponseCase> brokenBodies();

// The same for chunk extensions, which libcurl skips without a check.
std::vector<ResponseCase> brokenChunkExtensions();

} // namespace banyanledge
