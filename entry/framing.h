// Message framing on the callers' side: what is refused before a request is read as one, and which headers pass.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

// Whether two header names are equal without regard to case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

// First header of the name, or nullptr.
const Header *findHeader(const Headers &headers, std::string_view name);

// Number of headers of the name.
std::size_t countHeaders(const Headers &headers, std::string_view name);

// Headers of a caller's request that a backend server may see: without hop-by-hop headers, those that Connection
// lists, framing, Host, Expect and the system's own ones except the request id.
Headers headersForServer(const Headers &headers);

// Headers of a server's answer that the caller may see: without hop-by-hop headers, framing and the system's own ones.
Headers headersForClient(const Headers &headers);

// Why a message is refused before the request path sees it.
enum class FramingError {
    Malformed,
    Length,
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

FramingErrorResponse framingErrorResponse(FramingError fault);

// Target of the request that stands in for a refused message, and back; nullopt for any other target.
std::string framingErrorTarget(FramingError fault);
std::optional<FramingError> framingErrorFromTarget(std::string_view target);

// Holds back the bytes of a connection until a whole message has passed the framing checks. A faulty message is
// replaced by a small request for framingErrorTarget(), so that its refusal is sent in order after earlier answers;
// everything after it is discarded.
class MessageValidator
{
public:
    explicit MessageValidator(std::uint64_t maxBodyBytes);
    ~MessageValidator();
    MessageValidator(const MessageValidator &) = delete;
    MessageValidator &operator=(const MessageValidator &) = delete;

    void feed(std::string_view bytes);

    // Bytes of checked messages that were not taken yet.
    std::size_t availableBytes() const;
    std::size_t take(char *to, std::size_t maxBytes);

    // Whether "100 Continue" has to be sent now: the head of the first message passed the checks, expects it, and none
    // of the body has arrived. True once. Later messages get none, because an earlier answer may still be in progress.
    bool takeContinue();

    // Whether a message was refused.
    bool refused() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
