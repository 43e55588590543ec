#include "gateway/tokenclient.h"

#include <memory>
#include <utility>

#include "base/error.h"
#include "base/metrics.h"

namespace banyanledge
{

namespace
{

// Concurrent calls. Requests that arrive while all are in flight share the next call, which bounds the leader's work.
// With a single call at a time, a request could wait for two round trips.
constexpr unsigned maxCallsInFlight = 3;

} // namespace

TokenClient::TokenClient(std::string host, SendCall sendCall)
    : m_host(std::move(host))
    , m_sendCall(std::move(sendCall))
{
}

void TokenClient::requestToken(const std::string &customer, Callback callback)
{
    m_waiting[customer].push_back(std::move(callback));
    sendNextCall();
}

void TokenClient::sendNextCall()
{
    if (m_callsInFlight >= maxCallsInFlight || m_waiting.empty()) {
        return;
    }
    ++m_callsInFlight;
    const auto batch = std::make_shared<Waiters>(std::exchange(m_waiting, {}));
    proto::TakeTokensRequest request;
    request.set_host(m_host);
    for (const auto &[customer, waiters] : *batch) {
        auto *customerTokens = request.add_wants();
        customerTokens->set_customer(customer);
        customerTokens->set_amount(static_cast<double>(waiters.size()));
    }
    m_sendCall(request, [this, batch](const proto::TakeTokensReply &reply) { onReply(*batch, reply); });
}

void TokenClient::onReply(const Waiters &batch, const proto::TakeTokensReply &reply)
{
    --m_callsInFlight;
    std::map<std::string, double> granted;
    for (const auto &amount : reply.granted()) {
        granted[amount.customer()] += amount.amount();
    }
    const bool replied = reply.kind() == proto::ERROR_NONE;
    if (!replied) {
        countMetric("banyanledge_gateway_token_calls_failed_total", {{"kind", kindName(reply.kind())}});
    }
    for (const auto &[customer, waiters] : batch) {
        double &available = granted[customer];
        for (const auto &callback : waiters) {
            const bool isGranted = available >= 1;
            available -= isGranted ? 1 : 0;
            callback(isGranted ? TokenGrant::Granted : replied ? TokenGrant::Refused : TokenGrant::Unknown);
        }
    }
    sendNextCall();
}

} // namespace banyanledge
