#include "ledger/results.h"

namespace banyanledge
{

proto::CommandResult errorResult(proto::ErrorKind kind, const std::string &message)
{
    proto::CommandResult result;
    result.set_kind(kind);
    result.set_message(message);
    return result;
}

proto::CommandResult notFound(const std::string &objectKind, const std::string &name)
{
    return errorResult(proto::ERROR_NOT_FOUND,
                       objectKind + " " + name + " does not exist; check the name or create it first");
}

} // namespace banyanledge
