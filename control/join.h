// Joins a control host to the group that some seeds belong to.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// Asks the group, on a thread of its own and until it succeeds, to add this host; asks again when it was removed.
class GroupJoiner
{
public:
    GroupJoiner(std::string ownAddress, std::vector<std::string> seeds, std::function<proto::ControlStatus()> status);
    ~GroupJoiner();

    void setSeeds(std::vector<std::string> seeds);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
