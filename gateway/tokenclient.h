// Asks the control leader for tokens of customers' rates, for requests that met an empty share. Used on the loop's
// thread only.
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
    Refused, // the customer is beyond its rate
    Unknown, // the leader was not reached in time
};

class TokenClient
{
public:
    using Callback = std::function<void(TokenGrant)>;
    using SendCall =
        std::function<void(const proto::TakeTokensRequest &, std::function<void(const proto::TakeTokensReply &)>)>;

    TokenClient(std::string host, SendCall ask);

    // Asks for one token; calls back once, later.
    void request(const std::string &customer, Callback callback);

private:
    using Waiters = std::map<std::string, std::vector<Callback>>; // by customer

    void sendNextCall();
    void onReply(const Waiters &batch, const proto::TakeTokensReply &reply);

    const std::string m_host;
    const SendCall m_sendCall;
    Waiters m_waiting; // not asked for yet
    unsigned m_callsInFlight = 0; // under way
};

} // namespace banyanledge
