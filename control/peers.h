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
    // `ownAddress` is sent with each message, so that its receiver can answer without a member list.
    explicit RaftPeers(std::string ownAddress);
    ~RaftPeers();

    // Sets the address of a member as named in the member list. It goes before an address learned from a message.
    void setAddress(const std::string &id, const std::string &address);

    // Records the address that a received message names for its sender. A host with an empty disk knows no other
    // address of a leader that is none of its seeds.
    void learnAddress(const std::string &id, const std::string &address);

    // Sends a message in a call of its own, or together with others once one of several outstanding calls has ended.
    // Messages may arrive in another order. Raft tolerates this, and that a message to a host without a known address
    // is counted and dropped.
    void send(const proto::RaftMessage &message);

    // Drops the queued messages, cancels the outstanding calls and waits until they have ended.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
