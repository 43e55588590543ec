// Answers calls for rate tokens on a control host that does not lead: from a stock of tokens that the leader granted
// ahead, or by a call to the leader.
#pragma once

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

#include "base/types.h"

namespace banyanledge
{

// All functions run on the thread of the event loop, except stop().
class TokenRelay
{
public:
    using Done = std::function<void(const proto::TakeTokensReply &)>;

    // `leaderAddress` returns the leader's gRPC address, or an empty string when it is unknown.
    TokenRelay(asio::io_context &loop, std::string ownAddress, std::function<std::string()> leaderAddress);
    ~TokenRelay();

    // Answers a call, possibly later.
    void take(const proto::TakeTokensRequest &request, const Done &done, Time now);

    // Fetches tokens for the demand of the next moments.
    void tick(Time now);

    // Cancels the calls to the leader and waits until they have ended. Called on another thread than the event loop's,
    // which must still run or have ended.
    void stop();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace banyanledge
