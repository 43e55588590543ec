#include "entry/framing.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>

namespace banyanledge
{

namespace
{

// Hop-by-hop headers, and Content-Length and Expect, which each connection sets for itself.
constexpr std::array<const char *, 11> neverForwardedHeaders{
    "Connection",        "Keep-Alive", "Proxy-Connection",    "Proxy-Authenticate", "TE",    "Trailer",
    "Transfer-Encoding", "Upgrade",    "Proxy-Authorization", "Content-Length",     "Expect"};

constexpr std::string_view systemHeaderPrefix = "banyanledge-";

// Lower case with "_" as "-": some servers fold both into one variable, so both spellings count as the same name.
std::string foldedName(std::string_view name)
{
    std::string folded(name);
    for (char &letter : folded) {
        letter = letter == '_' ? '-' : static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return folded;
}

std::vector<std::string> connectionOptionsOf(const Headers &headers)
{
    std::vector<std::string> connectionOptions;
    for (const auto &header : headers) {
        if (!equalsIgnoreCase(header.name, "Connection")) {
            continue;
        }
        std::string name;
        for (const char letter : header.value + ",") {
            if (letter == ',') {
                connectionOptions.push_back(foldedName(name));
                name.clear();
            } else if (letter != ' ' && letter != '\t') {
                name += letter;
            }
        }
    }
    return connectionOptions;
}

// Whether a header concerns one connection only or belongs to the system's protocol. `connectionOptions` are the folded
// names that the Connection header lists.
bool isConnectionOrSystemHeader(const Header &header, const std::vector<std::string> &connectionOptions)
{
    const std::string folded = foldedName(header.name);
    return std::any_of(neverForwardedHeaders.begin(), neverForwardedHeaders.end(),
                       [&](const char *name) { return equalsIgnoreCase(folded, name); })
        || std::find(connectionOptions.begin(), connectionOptions.end(), folded) != connectionOptions.end()
        || folded.starts_with(systemHeaderPrefix);
}

bool isControl(char letter)
{
    const auto code = static_cast<unsigned char>(letter);
    return code < 0x20 || code == 0x7f;
}

constexpr std::array<std::pair<FramingError, const char *>, 6> errorTargets{{
    {FramingError::Malformed, "/refused/malformed"},
    {FramingError::AmbiguousLength, "/refused/length"},
    {FramingError::HeadTooLarge, "/refused/head-too-large"},
    {FramingError::BodyTooLarge, "/refused/body-too-large"},
    {FramingError::Version, "/refused/version"},
    {FramingError::Upgrade, "/refused/upgrade"},
}};

} // namespace

const Header *findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const Header &header) { return equalsIgnoreCase(header.name, name); });
    return found == headers.end() ? nullptr : &*found;
}

std::size_t countHeaders(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(
        headers.begin(), headers.end(), [&](const Header &header) { return equalsIgnoreCase(header.name, name); }));
}

Headers headersForServer(const Headers &headers)
{
    const auto connectionOptions = connectionOptionsOf(headers);
    Headers kept;
    for (const auto &header : headers) {
        const bool requestId = equalsIgnoreCase(header.name, requestIdHeader);
        if (requestId
            || (!isConnectionOrSystemHeader(header, connectionOptions) && !equalsIgnoreCase(header.name, "Host"))) {
            kept.push_back(header);
        }
    }
    return kept;
}

Headers headersForClient(const Headers &headers)
{
    const auto connectionOptions = connectionOptionsOf(headers);
    Headers kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [&](const Header &header) { return !isConnectionOrSystemHeader(header, connectionOptions); });
    return kept;
}

FramingErrorResponse framingErrorResponse(FramingError framingError)
{
    switch (framingError) {
    case FramingError::Malformed:
        return {400, "the request line or a header is malformed", "send a request as RFC 9112 defines it"};
    case FramingError::AmbiguousLength:
        return {400, "the length of the body is ambiguous",
                "send either one Content-Length or Transfer-Encoding: chunked, and no other encoding"};
    case FramingError::HeadTooLarge:
        return {400, "the request head exceeds 64 KiB", "send fewer or shorter headers"};
    case FramingError::BodyTooLarge:
        return {413, "the request body exceeds the limit of this host", "send a smaller body"};
    case FramingError::Version:
        return {505, "the protocol version is not HTTP/1.1", "use HTTP/1.1"};
    case FramingError::Upgrade:
        return {400, "this host does not support Upgrade or CONNECT", "send the request without Upgrade and CONNECT"};
    }
    return {};
}

std::string framingErrorTarget(FramingError framingError)
{
    const auto found = std::find_if(errorTargets.begin(), errorTargets.end(),
                                    [&](const auto &entry) { return entry.first == framingError; });
    return found->second;
}

std::optional<FramingError> framingErrorFromTarget(std::string_view target)
{
    const auto found = std::find_if(errorTargets.begin(), errorTargets.end(),
                                    [&](const auto &entry) { return target == entry.second; });
    return found == errorTargets.end() ? std::nullopt : std::optional(found->first);
}

class MessageValidator::Private
{
public:
    explicit Private(std::uint64_t maxBodyBytes)
        : maxBodyBytes(maxBodyBytes)
    {
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser *p, const char *at, std::size_t length) {
            return self(p).onUrl({at, length});
        };
        settings.on_header_field = [](http_parser *p, const char *at, std::size_t length) {
            return self(p).onName({at, length});
        };
        settings.on_header_value = [](http_parser *p, const char *at, std::size_t length) {
            return self(p).onValue({at, length});
        };
        settings.on_headers_complete = [](http_parser *p) { return self(p).onHeadersComplete(); };
        settings.on_body = [](http_parser *p, const char *, std::size_t length) { return self(p).onBody(length); };
        settings.on_message_complete = [](http_parser *p) { return self(p).onMessageComplete(); };
        startMessage();
    }

    static Private &self(http_parser *p)
    {
        return *static_cast<Private *>(p->data);
    }

    void startMessage()
    {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
        complete = inValue = false;
        name.clear();
        value.clear();
        url.clear();
        contentLengthCount = transferEncodingCount = 0;
        headBytes = 0;
        bodyBytes = 0;
    }

    // Records the first error and returns -1. Parser callbacks return -1 to stop the parser and 0 to continue.
    int refuse(FramingError reason)
    {
        if (!framingError) {
            framingError = reason;
        }
        return -1;
    }

    // Adds to the size of target, header and trailer names and values; refuses a message over the limit. Raw
    // input is not counted, so that the result does not depend on how the bytes arrive.
    int addHeadBytes(std::size_t bytes)
    {
        headBytes += bytes;
        return headBytes > maxHeadBytes ? refuse(FramingError::HeadTooLarge) : 0;
    }

    int onUrl(std::string_view part)
    {
        url += part;
        if (addHeadBytes(part.size()) != 0) {
            return -1;
        }
        const bool bad =
            std::any_of(part.begin(), part.end(), [](char letter) { return isControl(letter) || letter == ' '; });
        return bad || url.front() != '/' ? refuse(FramingError::Malformed) : 0;
    }

    int onName(std::string_view part)
    {
        if (inValue && endHeader() != 0) {
            return -1;
        }
        inValue = false;
        name += part;
        return addHeadBytes(part.size());
    }

    int onValue(std::string_view part)
    {
        inValue = true;
        value += part;
        return addHeadBytes(part.size());
    }

    int endHeader()
    {
        if (!isToken(name) || !isFieldText(value)) {
            return refuse(FramingError::Malformed);
        }
        if (equalsIgnoreCase(name, "Content-Length")) {
            ++contentLengthCount;
        } else if (equalsIgnoreCase(name, "Expect")) {
            expectsContinue = equalsIgnoreCase(value, "100-continue");
        } else if (equalsIgnoreCase(name, "Transfer-Encoding")) {
            ++transferEncodingCount;
            if (!equalsIgnoreCase(value, "chunked")) {
                return refuse(FramingError::AmbiguousLength);
            }
        }
        name.clear();
        value.clear();
        return 0;
    }

    int onHeadersComplete()
    {
        if (inValue && endHeader() != 0) {
            return -1;
        }
        inValue = false;
        if (contentLengthCount + transferEncodingCount > 1) {
            return refuse(FramingError::AmbiguousLength);
        }
        if (parser.http_major != 1 || parser.http_minor != 1) {
            return refuse(FramingError::Version);
        }
        if (parser.upgrade != 0) {
            return refuse(FramingError::Upgrade);
        }
        if (contentLengthCount > 0 && parser.content_length > maxBodyBytes) {
            return refuse(FramingError::BodyTooLarge);
        }
        headValid = true;
        return 0;
    }

    int onBody(std::size_t length)
    {
        bodyBytes += length;
        return bodyBytes > maxBodyBytes ? refuse(FramingError::BodyTooLarge) : 0;
    }

    int onMessageComplete()
    {
        complete = true;
        http_parser_pause(&parser, 1);
        return 0;
    }

    FramingError errorOfParser() const
    {
        switch (HTTP_PARSER_ERRNO(&parser)) {
        case HPE_HEADER_OVERFLOW:
            return FramingError::HeadTooLarge;
        case HPE_UNEXPECTED_CONTENT_LENGTH:
        case HPE_INVALID_CONTENT_LENGTH:
        case HPE_INVALID_TRANSFER_ENCODING:
            return FramingError::AmbiguousLength;
        case HPE_INVALID_VERSION:
            return FramingError::Version;
        default:
            return FramingError::Malformed;
        }
    }

    // Parses one part; returns the number of bytes that belong to the current message.
    std::size_t parse(std::string_view bytes)
    {
        const std::size_t parsed = http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
        const auto error = HTTP_PARSER_ERRNO(&parser);
        if (!framingError && error != HPE_OK && error != HPE_PAUSED) {
            framingError = errorOfParser();
        }
        return parsed;
    }

    void feed(std::string_view bytes)
    {
        while (!bytes.empty() && !framingError) {
            const std::size_t parsed = parse(bytes);
            if (framingError) {
                partial.clear();
                validated += "GET " + framingErrorTarget(*framingError)
                    + " HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n";
                return;
            }
            partial += bytes.substr(0, parsed);
            bytes.remove_prefix(parsed);
            if (complete) {
                firstMessage = false;
                validated += partial;
                partial.clear();
                startMessage();
            }
        }
    }

    const std::uint64_t maxBodyBytes;
    http_parser parser{};
    http_parser_settings settings{};
    bool complete = false;
    bool inValue = false;
    bool headValid = false;
    bool expectsContinue = false;
    bool firstMessage = true;
    std::string name;
    std::string value;
    std::string url;
    unsigned contentLengthCount = 0;
    unsigned transferEncodingCount = 0;
    std::size_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::string partial; // bytes of the message that is not complete yet
    std::string validated; // complete messages, of which the first `takenBytes` were taken
    std::size_t takenBytes = 0;
    std::optional<FramingError> framingError;
};

MessageValidator::MessageValidator(std::uint64_t maxBodyBytes)
    : d(std::make_unique<Private>(maxBodyBytes))
{
}

MessageValidator::~MessageValidator() = default;

void MessageValidator::feed(std::string_view bytes)
{
    d->feed(bytes);
}

std::size_t MessageValidator::availableBytes() const
{
    return d->validated.size() - d->takenBytes;
}

std::size_t MessageValidator::take(char *to, std::size_t maxBytes)
{
    const std::size_t count = std::min(maxBytes, availableBytes());
    std::memcpy(to, d->validated.data() + d->takenBytes, count);
    d->takenBytes += count;
    if (availableBytes() == 0) {
        d->validated.clear();
        d->takenBytes = 0;
    }
    return count;
}

bool MessageValidator::takeContinue()
{
    const bool due = d->firstMessage && d->headValid && d->expectsContinue && d->bodyBytes == 0 && !d->framingError;
    if (due) {
        d->expectsContinue = false;
    }
    return due;
}

bool MessageValidator::refused() const
{
    return d->framingError.has_value();
}

} // namespace banyanledge
