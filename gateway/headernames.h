// Names on the wire between callers, gateway and backend servers; a deployment fills them in.
#pragma once

#include <string>

namespace banyanledge
{

struct HeaderNames
{
    std::string requestId; // header: one caller attempt, echoed in its answer
    std::string timeLeftMs; // header: how long the caller or the gateway still waits, in ms
    std::string affinityKey; // header: what the request is about, for affinity
    std::string responseSignature; // header: the server's proof that the answer is its own
    std::string customer; // header: name of the key's customer, set by the gateway only
    std::string expectedServer; // header: id of the only server that may run the request
    std::string backendLoad; // header of answers: running, waiting, slots
    std::string notExecuted; // header of answers: the server did not run the request
    std::string authScheme; // scheme of the Authorization header that carries a key
};

} // namespace banyanledge
