#include "gateway/tokens.h"

#include <memory>
#include <utility>

#include "base/error.h"
#include "base/metrics.h"

namespace banyanledge
{

namespace
{

// Calls under way at once. Requests that arrive meanwhile go into the next call together, which bounds the leader's
// work; with a single call they would wait for up to two round trips.
constexpr unsigned mostCalls = 3;

} // namespace

TokenCalls::TokenCalls(std::string host, Ask ask)
    : m_host(std::move(host))
    , m_ask(std::move(ask))
{
}

void TokenCalls::request(const std::string &customer, Done done)
{
    m_waiters[customer].push_back(std::move(done));
    call();
}

void TokenCalls::call()
{
    if (m_calls >= mostCalls || m_waiters.empty()) {
        return;
    }
    ++m_calls;
    const auto asked = std::make_shared<Waiters>(std::exchange(m_waiters, {}));
    proto::TakeTokensRequest request;
    request.set_host(m_host);
    for (const auto &[customer, waiters] : *asked) {
        auto *want = request.add_wants();
        want->set_customer(customer);
        want->set_amount(static_cast<double>(waiters.size()));
    }
    m_ask(request, [this, asked](const proto::TakeTokensReply &reply) { finish(*asked, reply); });
}

void TokenCalls::finish(const Waiters &asked, const proto::TakeTokensReply &reply)
{
    --m_calls;
    std::map<std::string, double> granted;
    for (const auto &amount : reply.granted()) {
        granted[amount.customer()] += amount.amount();
    }
    const bool reached = reply.kind() == proto::ERROR_NONE;
    if (!reached) {
        countMetric("banyanledge_gateway_token_calls_failed_total", {{"kind", kindName(reply.kind())}});
    }
    for (const auto &[customer, waiters] : asked) {
        double &left = granted[customer];
        for (const auto &done : waiters) {
            const bool has = left >= 1;
            left -= has ? 1 : 0;
            done(has ? TokenGrant::Granted : reached ? TokenGrant::Refused : TokenGrant::Unknown);
        }
    }
    call();
}

} // namespace banyanledge
