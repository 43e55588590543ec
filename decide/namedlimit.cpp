#include "decide/namedlimit.h"

#include <algorithm>
#include <cmath>

namespace banyanledge
{

namespace
{

// Least rate that all hosts together use, so that they learn when the limit ends. Requests per second.
constexpr double minRate = 0.25;

// Hosts beyond the whole part of the limit that share it.
constexpr double extraHosts = 2;

// Time whose requests a host may send at once.
constexpr double burstSeconds = 0.25;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LimitShare limitShare(double limit, const LimitSharers &sharers)
{
    const double users = std::min(static_cast<double>(sharers.hosts), std::floor(limit) + extraHosts);
    if (static_cast<double>(sharers.rank) >= users) {
        return {};
    }
    const double perSecond = std::max(limit, minRate) / users;
    return {perSecond, std::max(1.0, perSecond * burstSeconds)};
}

LimitStatement receivedStatement(const proto::ServerLimit &message, Time now)
{
    LimitStatement statement;
    statement.saidAt = now - milliseconds(message.age_ms());
    if (message.has_per_second()) {
        statement.perSecond = message.per_second();
    }
    return statement;
}

std::vector<proto::ServerLimit> statementMessages(std::vector<std::pair<std::uint32_t, LimitStatement>> statements,
                                                  std::size_t maxCount, Time now)
{
    std::sort(statements.begin(), statements.end(),
              [](const auto &a, const auto &b) { return a.second.saidAt > b.second.saidAt; });
    statements.resize(std::min(statements.size(), maxCount));
    std::vector<proto::ServerLimit> messages;
    for (const auto &[server, statement] : statements) {
        proto::ServerLimit message;
        message.set_server(server);
        const auto age = std::chrono::duration_cast<milliseconds>(now - statement.saidAt);
        message.set_age_ms(static_cast<std::uint32_t>(age.count()));
        if (statement.perSecond) {
            message.set_per_second(*statement.perSecond);
        }
        messages.push_back(std::move(message));
    }
    return messages;
}

bool NamedLimit::recordOwn(const LimitStatement &statement, Time now)
{
    return record(m_own, statement, now);
}

bool NamedLimit::recordFleet(const LimitStatement &statement, Time now)
{
    return record(m_fleet, statement, now);
}

void NamedLimit::forget(Time now)
{
    m_own = {};
    m_fleet = {std::nullopt, now};
    m_tokens.reset();
}

bool NamedLimit::record(LimitStatement &target, const LimitStatement &statement, Time now)
{
    if (statement.saidAt < target.saidAt) {
        return false;
    }
    const std::optional<double> before = perSecond(now);
    target = statement;
    return perSecond(now) != before;
}

const LimitStatement &NamedLimit::newest() const
{
    return m_own.saidAt >= m_fleet.saidAt ? m_own : m_fleet;
}

std::optional<double> NamedLimit::perSecond(Time now) const
{
    const LimitStatement &last = newest();
    return now < last.saidAt + namedLimitLifetime ? last.perSecond : std::nullopt;
}

std::optional<LimitStatement> NamedLimit::ownStatement(Time now) const
{
    const bool isKnown = m_own.saidAt != Time{} && now < m_own.saidAt + namedLimitLifetime;
    return isKnown ? std::optional(m_own) : std::nullopt;
}

bool NamedLimit::allows(const LimitSharers &sharers, Time now)
{
    const std::optional<double> limit = perSecond(now);
    if (!limit) {
        m_tokens.reset();
        return true;
    }
    const LimitShare share = limitShare(*limit, sharers);
    const double refill = m_tokens ? share.perSecond * seconds(now - m_refilledAt) : 0;
    m_tokens = std::min(share.burst, m_tokens.value_or(share.burst) + refill);
    m_refilledAt = now;
    return *m_tokens >= 1;
}

void NamedLimit::count()
{
    if (m_tokens) {
        *m_tokens -= 1;
    }
}

} // namespace banyanledge
