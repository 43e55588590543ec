// Sends Raft messages to the other control hosts without blocking.
#pragma once

#include <memory>
#include <string>

#include "base/types.h"

namespace banyanledge
{

class RaftPeers
{
public:
    RaftPeers();
    ~RaftPeers();

    // Sets the address of a member. Messages to unknown members are dropped, which Raft tolerates.
    void setAddress(const std::string &id, const std::string &address);

    // Sends a message in a call of its own, or together with others once one of several outstanding calls has ended.
    // Messages may arrive in another order.
    void send(const proto::RaftMessage &message);

    // Drops the queued messages, cancels the outstanding calls and waits until they have ended.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
