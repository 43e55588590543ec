// Reads and replaces the declaration and starts and ends evacuations through the control leader. Used by interfaces
// that exchange whole declarations instead of single objects.
#pragma once

#include <optional>
#include <string>

#include "base/error.h"
#include "base/types.h"
#include "control/leader.h"

namespace banyanledge
{

// Calls block until the leader has answered or the timeout has passed. They may be made from any thread.
class Declarations
{
public:
    explicit Declarations(LeaderClient &leader);

    // Puts a declaration. ERROR_NONE means that a quorum has stored this declaration or one with the same or a higher
    // version. ERROR_UNAVAILABLE means that the outcome is unknown; the same declaration may be sent again.
    proto::CommandResult put(const proto::Declaration &declaration, milliseconds timeout);

    // Starts (`active`) or ends the evacuation of an availability zone, as LeaderClient::proposeOrder() does.
    proto::CommandResult evacuate(const std::string &zone, bool active, const OrderCaller &caller);

    // Returns the declaration in force, confirmed by a quorum after the call began; version 0 when there is none.
    // Returns nullopt, with the reason in lastError(), when no quorum confirms it in time.
    std::optional<proto::Declaration> read(milliseconds timeout);

private:
    LeaderClient &m_leader;
};

} // namespace banyanledge
