// gRPC connections between the system's own processes.
#pragma once

#include <grpcpp/channel.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/types.h"

namespace banyanledge
{

// Time that a new connection gets to be established: two round trips, one for TCP and one for the HTTP/2 settings, at
// up to 150 ms one way, and some processor time.
constexpr milliseconds connectTimeout{1000};

// Keeps one channel for each address, with a connection of its own. Thread-safe.
class ChannelCache
{
public:
    // Returns the channel to an address IP:PORT and opens it if there is none.
    std::shared_ptr<grpc::Channel> channel(const std::string &address, Time now);

    // Records that a call on the address's channel failed. Its connection may be dead without an error, so the next
    // call gets another channel, unless this one is so new that it may still be connecting.
    void recordFailure(const std::string &address, Time now);

    // Records that a reply arrived on the address's channel.
    void recordSuccess(const std::string &address, Time now);

    // Records that a call sent at `since` got no reply. Its network path may be broken, so the next calls get other
    // channels to all addresses from which nothing has arrived since then.
    void recordSilence(Time since, Time now);

private:
    struct Entry
    {
        std::shared_ptr<grpc::Channel> channel;
        Time openedAt{};
        Time lastSuccess{};
    };

    void replace(Entry &entry);

    std::mutex m_mutex;
    std::map<std::string, Entry> m_entries; // by address
    std::deque<std::shared_ptr<grpc::Channel>> m_replaced; // may have outstanding calls
};

} // namespace banyanledge
