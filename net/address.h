// Addresses and options of TCP sockets.
#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

#include "base/types.h"

namespace banyanledge
{

// Parses IP:PORT; nullopt with lastError() otherwise.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

// Sends small writes at once, and fails a connection whose peer acknowledges nothing for `silence`.
void setSocketOptions(asio::ip::tcp::socket &socket, milliseconds ackTimeout);

} // namespace banyanledge
