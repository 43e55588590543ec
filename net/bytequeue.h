// Bytes that wait to be sent on, in the pieces in which they arrived.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace banyanledge
{

// Takes little more memory than its bytes; one string that grows would take up to twice as much.
class ByteQueue
{
public:
    void append(std::string bytes);
    void append(ByteQueue other);

    bool empty() const;
    std::size_t size() const;

    // Memory that the pieces take, with what they have spare.
    std::size_t memoryBytes() const;

    const std::vector<std::string> &pieces() const;

private:
    std::vector<std::string> m_pieces; // none is empty
};

} // namespace banyanledge
