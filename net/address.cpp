#include "net/address.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <charconv>

#include "base/error.h"

namespace banyanledge
{

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const char *end = text.data() + text.size();
        const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, port);
        asio::error_code addressError;
        const auto ip = asio::ip::make_address(text.substr(0, colon), addressError);
        if (error == std::errc() && parsedEnd == end && !addressError) {
            return asio::ip::tcp::endpoint(ip, port);
        }
    }
    return fail(proto::ERROR_INVALID, "'" + text + "' is not an address; write IP:PORT");
}

void setSocketOptions(asio::ip::tcp::socket &socket, milliseconds ackTimeout)
{
    asio::error_code ignored; // a connection without these options still works
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto timeout = static_cast<unsigned>(ackTimeout.count());
    (void)setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

} // namespace banyanledge
