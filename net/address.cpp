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
        const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
        asio::error_code wrong;
        const auto ip = asio::ip::make_address(text.substr(0, colon), wrong);
        if (error == std::errc() && stop == end && !wrong) {
            return asio::ip::tcp::endpoint(ip, port);
        }
    }
    return fail(proto::ERROR_INVALID, "'" + text + "' is no address; write IP:PORT");
}

void setSocketOptions(asio::ip::tcp::socket &socket, milliseconds silence)
{
    asio::error_code ignored; // a socket without these options works, only slower
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto timeout = static_cast<unsigned>(silence.count());
    (void)setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

} // namespace banyanledge
