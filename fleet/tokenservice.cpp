#include "fleet/tokenservice.h"

#include <algorithm>

#include "base/metrics.h"

namespace banyanledge
{

namespace
{

// Fraction of a link's capacity that is granted as tokens, which bodies have to take. The rest is left for short
// requests, which take no tokens.
constexpr double linkTokenFraction = 0.9;

// Burst of a link, in seconds of its rate.
constexpr double linkBurstSeconds = 0.05;

// Burst of a shift, in seconds of its rate.
constexpr double shiftBurstSeconds = 0.1;

// Retry interval for an owner that could not be reached.
constexpr milliseconds retryInterval{30};

// Timeout of a call to an owner. A later grant would have almost expired.
constexpr milliseconds callTimeout{500};

// Bound of the queue for a resource: this many seconds of its rate, and at least minQueueTokens.
constexpr double maxQueueSeconds = 5;
constexpr double minQueueTokens = 64;

// Retention of a handed-over bucket while the table does not yet name this host as the owner.
constexpr milliseconds handoverRetention{5000};

constexpr milliseconds maxTickInterval{50};

// Rounds up; at least 1 ms.
milliseconds toMs(Duration duration)
{
    return std::max(milliseconds{1}, std::chrono::ceil<milliseconds>(duration));
}

void runActions(const DeferredActions &deferred)
{
    for (const auto &action : deferred) {
        action();
    }
}

proto::TokensRequest toRequest(const std::string &resource, const GrantRequest &grantRequest, Revision revision)
{
    proto::TokensRequest request;
    request.set_resource(resource);
    request.set_host(grantRequest.holder.id);
    request.set_incarnation(grantRequest.holder.incarnation);
    request.set_want(grantRequest.want);
    request.set_least(grantRequest.minUseful);
    request.set_call(grantRequest.call);
    request.set_revision(revision);
    for (const GrantUse &usage : grantRequest.uses) {
        proto::GrantUse *grant = request.add_grants();
        grant->set_grant_id(usage.id);
        grant->set_spent(usage.spent);
        grant->set_returned(usage.returned);
    }
    return request;
}

GrantRequest toGrantRequest(const proto::TokensRequest &request)
{
    GrantRequest grantRequest{
        {request.host(), request.incarnation()}, request.call(), request.want(), request.least(), {}};
    for (const proto::GrantUse &grant : request.grants()) {
        grantRequest.uses.push_back({grant.grant_id(), grant.spent(), grant.returned()});
    }
    return grantRequest;
}

} // namespace

TokenService::TokenService(OwnerMap &owners, OwnerClient &ownerClient, std::function<bool(Time)> mayActAsOwner,
                           double linkBytesPerSecond, std::function<void()> wake)
    : m_owners(owners)
    , m_ownerClient(ownerClient)
    , m_mayActAsOwner(std::move(mayActAsOwner))
    , m_linkBytesPerSecond(linkBytesPerSecond)
    , m_wake(std::move(wake))
{
}

void TokenService::take(const std::string &resource, double amount, Time deadline,
                        std::function<void(AdmissionResult)> done)
{
    const Time now = Clock::now();
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        const std::optional<RateLimit> limit = limitOf(resource);
        TokenQueue &queue = this->findOrCreateQueue(resource, now);
        if (m_stopped || (limit && limit->burst < amount)) {
            deferred.push_back([done, amount] {
                done({proto::ERROR_RATE_LIMITED,
                      "a request for " + std::to_string(amount)
                          + " tokens exceeds the burst of the limit; raise the burst",
                      milliseconds{1000}});
            });
        } else if (!limit) {
            deferred.push_back([done] { done({}); });
        } else {
            queue.tokenCache.recordDemand(amount, now);
            if (queue.waiters.empty() && queue.tokenCache.take(amount, now)) {
                deferred.push_back([done] { done({}); });
            } else if (queue.waitingTokens + amount > std::max(minQueueTokens, limit->rate * maxQueueSeconds)) {
                const AdmissionResult admission = refusal(queue, now);
                deferred.push_back([done, admission] { done(admission); });
            } else {
                queue.waitingTokens += amount;
                queue.waiters.push_back({amount, deadline, std::move(done)});
            }
            callOwnerIfDue(resource, queue, now, deferred);
        }
    }
    runActions(deferred);
}

void TokenService::returnTokens(const std::string &resource, double amount)
{
    const Time now = Clock::now();
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        TokenQueue &queue = this->findOrCreateQueue(resource, now);
        queue.tokenCache.refund(amount, now);
        grantWaiters(queue, now, deferred);
    }
    runActions(deferred);
}

TokenService::TokenQueue &TokenService::findOrCreateQueue(const std::string &resource, Time now)
{
    const auto found = m_queues.find(resource);
    if (found != m_queues.end()) {
        return found->second;
    }
    return m_queues.emplace(resource, TokenQueue{TokenCache(m_owners.self(), now), {}, 0, true, {}}).first->second;
}

// Current limit; nullopt when the resource is not limited.
std::optional<RateLimit> TokenService::limitOf(const std::string &resource) const
{
    const std::shared_ptr<const View> view = m_owners.view();
    const std::string name = resource.substr(resource.find(':') + 1);
    if (resource.starts_with("customer:")) {
        return view->rateLimit(name);
    }
    if (resource.starts_with("link:")) {
        const double rate = m_linkBytesPerSecond * linkTokenFraction;
        return RateLimit{rate, rate * linkBurstSeconds};
    }
    const auto shift = view->shifts().find(name);
    if (shift == view->shifts().end()) {
        return RateLimit{0, 1}; // shift is not in the table: no refill
    }
    const double rate = shift->second.cap_per_second();
    return rate > 0 ? std::optional(RateLimit{rate, std::max(1.0, rate * shiftBurstSeconds)}) : std::nullopt;
}

// Calls the owner when a request is due. If this host is the owner, the reply is applied at once.
void TokenService::callOwnerIfDue(const std::string &resource, TokenQueue &queue, Time now, DeferredActions &deferred)
{
    const std::optional<HostIncarnation> owner = m_owners.owner(resource);
    if (owner != queue.owner) {
        queue.owner = owner;
        queue.tokenCache.clearRetryDelay();
    }
    const double minUseful = queue.waiters.empty() ? 0 : queue.waiters.front().amount;
    const std::optional<GrantRequest> grantRequest = queue.tokenCache.nextRequest(queue.waitingTokens, minUseful, now);
    if (!grantRequest) {
        return;
    }
    const proto::TokensRequest request = toRequest(resource, *grantRequest, m_owners.view()->revision());
    if (!owner) {
        applyReply(queue, nullptr, now, deferred);
    } else if (*owner == m_owners.self()) {
        const proto::TokensReply reply = handleTokensLocked(request, now);
        applyReply(queue, &reply, now, deferred);
    } else {
        deferred.push_back([this, resource, request, address = m_owners.address(*owner)] {
            m_ownerClient.tokens(address, request, callTimeout, [this, resource](const proto::TokensReply *reply) {
                DeferredActions next;
                {
                    const std::lock_guard lock(m_mutex);
                    handleReply(resource, reply, Clock::now(), next);
                }
                runActions(next);
            });
        });
    }
}

void TokenService::handleReply(const std::string &resource, const proto::TokensReply *reply, Time now,
                               DeferredActions &deferred)
{
    TokenQueue &queue = m_queues.at(resource);
    applyReply(queue, reply, now, deferred);
    if (!m_stopped) {
        callOwnerIfDue(resource, queue, now, deferred);
    }
}

void TokenService::applyReply(TokenQueue &queue, const proto::TokensReply *reply, Time now, DeferredActions &deferred)
{
    queue.ownerAnswered = reply != nullptr && reply->kind() != proto::ERROR_UNAVAILABLE;
    if (!queue.ownerAnswered) {
        const Duration delay = reply != nullptr ? milliseconds{reply->retry_after_ms()} : retryInterval;
        queue.tokenCache.handleFailure(std::clamp<Duration>(delay, milliseconds{5}, retryInterval), now);
    } else {
        const GrantReply answer{reply->granted(), reply->grant_id(), milliseconds{reply->retry_after_ms()}};
        queue.tokenCache.handleReply(answer, milliseconds{reply->term_ms()}, now);
        grantWaiters(queue, now, deferred);
    }
    if (!queue.waiters.empty()) {
        m_wake();
    }
}

void TokenService::grantWaiters(TokenQueue &queue, Time now, DeferredActions &deferred)
{
    while (!queue.waiters.empty() && queue.tokenCache.take(queue.waiters.front().amount, now)) {
        queue.waitingTokens -= queue.waiters.front().amount;
        deferred.push_back([done = std::move(queue.waiters.front().done)] { done({}); });
        queue.waiters.pop_front();
    }
    if (queue.waiters.empty()) {
        queue.waitingTokens = 0;
    }
}

// Refuses the waiters whose deadline has passed, or all of them after stop().
void TokenService::refuseExpired(TokenQueue &queue, Time now, DeferredActions &deferred)
{
    const AdmissionResult admission = refusal(queue, now);
    std::erase_if(queue.waiters, [&](Waiter &waiter) {
        if (waiter.deadline > now && !m_stopped) {
            return false;
        }
        queue.waitingTokens -= waiter.amount;
        countMetric("banyanledge_token_refusals_total", {{"kind", kindName(admission.kind)}});
        deferred.push_back([done = std::move(waiter.done), admission] { done(admission); });
        return true;
    });
}

AdmissionResult TokenService::refusal(const TokenQueue &queue, Time now) const
{
    const milliseconds retryAfter = toMs(queue.tokenCache.retryAfter(now));
    if (!queue.ownerAnswered) {
        return {proto::ERROR_UNAVAILABLE,
                "the owner of the rate limit cannot be reached or is not ready yet; retry later", retryAfter};
    }
    return {proto::ERROR_RATE_LIMITED, "the rate limit of the customer, link or shift is exceeded; retry later",
            retryAfter};
}

Time TokenService::tick(Time now)
{
    DeferredActions deferred;
    Time nextTick = now + maxTickInterval;
    {
        const std::lock_guard lock(m_mutex);
        for (auto entry = m_queues.begin(); entry != m_queues.end();) {
            TokenQueue &queue = entry->second;
            refuseExpired(queue, now, deferred);
            if (queue.waiters.empty() && queue.tokenCache.idle(now)) {
                entry = m_queues.erase(entry);
                continue;
            }
            callOwnerIfDue(entry->first, queue, now, deferred);
            if (!queue.waiters.empty()) {
                const Time retryAt = now + std::max<Duration>(queue.tokenCache.retryAfter(now), milliseconds{1});
                nextTick = std::min(
                    {nextTick, queue.waiters.front().deadline, queue.tokenCache.callPending() ? nextTick : retryAt});
            }
            ++entry;
        }
        updateLinkUsage(now);
    }
    runActions(deferred);
    return nextTick;
}

proto::TokensReply TokenService::handleTokens(const proto::TokensRequest &request)
{
    const std::lock_guard lock(m_mutex);
    return handleTokensLocked(request, Clock::now());
}

proto::TokensReply TokenService::handleTokensLocked(const proto::TokensRequest &request, Time now)
{
    proto::TokensReply reply;
    Bucket *bucket = findOrCreateBucket(request.resource(), now, reply);
    if (bucket == nullptr) {
        return reply;
    }
    const GrantReply answer = bucket->handleRequest(toGrantRequest(request), now);
    if (request.resource().starts_with("link:")) {
        m_linkUsage[request.resource()].granted += answer.granted;
    }
    reply.set_granted(answer.granted);
    reply.set_grant_id(answer.id);
    reply.set_term_ms(static_cast<std::uint32_t>(grantLifetime.count()));
    if (answer.granted <= 0) {
        reply.set_retry_after_ms(static_cast<std::uint32_t>(toMs(answer.retryAfter).count()));
        reply.set_kind(request.want() > 0 ? proto::ERROR_RATE_LIMITED : proto::ERROR_NONE);
    }
    return reply;
}

// Returns the bucket if this host may act as its owner; otherwise nullptr, with the reason in `refusal`.
Bucket *TokenService::findOrCreateBucket(const std::string &resource, Time now, proto::TokensReply &refusal)
{
    const std::optional<HostIncarnation> formerOwner = handoverSource(resource, now);
    // An existing bucket passed this check when it was created, and is removed when another host becomes the owner.
    const bool mayAlreadyGrant = m_buckets.contains(resource) && m_owners.owner(resource) == m_owners.self();
    const std::optional<Time> from = mayAlreadyGrant ? now : m_owners.ownershipStart(resource, formerOwner);
    const std::optional<RateLimit> limit = limitOf(resource);
    if (!from || *from > now || !m_mayActAsOwner(now) || !limit) {
        refusal.set_kind(proto::ERROR_UNAVAILABLE);
        refusal.set_message(
            "this host is not the owner or not ready yet; retry at the owner that the newest table gives");
        const Duration wait = from && *from > now ? *from - now : milliseconds{10};
        refusal.set_retry_after_ms(static_cast<std::uint32_t>(toMs(wait).count()));
        return nullptr;
    }
    auto found = m_buckets.find(resource);
    if (found == m_buckets.end()) {
        if (formerOwner) {
            const proto::HandoverRequest &state = m_receivedHandovers.at(resource).request;
            found = m_buckets
                        .emplace(resource,
                                 Bucket(*limit, state.tokens(), state.granted(), milliseconds{state.granted_term_ms()},
                                        m_receivedHandovers.at(resource).receivedAt, randomId()))
                        .first;
            m_receivedHandovers.erase(resource);
        } else {
            found = m_buckets.emplace(resource, Bucket(*limit, *from, randomId())).first;
        }
    }
    found->second.setLimit(*limit, now);
    return &found->second;
}

// Host that handed the resource over to this one, unless the handover has expired.
std::optional<HostIncarnation> TokenService::handoverSource(const std::string &resource, Time now)
{
    const auto found = m_receivedHandovers.find(resource);
    if (found == m_receivedHandovers.end()) {
        return std::nullopt;
    }
    if (now - found->second.receivedAt > handoverRetention || m_buckets.contains(resource)) {
        m_receivedHandovers.erase(found);
        return std::nullopt;
    }
    return HostIncarnation{found->second.request.host(), found->second.request.incarnation()};
}

void TokenService::handleHandover(const proto::HandoverRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const auto lost = m_lostRevisions.find(request.resource());
    // A handover sent before this host last gave the resource up describes an earlier state.
    const bool stale = lost != m_lostRevisions.end() && request.revision() <= lost->second;
    if (!stale && !m_buckets.contains(request.resource())) {
        m_receivedHandovers[request.resource()] = {request, Clock::now()};
    }
}

std::vector<std::pair<HostIncarnation, proto::HandoverRequest>> TokenService::tableChanged(Time now)
{
    std::vector<std::pair<HostIncarnation, proto::HandoverRequest>> handovers;
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
        auto &[resource, bucket] = *entry;
        const std::optional<HostIncarnation> owner = m_owners.owner(resource);
        if (owner == m_owners.self()) {
            bucket.setLimit(limitOf(resource).value_or(bucket.limit()), now);
            ++entry;
            continue;
        }
        // Without a valid lease the new owner may act already, so the state is out of date.
        if (owner && m_mayActAsOwner(now)) {
            proto::HandoverRequest request;
            request.set_resource(resource);
            request.set_host(m_owners.self().id);
            request.set_incarnation(m_owners.self().incarnation);
            request.set_tokens(bucket.tokens(now));
            request.set_granted(bucket.unspent(now));
            request.set_granted_term_ms(static_cast<std::uint32_t>(grantLifetime.count()));
            request.set_revision(m_owners.view()->revision());
            handovers.emplace_back(*owner, request);
        }
        m_lostRevisions[resource] = m_owners.view()->revision();
        m_linkUsage.erase(resource);
        entry = m_buckets.erase(entry);
    }
    return handovers;
}

void TokenService::dropOwnedState()
{
    const std::lock_guard lock(m_mutex);
    m_buckets.clear();
    m_linkUsage.clear();
}

void TokenService::updateLinkUsage(Time now)
{
    for (auto &[resource, usage] : m_linkUsage) {
        const double elapsed = std::chrono::duration<double>(now - usage.measuredAt).count();
        if (elapsed >= 1) {
            usage.bytesPerSecond = (usage.granted - usage.grantedAtLastMeasurement) / elapsed;
            usage.grantedAtLastMeasurement = usage.granted;
            usage.measuredAt = now;
        }
    }
}

void TokenService::addReport(proto::SyncRequest &request) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[resource, usage] : m_linkUsage) {
        const std::size_t start = resource.find(':') + 1;
        const std::size_t arrow = resource.find('>');
        proto::LinkLoad *load = request.add_links();
        load->set_from_region(resource.substr(start, arrow - start));
        load->set_to_region(resource.substr(arrow + 1));
        load->set_used(std::min(1.0, usage.bytesPerSecond / (m_linkBytesPerSecond * linkTokenFraction)));
    }
}

void TokenService::stop()
{
    DeferredActions deferred;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        for (auto &[resource, queue] : m_queues) {
            refuseExpired(queue, Clock::now(), deferred);
        }
    }
    runActions(deferred);
}

} // namespace banyanledge
