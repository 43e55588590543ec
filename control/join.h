// Adds a control host to the group of control hosts that its seeds belong to.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Requests, on its own thread, that the group adds this host, until the host is a member. Requests it again when the
// host was removed.
class GroupJoiner
{
public:
    // `seeds` are gRPC addresses of members. `status` returns the state of this host; called from the joiner's thread.
    GroupJoiner(std::string ownAddress, std::vector<std::string> seeds, std::function<proto::ControlStatus()> status);
    ~GroupJoiner();

    void setSeeds(std::vector<std::string> seeds);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
