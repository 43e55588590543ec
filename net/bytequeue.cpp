#include "net/bytequeue.h"

#include <utility>

namespace banyanledge
{

namespace
{

// Pieces are joined up to this size, so that many short ones don't cost more than their bytes.
constexpr std::size_t joinedPieceBytes = 16384;

} // namespace

void ByteQueue::append(std::string bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (!m_pieces.empty() && m_pieces.back().size() + bytes.size() <= joinedPieceBytes) {
        m_pieces.back() += bytes;
    } else {
        m_pieces.push_back(std::move(bytes));
    }
}

void ByteQueue::append(ByteQueue other)
{
    for (std::string &piece : other.m_pieces) {
        append(std::move(piece));
    }
}

bool ByteQueue::empty() const
{
    return m_pieces.empty();
}

std::size_t ByteQueue::size() const
{
    std::size_t bytes = 0;
    for (const std::string &piece : m_pieces) {
        bytes += piece.size();
    }
    return bytes;
}

std::size_t ByteQueue::memoryBytes() const
{
    std::size_t bytes = m_pieces.capacity() * sizeof(std::string);
    for (const std::string &piece : m_pieces) {
        bytes += piece.capacity();
    }
    return bytes;
}

const std::vector<std::string> &ByteQueue::pieces() const
{
    return m_pieces;
}

} // namespace banyanledge
