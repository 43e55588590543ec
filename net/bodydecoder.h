// Decodes bodies for readers whose library passes chunks on as they arrived.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/framingcheck.h"
#include "net/messagelines.h"

namespace banyanledge
{

// Decoder of the body of one message, whose bytes arrive in pieces.
class BodyDecoder
{
public:
    // Appends the data in the bytes to `data`; false with lastError() if a chunk or a trailer is not valid. `headLines`
    // has read the head. Bytes after the end of a chunked body are ignored.
    bool read(const MessageLines &headLines, std::string_view bytes, std::string &data);

    // Whether a chunked body has ended; true for other bodies, whose end the library finds by itself.
    bool complete() const;

private:
    std::optional<FramingCheck> m_chunks; // since the first byte of a chunked body
};

} // namespace banyanledge
