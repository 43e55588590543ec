// Names of the HTTP headers that clients, gateway and backend servers exchange; each platform defines its own.
#pragma once

#include <string>

namespace banyanledge
{

// Request headers unless a field says otherwise.
struct HeaderNames
{
    std::string requestId; // id of one attempt of the client, repeated in the response
    std::string timeLeftMs; // milliseconds that the client or the gateway still waits
    std::string affinityKey; // requests with the same key prefer the same server
    std::string responseSignature; // response header: proves that the response comes from the server
    std::string customer; // name of the customer that owns the key, set by the gateway only
    std::string expectedServer; // id of the only server that may execute the request
    std::string backendLoad; // response header: the server's running requests, waiting requests and slots
    std::string notExecuted; // response header: the server did not execute the request
    std::string serverLimit; // response header: requests a second that the server takes from all hosts together
    std::string serverLeaving; // response header: 1 when the server takes no further requests
    std::string warmupLeftMs; // header of health answers: milliseconds for which the server stays cold; missing: warm
    std::string authScheme; // scheme of the Authorization header that carries the API key
};

} // namespace banyanledge
