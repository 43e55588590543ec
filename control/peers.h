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

    // Sets the address of a member. Messages to unknown members are dropped, which Raft tolerates. While a call to the
    // member is outstanding a changed address is ignored and has to be set again later.
    void setAddress(const std::string &id, const std::string &address);

    // Queues a message. At most one call to each member is outstanding; the next call sends all messages queued until
    // then.
    void send(const proto::RaftMessage &message);

    // Drops the queued messages, cancels the outstanding calls and waits until they have ended.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
