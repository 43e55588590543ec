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

class TokenCalls
{
public:
    using Done = std::function<void(TokenGrant)>;
    using Ask =
        std::function<void(const proto::TakeTokensRequest &, std::function<void(const proto::TakeTokensReply &)>)>;

    TokenCalls(std::string host, Ask ask);

    // Asks for one token; calls back once, later.
    void request(const std::string &customer, Done done);

private:
    using Waiters = std::map<std::string, std::vector<Done>>; // by customer

    void call();
    void finish(const Waiters &asked, const proto::TakeTokensReply &reply);

    const std::string m_host;
    const Ask m_ask;
    Waiters m_waiters; // not asked for yet
    unsigned m_calls = 0; // under way
};

} // namespace banyanledge
