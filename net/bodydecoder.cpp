#include "net/bodydecoder.h"

namespace banyanledge
{

bool BodyDecoder::read(const MessageLines &headLines, std::string_view bytes, std::string &data)
{
    if (!headLines.bodyFraming().chunked) {
        data += bytes;
        return true;
    }
    if (!m_chunks) {
        m_chunks.emplace(headLines);
    }
    while (!bytes.empty() && !complete()) {
        const bool isData = m_chunks->isInChunkData();
        const auto taken = m_chunks->take(bytes);
        if (!taken) {
            return false;
        }
        data += isData ? *taken : std::string_view();
        bytes.remove_prefix(taken->size());
    }
    return true;
}

bool BodyDecoder::complete() const
{
    return !m_chunks || m_chunks->chunksEnded();
}

} // namespace banyanledge
