// Takes rate-limit tokens from the control leader when this host's share of a customer's rate is exhausted. Used on the
// event loop's thread only.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

enum class TokenGrant {
    Granted,
    Refused, // the customer exceeded its rate limit
    Unknown, // the call to the leader failed, or no reply arrived in time
};

// Batches requests for tokens into calls to the leader.
class TokenClient
{
public:
    using Callback = std::function<void(TokenGrant)>;
    using SendCall =
        std::function<void(const proto::TakeTokensRequest &, std::function<void(const proto::TakeTokensReply &)>)>;

    TokenClient(std::string host, SendCall sendCall);

    // Requests one token. The callback runs once, when the call to the leader that asks for it has ended.
    void requestToken(const std::string &customer, Callback callback);

private:
    using Waiters = std::map<std::string, std::vector<Callback>>; // by customer

    void sendNextCall();
    void onReply(const Waiters &batch, const proto::TakeTokensReply &reply);

    const std::string m_host;
    const SendCall m_sendCall;
    Waiters m_waiting; // not part of a call yet
    unsigned m_callsInFlight = 0;
};

} // namespace banyanledge
