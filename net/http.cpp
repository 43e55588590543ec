#include "net/http.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>

#include "base/error.h"
#include "net/framingcheck.h"

namespace banyanledge
{

namespace
{

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

// Calls `visit` with each element of a comma-separated list.
template<typename Visit>
void forEachElement(std::string_view list, Visit visit)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        visit(trimmed(list.substr(0, comma)));
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lowered = lower(c);
    return lowered >= 'a' && lowered <= 'f' ? lowered - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const int high = text[i] == '%' && i + 2 < text.size() ? hexValue(text[i + 1]) : -1;
        const int low = high >= 0 ? hexValue(text[i + 2]) : -1;
        if (low >= 0) {
            result += static_cast<char>(high * 16 + low);
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

} // namespace

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoreCase(key, name)) {
            return &value;
        }
    }
    return nullptr;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    // Hop-by-hop headers, and Content-Length and Expect, which each connection sets for itself.
    static constexpr std::array<std::string_view, 11> neverForwardedHeaders{"Connection",
                                                                            "Keep-Alive",
                                                                            "Proxy-Authenticate",
                                                                            "Proxy-Authorization",
                                                                            "Proxy-Connection",
                                                                            "TE",
                                                                            "Trailer",
                                                                            "Upgrade",
                                                                            "Transfer-Encoding",
                                                                            "Content-Length",
                                                                            "Expect"};
    std::vector<std::string_view> connectionOptions;
    for (const auto &[name, value] : headers) {
        if (equalsIgnoreCase(name, "Connection")) {
            forEachElement(value,
                           [&connectionOptions](std::string_view element) { connectionOptions.push_back(element); });
        }
    }
    const auto dropped = [&connectionOptions](std::string_view name) {
        const auto same = [name](std::string_view other) { return equalsIgnoreCase(name, other); };
        return std::any_of(neverForwardedHeaders.begin(), neverForwardedHeaders.end(), same)
            || std::any_of(connectionOptions.begin(), connectionOptions.end(), same);
    };
    HttpHeaders kept;
    kept.reserve(headers.size());
    for (const auto &header : headers) {
        if (!dropped(header.first)) {
            kept.push_back(header);
        }
    }
    return kept;
}

std::size_t memoryBytes(const HttpHeaders &headers)
{
    std::size_t bytes = headers.capacity() * sizeof(HttpHeaders::value_type);
    for (const auto &[name, value] : headers) {
        bytes += name.capacity() + value.capacity();
    }
    return bytes;
}

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find_first_of("?#"));
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const auto questionMark = target.find('?');
    std::string_view query =
        questionMark == std::string_view::npos ? std::string_view() : target.substr(questionMark + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto part = query.substr(0, end);
        const auto equals = part.find('=');
        if (percentDecoded(part.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecoded(part.substr(equals + 1));
        }
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
    }
    return std::nullopt;
}

const char *reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

struct HttpParser::Private
{
    explicit Private(Kind kind)
        : kind(kind)
        , framing(kind)
    {
        http_parser_init(&parser, kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
    }

    std::size_t readPart(std::string_view bytes);
    std::size_t execute(std::string_view bytes);

    void fail(const std::string &reason)
    {
        if (!failed) { // the library reports the failure of a callback once more
            error = reason;
        }
        failed = true;
    }

    Kind kind;
    http_parser parser{};
    FramingCheck framing;
    HttpHead head;
    std::string body;
    bool headComplete = false;
    bool complete = false;
    bool failed = false;
    std::string error; // reason when `failed` is set
    bool noBody = false; // the message ends with its head
    bool valueStarted = false; // the last header has received bytes of its value
    std::size_t headBytes = 0;

    static Private &of(http_parser *parser)
    {
        return *static_cast<Private *>(parser->data);
    }

    static int onUrl(http_parser *parser, const char *data, std::size_t size)
    {
        of(parser).head.target.append(data, size);
        return 0;
    }

    static int onField(http_parser *parser, const char *data, std::size_t size)
    {
        auto &self = of(parser);
        if (self.headComplete) {
            return 0; // trailers are ignored
        }
        if (self.valueStarted || self.head.headers.empty()) {
            self.head.headers.emplace_back();
            self.valueStarted = false;
        }
        self.head.headers.back().first.append(data, size);
        return 0;
    }

    static int onValue(http_parser *parser, const char *data, std::size_t size)
    {
        auto &self = of(parser);
        if (!self.headComplete) {
            self.valueStarted = true;
            self.head.headers.back().second.append(data, size);
        }
        return 0;
    }

    static int onHead(http_parser *parser)
    {
        auto &self = of(parser);
        HttpHead &head = self.head;
        head.chunked = (parser->flags & F_CHUNKED) != 0;
        if (head.chunked != self.framing.isChunked()) {
            self.fail("the transfer coding is ambiguous");
            return -1;
        }
        self.headComplete = true;
        head.keepAlive = http_should_keep_alive(parser) != 0;
        if ((parser->flags & F_CONTENTLENGTH) != 0) {
            head.contentLength = parser->content_length;
        }
        if (parser->type == HTTP_REQUEST) {
            head.method = http_method_str(static_cast<http_method>(parser->method));
        } else {
            head.status = static_cast<int>(parser->status_code);
            self.noBody = self.noBody || isBodylessStatus(head.status);
            head.bodyUntilClose = !self.noBody && (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
        }
        return self.noBody ? 1 : 0; // for 1 the library reads no body
    }

    static int onBody(http_parser *parser, const char *data, std::size_t size)
    {
        auto &self = of(parser);
        self.body.append(data, size);
        return 0;
    }

    // Pauses, so that feed() consumes no bytes after the message.
    static int onComplete(http_parser *parser)
    {
        of(parser).complete = true;
        http_parser_pause(parser, 1);
        return 0;
    }
};

// Reads bytes up to the end of a part of the message and returns how many. The library reads them only after they were
// checked, because it accepts more than the standard allows.
std::size_t HttpParser::Private::readPart(std::string_view bytes)
{
    const bool inHead = !headComplete;
    const auto checkedText = framing.take(bytes);
    if (!checkedText) {
        fail(lastError().message);
        return 0;
    }
    headBytes += inHead ? checkedText->size() : 0;
    return execute(*checkedText);
}

// Passes bytes to the library and returns how many belong to the message.
std::size_t HttpParser::Private::execute(std::string_view bytes)
{
    static const http_parser_settings settings = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = Private::onUrl;
        result.on_header_field = Private::onField;
        result.on_header_value = Private::onValue;
        result.on_headers_complete = Private::onHead;
        result.on_body = Private::onBody;
        result.on_message_complete = Private::onComplete;
        return result;
    }();
    const std::size_t used = http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&parser);
    if (code == HPE_PAUSED) {
        http_parser_pause(&parser, 0);
    } else if (code != HPE_OK) {
        fail(http_errno_description(code));
        return used;
    }
    if (headComplete != framing.headEnded()) {
        fail("the end of the head is ambiguous");
    }
    return used;
}

HttpParser::HttpParser(Kind kind)
    : d(std::make_unique<Private>(kind))
{
}

HttpParser::~HttpParser() = default;
HttpParser::HttpParser(HttpParser &&) noexcept = default;
HttpParser &HttpParser::operator=(HttpParser &&) noexcept = default;

std::size_t HttpParser::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && !d->complete && !d->failed) {
        used += d->readPart(bytes.substr(used));
    }
    return used;
}

void HttpParser::finish()
{
    if (d->headComplete && !d->complete && d->head.bodyUntilClose) {
        d->complete = true;
    }
}

void HttpParser::expectNoBody()
{
    d->noBody = true;
}

bool HttpParser::headComplete() const
{
    return d->headComplete;
}

bool HttpParser::complete() const
{
    return d->complete;
}

bool HttpParser::failed() const
{
    return d->failed;
}

std::string HttpParser::errorMessage() const
{
    return d->error;
}

std::size_t HttpParser::headBytes() const
{
    return d->headBytes;
}

std::size_t HttpParser::headMemoryBytes() const
{
    return memoryBytes(d->head.headers) + d->framing.memoryBytes();
}

const HttpHead &HttpParser::head() const
{
    return d->head;
}

std::string HttpParser::takeBody()
{
    return std::exchange(d->body, {});
}

void HttpParser::reset()
{
    d = std::make_unique<Private>(d->kind);
}

} // namespace banyanledge
