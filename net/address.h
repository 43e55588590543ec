// Addresses and options of TCP sockets.
#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

#include "base/types.h"

namespace banyanledge
{

// Parses IP:PORT; nullopt with lastError() when the text is malformed.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

// Disables Nagle's algorithm and fails a connection whose peer acknowledges no data for `ackTimeout`.
void setSocketOptions(asio::ip::tcp::socket &socket, milliseconds ackTimeout);

} // namespace banyanledge
