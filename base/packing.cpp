#include "base/packing.h"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include "base/error.h"

namespace banyanledge
{

namespace
{

// Fastest level of zlib, because all hosts wait for a change while the leader compresses it.
constexpr int fastestCompression = 1;

} // namespace

std::string packCommon(const proto::SyncReply &part)
{
    std::string bytes;
    google::protobuf::io::StringOutputStream output(&bytes);
    google::protobuf::io::GzipOutputStream::Options options;
    options.compression_level = fastestCompression;
    google::protobuf::io::GzipOutputStream gzip(&output, options);
    part.SerializeToZeroCopyStream(&gzip);
    gzip.Close();
    return bytes;
}

bool unpackCommon(proto::SyncReply &reply)
{
    const auto compressed = reply.common();
    reply.clear_common();
    for (const std::string &bytes : compressed) {
        google::protobuf::io::ArrayInputStream input(bytes.data(), static_cast<int>(bytes.size()));
        google::protobuf::io::GzipInputStream gzip(&input);
        proto::SyncReply part;
        if (!part.ParseFromZeroCopyStream(&gzip)) {
            fail(proto::ERROR_INVALID, "cannot decompress a common part of a Sync reply; the call is repeated");
            return false;
        }
        reply.MergeFrom(part);
    }
    return true;
}

} // namespace banyanledge
