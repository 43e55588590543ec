#include "base/channel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace banyanledge
{

namespace
{

// Reconnect backoff. Short, so that a restarted process is reached within an election timeout or a freshness lease; the
// default is 1 s and more.
constexpr milliseconds firstReconnectDelay{50};
constexpr milliseconds maxReconnectDelay{200};

// Replaced channels that are kept. A channel must not be destroyed in the callback of its last call, and every call
// ends before this many further channels are replaced.
constexpr std::size_t maxReplacedChannels = 16;

std::shared_ptr<grpc::Channel> openChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(firstReconnectDelay.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(maxReconnectDelay.count()));
    // Despite its name, this argument is the time that an attempt to connect gets.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(connectTimeout.count()));
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    // By default, gRPC channels to one address share a connection. A new channel would then reuse a connection that no
    // longer delivers anything.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxSendMessageSize(-1);
    arguments.SetMaxReceiveMessageSize(-1);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

std::shared_ptr<grpc::Channel> ChannelCache::channel(const std::string &address, Time now)
{
    const std::lock_guard lock(m_mutex);
    Entry &entry = m_entries[address];
    if (!entry.channel) {
        entry = {openChannel(address), now};
    }
    return entry.channel;
}

void ChannelCache::recordFailure(const std::string &address, Time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(address);
    if (found == m_entries.end() || now < found->second.openedAt + connectTimeout) {
        return;
    }
    replace(found->second);
    m_entries.erase(found);
}

void ChannelCache::recordSuccess(const std::string &address, Time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(address);
    if (found != m_entries.end()) {
        found->second.lastSuccess = now;
    }
}

void ChannelCache::recordSilence(Time since, Time now)
{
    const std::lock_guard lock(m_mutex);
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        const auto current = next++;
        Entry &entry = current->second;
        if (entry.lastSuccess < since && now >= entry.openedAt + connectTimeout) {
            replace(entry);
            m_entries.erase(current);
        }
    }
}

// Keeps the channel for its outstanding calls.
void ChannelCache::replace(Entry &entry)
{
    m_replaced.push_back(std::move(entry.channel));
    if (m_replaced.size() > maxReplacedChannels) {
        m_replaced.pop_front();
    }
}

} // namespace banyanledge
