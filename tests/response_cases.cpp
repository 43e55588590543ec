#include "response_cases.h"

#include <string_view>

namespace banyanledge
{

namespace
{

using namespace std::string_literals;

// Header fields that make the response one to the request, see GatewayFixture.
const std::string identity = "Req-Id: a\r\nSigned: s\r\n";

const std::string chunkedFields = "Transfer-Encoding: chunked\r\n";

// A response with the body "body" whose status line and further fields may be broken.
std::string response(const std::string &statusLine, const std::string &fields = {})
{
    return statusLine + "\r\n" + identity + fields + "Content-Length: 4\r\n\r\nbody";
}

std::string withField(const std::string &line)
{
    return response("HTTP/1.1 200 OK", line + "\r\n");
}

// A response whose framing is all in `fields`.
std::string framed(const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + identity + fields + "\r\n" + body;
}

std::string chunked(const std::string &body)
{
    return framed(chunkedFields, body);
}

std::string withoutCarriageReturns(std::string text)
{
    std::erase(text, '\r');
    return text;
}

void addBrokenStatuses(std::vector<ResponseCase> &cases)
{
    for (const char *status : {"000", "001", "099", "600", "999", "0", "9", "20", "0200", "00200", "2000", "2x0", "-20",
                               "+20", "200OK", "20 0", ""}) {
        cases.push_back({"status '"s + status + "'", response("HTTP/1.1 "s + status + " X")});
    }
    const std::string next = identity + "\r\n" + response("HTTP/1.1 200 OK");
    cases.push_back({"four digits in an interim response", "HTTP/1.1 0100 X\r\n" + next});
    cases.push_back({"status 099 before the response", "HTTP/1.1 099 X\r\n" + next});
}

void addBrokenNames(std::vector<ResponseCase> &cases)
{
    for (const std::string &name : {"X Y"s, "X "s, "X\tY"s, "X\t"s,
                                    "X\0"
                                    "Y"s,
                                    "X\x01"
                                    "Y"s,
                                    "X\x7f"
                                    "Y"s,
                                    "X\x80"
                                    "Y"s,
                                    "X\xff"
                                    "Y"s,
                                    ""s, "HTTP/1.1 404 X"s}) {
        cases.push_back({"name '" + name + "'", withField(name + ": v")});
    }
    for (const char separator : "()<>@,;\\\"/[]?={}"s) {
        cases.push_back({"name with "s + separator, withField("X"s + separator + "Y: v")});
    }
    const std::string rest = identity + "Content-Length: 4\r\n\r\nbody";
    cases.push_back({"blank before the first name", "HTTP/1.1 200 OK\r\n X: v\r\n" + rest});
    cases.push_back({"tab before the first name", "HTTP/1.1 200 OK\r\n\tX: v\r\n" + rest});
    cases.push_back({"no colon", withField("X")});
    cases.push_back({"second status line", withField("HTTP/1.1 200 OK")});
    cases.push_back({"blank in a name of an interim response",
                     "HTTP/1.1 103 X\r\nX Y: z\r\n" + identity + "\r\n" + response("HTTP/1.1 200 OK")});
    cases.push_back({"blank in the name of the length", framed("Content-Length : 4\r\n", "body")});
    cases.push_back({"blank in the name of a second length", withField("Content-Length : 2")});
    cases.push_back(
        {"blank in the name of the coding", framed("Transfer-Encoding : chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")});
    cases.push_back({"blank in the name of a coding beside a length", withField("Transfer-Encoding : chunked")});
}

void addBrokenValues(std::vector<ResponseCase> &cases)
{
    for (const std::string &value : {"a\0"
                                     "b"s,
                                     "a\x01"
                                     "b"s,
                                     "a\x7f"
                                     "b"s,
                                     "a\rb"s, "a\rY: b"s, "a\r"s}) {
        cases.push_back({"value '" + value + "'", withField("X: " + value)});
    }
}

void addBrokenLineEnds(std::vector<ResponseCase> &cases)
{
    cases.push_back({"CR in the reason", response("HTTP/1.1 200 O\rK")});
    cases.push_back({"CR and a field in the reason", response("HTTP/1.1 200 OK\rXX: y")});
    cases.push_back({"two CR at the end of the status line", response("HTTP/1.1 200 OK\r")});
    cases.push_back({"CR and another byte in place of the empty line", framed("Content-Length: 4\r\n\rX", "body")});
    cases.push_back({"two CR in the empty line", framed("Content-Length: 4\r\n\r", "body")});
}

void addBrokenStatusLines(std::vector<ResponseCase> &cases)
{
    const std::vector<std::pair<std::string, std::string>> statusLines{
        {"other major version", "HTTP/2.0 200 OK"},          {"version before 1.0", "HTTP/0.9 200 OK"},
        {"version without a minor number", "HTTP/1 200 OK"}, {"version with a longer minor number", "HTTP/1.10 200 OK"},
        {"version in lower case", "http/1.1 200 OK"},        {"other protocol", "ICY 200 OK"},
        {"tab before the status", "HTTP/1.1\t200 OK"},       {"tab after the status", "HTTP/1.1 200\tOK"},
        {"NUL in the reason", "HTTP/1.1 200 O\0K"s},         {"control byte in the reason", "HTTP/1.1 200 O\x01K"},
        {"DEL in the reason", "HTTP/1.1 200 O\x7fK"},
    };
    for (const auto &[name, line] : statusLines) {
        cases.push_back({name, response(line)});
    }
}

void addBrokenLengths(std::vector<ResponseCase> &cases)
{
    for (const char *length :
         {"", "+4", "-4", "4x", "0x4", "4 4", "4;", "4.0", "18446744073709551616", "99999999999999999999999"}) {
        cases.push_back({"length '"s + length + "'", framed("Content-Length: "s + length + "\r\n", "body")});
    }
    cases.push_back({"length on a second line", framed("Content-Length:\r\n 4\r\n", "body")});
    cases.push_back({"two lengths", framed("Content-Length: 4\r\nContent-Length: 2\r\n", "body")});
    cases.push_back(
        {"length and coding", framed("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")});
    cases.push_back(
        {"coding and length", framed("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "4\r\nbody\r\n0\r\n\r\n")});
}

void addBrokenCodings(std::vector<ResponseCase> &cases)
{
    for (const char *coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;q=1", "identity", "xchunked",
          "chunkedx", "chunked x", "\"chunked\"", "", ",", "chunked,,chunked", ",gzip,"}) {
        cases.push_back(
            {"coding '"s + coding + "'", framed("Transfer-Encoding: "s + coding + "\r\n", "4\r\nbody\r\n0\r\n\r\n")});
    }
    cases.push_back(
        {"codings on two lines", framed("Transfer-Encoding: chunked\r\n , gzip\r\n", "4\r\nbody\r\n0\r\n\r\n")});
    for (const char *second : {"chunked", "gzip", "identity"}) {
        cases.push_back({"codings chunked and "s + second,
                         framed(chunkedFields + "Transfer-Encoding: " + second + "\r\n", "4\r\nbody\r\n0\r\n\r\n")});
        cases.push_back({"codings "s + second + " and chunked",
                         framed("Transfer-Encoding: "s + second + "\r\n" + chunkedFields, "4\r\nbody\r\n0\r\n\r\n")});
    }
}

} // namespace

std::vector<ResponseCase> soundResponses()
{
    const std::string plain = response("HTTP/1.1 200 OK");
    return {
        {"plain", plain, 200, "body"},
        {"no reason", response("HTTP/1.1 200 "), 200, "body"},
        {"no reason and no space", response("HTTP/1.1 200"), 200, "body"},
        {"reason with a tab and bytes over 0x7f", response("HTTP/1.1 200 G\xc3\xbc\tt"), 200, "body"},
        {"several spaces before the status", response("HTTP/1.1  200 OK"), 200, "body"},
        {"unregistered success", response("HTTP/1.1 299 Other"), 299, "body"},
        {"unregistered client error", response("HTTP/1.1 499 Other"), 499, "body"},
        {"largest status", response("HTTP/1.1 599 Other"), 599, "body"},
        {"HTTP/1.0", response("HTTP/1.0 200 OK"), 200, "body"},
        {"lines that end with LF", withoutCarriageReturns(plain), 200, "body"},
        {"all characters of a token", withField("!#$%&'*+-.^_`|~09azAZ: v"), 200, "body"},
        {"empty value", withField("X:"), 200, "body"},
        {"value with tabs and bytes over 0x7f", withField("X: \t a\t\x80\xff b"), 200, "body"},
        {"zero before the length", framed("content-LENGTH: 04 \r\n", "body"), 200, "body"},
        {"tabs around the length", framed("Content-Length:\t4\t\r\n", "body"), 200, "body"},
        {"tabs around the coding", framed("Transfer-Encoding:\tchunked\t \r\n", "4\r\nbody\r\n0\r\n\r\n"), 200, "body"},
        {"empty elements beside the coding", framed("Transfer-Encoding: ,\t, chunked ,,\r\n", "4\r\nbody\r\n0\r\n\r\n"),
         200, "body"},
        {"empty body", framed("Content-Length: 0\r\n", ""), 200, ""},
        {"204", "HTTP/1.1 204 X\r\n" + identity + "\r\n", 204, ""},
        {"304", "HTTP/1.1 304 X\r\n" + identity + "\r\n", 304, ""},
        {"304 with the length of the body that it leaves out",
         "HTTP/1.1 304 X\r\n" + identity + "Content-Length: 4\r\n\r\n", 304, ""},
        {"304 with the coding of the body that it leaves out", "HTTP/1.1 304 X\r\n" + identity + chunkedFields + "\r\n",
         304, ""},
        {"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n" + plain, 200, "body"},
        {"chunked in upper case", framed("TRANSFER-encoding:CHUNKED\r\n", "4\r\nbody\r\n0\r\n\r\n"), 200, "body"},
        {"chunk extensions", chunked("04;a=\"b\xff\tc\";d\r\nbody\r\n00 ;e\r\n\r\n"), 200, "body"},
        {"line ends in chunks", chunked("4\r\n\r\n\r\n\r\n2\r\n0\r\r\n0\r\n\r\n"), 200, "\r\n\r\n0\r"},
        {"trailers", chunked("4\r\nbody\r\n0\r\nX: y\r\nSigned: other\r\n\r\n"), 200, "body"},
    };
}

std::vector<ResponseCase> brokenHeads()
{
    std::vector<ResponseCase> cases;
    addBrokenStatuses(cases);
    addBrokenNames(cases);
    addBrokenValues(cases);
    addBrokenLineEnds(cases);
    addBrokenStatusLines(cases);
    addBrokenLengths(cases);
    addBrokenCodings(cases);
    return cases;
}

std::vector<ResponseCase> brokenBodies()
{
    return {
        {"chunk longer than its size", chunked("2\r\nbody\r\n0\r\n\r\n")},
        {"other bytes in place of the line end of a chunk", chunked("4\r\nbodyXX0\r\n\r\n")},
        {"LF and CR in place of the line end of a chunk", chunked("4\r\nbody\n\r0\r\n\r\n")},
        {"another byte in place of the LF of a chunk", chunked("4\r\nbody\rX0\r\n\r\n")},
        {"another byte in place of the CR of a chunk", chunked("4\r\nbodyX\n0\r\n\r\n")},
        {"CR and another byte after a size", chunked("4\rXbody\r\n0\r\n\r\n")},
        {"CR and another byte after the last size", chunked("4\r\nbody\r\n0\rX\r\n")},
        {"size that is no number", chunked("x\r\nbody\r\n0\r\n\r\n")},
        {"empty size", chunked("\r\nbody\r\n0\r\n\r\n")},
        {"negative size", chunked("-4\r\nbody\r\n0\r\n\r\n")},
        {"too large a size", chunked("10000000000000004\r\nbody\r\n0\r\n\r\n")},
        {"blank in a trailer's name", chunked("4\r\nbody\r\n0\r\nX Y: z\r\n\r\n")},
        {"blank before a trailer's colon", chunked("4\r\nbody\r\n0\r\nX : z\r\n\r\n")},
        {"blank before the first trailer", chunked("4\r\nbody\r\n0\r\n X: z\r\n\r\n")},
        {"control byte in a trailer's name", chunked("4\r\nbody\r\n0\r\nX\x01: z\r\n\r\n")},
        {"trailer without a colon", chunked("4\r\nbody\r\n0\r\nX\r\n\r\n")},
        {"control byte in a trailer's value", chunked("4\r\nbody\r\n0\r\nX: a\x01\r\n\r\n")},
        {"CR in a trailer's value", chunked("4\r\nbody\r\n0\r\nX: a\rb\r\n\r\n")},
        {"CR and another byte in place of the empty line after the trailers", chunked("4\r\nbody\r\n0\r\nX: y\r\n\rX")},
        {"CR and another byte after the last chunk", chunked("4\r\nbody\r\n0\r\n\rX")},
    };
}

std::vector<ResponseCase> brokenChunkExtensions()
{
    return {
        {"LF in a chunk extension", chunked("4;a\nb\r\nbody\r\n0\r\n\r\n")},
        {"control byte in a chunk extension", chunked("4;a\x01\r\nbody\r\n0\r\n\r\n")},
        {"NUL in a chunk extension", chunked("4;a\0\r\nbody\r\n0\r\n\r\n"s)},
        {"other text after a size", chunked("4 x\r\nbody\r\n0\r\n\r\n")},
    };
}

} // namespace banyanledge
