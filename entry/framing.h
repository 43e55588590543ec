// HTTP message framing for client connections: validation before a request is parsed, and header filtering.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/messagelines.h"

namespace banyanledge
{

struct Header
{
    std::string name;
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

// Largest request head in bytes.
constexpr std::size_t maxHeadBytes = 65536;

// Headers of the system's own protocol.
constexpr const char *keyHeader = "Banyanledge-Key";
constexpr const char *customerHeader = "Banyanledge-Customer";
constexpr const char *deadlineHeader = "Banyanledge-Deadline-Ms";
constexpr const char *requestIdHeader = "Banyanledge-Request-Id";
constexpr const char *outcomeHeader = "Banyanledge-Outcome";
constexpr const char *serverHeader = "Banyanledge-Server";
constexpr const char *shedHeader = "Banyanledge-Shed";
constexpr const char *stateHeader = "Banyanledge-State";

// First header with this name, compared without regard to case; nullptr when absent.
const Header *findHeader(const Headers &headers, std::string_view name);

// Number of headers with this name, compared without regard to case.
std::size_t countHeaders(const Headers &headers, std::string_view name);

// Headers of a client request to forward to a backend server: without hop-by-hop headers, those that Connection
// lists, framing, Host, Expect and the system's own ones except the request id.
Headers headersForServer(const Headers &headers);

// Headers of a server's response to forward to the client: without hop-by-hop headers, framing and the system's own
// ones.
Headers headersForClient(const Headers &headers);

// Why a message is rejected before the request path receives it.
enum class FramingError {
    Malformed,
    AmbiguousLength,
    HeadTooLarge,
    BodyTooLarge,
    Version,
    Upgrade,
};

struct FramingErrorResponse
{
    int status = 400;
    std::string message;
    std::string remedy;
};

FramingErrorResponse framingErrorResponse(FramingError framingError);

// Target of the request that replaces a rejected message, and its inverse, which returns nullopt for other targets.
std::string framingErrorTarget(FramingError framingError);
std::optional<FramingError> framingErrorFromTarget(std::string_view target);

// Buffers the bytes of a connection until a whole message has passed the framing checks. An invalid message is
// replaced by a small request for framingErrorTarget(), so that its refusal is sent in order after earlier responses;
// everything after it is discarded.
class MessageValidator
{
public:
    explicit MessageValidator(std::uint64_t maxBodyBytes);
    ~MessageValidator();
    MessageValidator(const MessageValidator &) = delete;
    MessageValidator &operator=(const MessageValidator &) = delete;

    void feed(std::string_view bytes);

    // Bytes of validated messages that were not taken yet.
    std::size_t availableBytes() const;
    std::size_t take(char *to, std::size_t maxBytes);

    // Whether "100 Continue" has to be sent now: the head of the first message passed the checks, expects it, and none
    // of the body has arrived. True once. Later messages get none, because an earlier response may still be in
    // progress.
    bool takeContinue();

    // Whether a message failed the checks; everything after it is discarded.
    bool refused() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
