// Puts, reads and evacuates through the control leader, for interfaces that carry whole declarations.
#pragma once

#include <optional>
#include <string>

#include "base/error.h"
#include "base/types.h"
#include "control/leader.h"

namespace banyanledge
{

// Calls block until the leader answered or the time is over; safe from any thread.
class Declarations
{
public:
    explicit Declarations(LeaderClient &leader);

    // Puts a declaration. ERROR_NONE: a quorum has stored it, or one that is not older. ERROR_UNAVAILABLE: the outcome
    // is not known, and the same declaration may be sent again.
    proto::CommandResult put(const proto::Declaration &declaration, milliseconds timeout);

    // Starts or ends the evacuation of an availability zone; results as of put().
    proto::CommandResult evacuate(const std::string &zone, bool active, milliseconds timeout);

    // The declaration in force, confirmed by a quorum after the call began; version 0 when there is none. nullopt with
    // lastError() when no quorum confirms it.
    std::optional<proto::Declaration> read(milliseconds timeout);

private:
    LeaderClient &m_leader;
};

} // namespace banyanledge
