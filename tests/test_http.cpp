// Tests the HTTP parser and its helper functions.
#include <catch2/catch.hpp>

#include "net/http.h"
#include "response_cases.h"

using namespace banyanledge;

namespace
{

// Feeds the text in pieces of `step` bytes; returns how many bytes the message took.
std::size_t feedAll(HttpParser &parser, const std::string &text, std::size_t step)
{
    std::size_t used = 0;
    while (used < text.size() && !parser.complete() && !parser.failed()) {
        const std::size_t taken = parser.feed(std::string_view(text).substr(used, step));
        if (taken == 0) {
            break;
        }
        used += taken;
    }
    return used;
}

// Reads a final response and the interim ones before it. Sets `used` to the number of bytes that they took.
HttpParser parseResponse(const std::string &text, std::size_t step, std::size_t &used)
{
    HttpParser parser(HttpParser::Kind::Response);
    used = feedAll(parser, text, step);
    while (parser.complete() && parser.head().status / 100 == 1) {
        parser.reset();
        used += feedAll(parser, text.substr(used), step);
    }
    return parser;
}

} // namespace

// Guards against a parser that consumes bytes of the next message, which would mix two requests.
TEST_CASE("bytes after a message stay with the caller")
{
    const std::string first = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab\n";
    const std::string next = "GET /next HTTP/1.1\r\n\r\n";
    for (const std::size_t step : {std::size_t(1), std::size_t(7), std::size_t(1000)}) {
        HttpParser parser(HttpParser::Kind::Request);
        REQUIRE(feedAll(parser, first + next, step) == first.size());
        REQUIRE(parser.complete());
        CHECK(parser.head().method == "POST");
        CHECK(parser.head().target == "/a/b?c=1");
        CHECK(parser.head().contentLength == 3);
        CHECK(parser.takeBody() == "ab\n");
        parser.reset();
        CHECK(feedAll(parser, next, step) == next.size());
        CHECK(parser.head().target == "/next");
        CHECK(parser.head().headers.empty());
    }
}

TEST_CASE("chunked bodies end with the last chunk")
{
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (const std::size_t step : {std::size_t(1), std::size_t(1000)}) {
        HttpParser parser(HttpParser::Kind::Response);
        CHECK(feedAll(parser, text + "HTTP/1.1 500", step) == text.size());
        CHECK(parser.complete());
        CHECK(parser.takeBody() == "abcde");
    }
}

// Guards against a truncated response that counts as complete and reaches the client as a success.
TEST_CASE("only a body without a length ends with the connection")
{
    HttpParser truncated(HttpParser::Kind::Response);
    truncated.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    truncated.finish();
    CHECK_FALSE(truncated.complete());
    HttpParser withoutLength(HttpParser::Kind::Response);
    withoutLength.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(withoutLength.head().bodyUntilClose);
    CHECK_FALSE(withoutLength.complete());
    withoutLength.finish();
    CHECK(withoutLength.complete());
    CHECK(withoutLength.takeBody() == "abc");
}

// Guards against a check whose result depends on how the bytes arrive.
TEST_CASE("unusual responses are read whole, broken ones are refused")
{
    const auto step = GENERATE(std::size_t(1), std::size_t(7), std::size_t(1000));
    for (const ResponseCase &sound : soundResponses()) {
        CAPTURE(step, sound.name);
        std::size_t used = 0;
        HttpParser parser = parseResponse(sound.bytes, step, used);
        CHECK(used == sound.bytes.size());
        CHECK(parser.complete());
        CHECK_FALSE(parser.failed());
        CHECK(parser.head().status == sound.status);
        CHECK(parser.takeBody() == sound.body);
    }
    for (const auto &cases : {brokenHeads(), brokenBodies(), brokenChunkExtensions()}) {
        for (const ResponseCase &broken : cases) {
            CAPTURE(step, broken.name);
            std::size_t used = 0;
            const HttpParser parser = parseResponse(broken.bytes, step, used);
            CHECK(parser.failed());
            CHECK_FALSE(parser.errorMessage().empty());
        }
    }
}

// Guards against a response that is refused although another reading of it is allowed.
TEST_CASE("empty lines before a response are skipped, and a header on two lines is joined")
{
    const std::string text = "\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n";
    for (const std::size_t step : {std::size_t(1), std::size_t(1000)}) {
        HttpParser parser(HttpParser::Kind::Response);
        CHECK(feedAll(parser, text, step) == text.size());
        CHECK(parser.complete());
        CHECK(parser.head().headers == HttpHeaders{{"X", "a b"}, {"Content-Length", "0"}});
    }
}

// Guards against a connection that is used again after its server said that it closes it.
TEST_CASE("tabs around a connection option do not hide it")
{
    const std::string option = GENERATE("close", "\tclose", "close\t", "close\t ", "x,\tclose\t, y");
    const auto step = GENERATE(std::size_t(1), std::size_t(1000));
    CAPTURE(option, step);
    HttpParser parser(HttpParser::Kind::Response);
    feedAll(parser, "HTTP/1.1 200 OK\r\nConnection: " + option + "\r\nContent-Length: 0\r\n\r\n", step);
    CHECK(parser.complete());
    CHECK_FALSE(parser.head().keepAlive);
}

// Guards against a peer that fills the memory with a line that never ends.
TEST_CASE("a line of chunks or trailers without an end is refused")
{
    const std::string start = GENERATE("4;x=", "0\r\nX: ", "4\r\nbody\r\n0;");
    const auto step = GENERATE(std::size_t(7), std::size_t(100000));
    CAPTURE(start, step);
    HttpParser parser(HttpParser::Kind::Response);
    feedAll(parser, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start + std::string(70000, 'a'), step);
    CHECK(parser.failed());
}

// Guards against request smuggling by a coding that a proxy before this one may read in another way.
TEST_CASE("empty list elements beside the coding of a request are refused")
{
    const std::string coding = GENERATE("chunked,", ",chunked", ", chunked", "chunked ,");
    CAPTURE(coding);
    HttpParser parser(HttpParser::Kind::Request);
    feedAll(parser, "POST / HTTP/1.1\r\nTransfer-Encoding: " + coding + "\r\n\r\n0\r\n\r\n", 1000);
    CHECK(parser.failed());
}

// Guards against request smuggling by a message with two lengths.
TEST_CASE("ambiguous lengths and other protocols are refused")
{
    for (const char *text :
         {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", "\x16\x03\x01 nonsense\r\n\r\n"}) {
        HttpParser parser(HttpParser::Kind::Request);
        feedAll(parser, text, 1000);
        CHECK(parser.failed());
        CHECK_FALSE(parser.errorMessage().empty());
    }
}

TEST_CASE("headers of one connection are not passed on")
{
    const HttpHeaders kept = endToEndHeaders({{"Host", "h"},
                                              {"connection", "close, X-Private"},
                                              {"x-private", "1"},
                                              {"Transfer-Encoding", "chunked"},
                                              {"Content-Length", "3"},
                                              {"X-Other", "2"}});
    CHECK(kept == HttpHeaders{{"Host", "h"}, {"X-Other", "2"}});
}

TEST_CASE("query parameters are decoded")
{
    CHECK(queryParameter("/p?Name=a%2Fb&Region=north+east&x", "Name") == "a/b");
    CHECK(queryParameter("/p?Name=a&Region=north+east&x", "Region") == "north east");
    CHECK(queryParameter("/p?x", "x") == "");
    CHECK_FALSE(queryParameter("/p", "x"));
    CHECK(targetPath("/p/q?x=1") == "/p/q");
}

// Guards against a request with a long body that is refused, because its body was counted as a part of its head.
TEST_CASE("the size of a head does not include the body that arrives with it")
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n";
    const std::string body(50000, 'b');
    HttpParser whole(HttpParser::Kind::Request);
    CHECK(whole.feed(head + body) == head.size() + body.size());
    CHECK(whole.complete());
    CHECK(whole.headBytes() == head.size());
    HttpParser inParts(HttpParser::Kind::Request);
    inParts.feed(head.substr(0, 20));
    CHECK(inParts.headBytes() == 20);
    inParts.feed(head.substr(20) + body.substr(0, 100));
    inParts.feed(body.substr(100));
    CHECK(inParts.complete());
    CHECK(inParts.headBytes() == head.size());
}
