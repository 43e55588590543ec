// Request rate that a backend server names for itself in its responses, and the part of it that one host may use.
#pragma once

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "base/types.h"

namespace banyanledge
{

// How long a named limit counts after the last response that named it. Longer than the time between the requests that
// even the smallest limit lets through, which show whether the server still names it.
constexpr milliseconds namedLimitLifetime{15000};

// A host's place among the hosts that share a server's limit.
struct LimitSharers
{
    std::size_t hosts = 1;
    std::size_t rank = 0; // 0 to hosts - 1; `hosts` for a host that has no part

    bool operator==(const LimitSharers &) const = default;
};

// A host's part of a limit.
struct LimitShare
{
    double perSecond = 0;
    double burst = 0; // requests

    bool operator==(const LimitShare &) const = default;
};

// Part of a limit, in requests per second over all hosts, that a host may use. A small limit is divided among the hosts
// of lowest rank only, because the bursts of all hosts together must stay small beside it.
LimitShare limitShare(double limit, const LimitSharers &sharers);

// What a server said about its limit: a rate in requests per second, or that it names none.
struct LimitStatement
{
    std::optional<double> perSecond;
    Time saidAt{};

    bool operator==(const LimitStatement &) const = default;
};

// A statement as it is sent between hosts.
LimitStatement receivedStatement(const proto::ServerLimit &message, Time now);

// Messages for the statements, which come with their servers: those said last, at most `maxCount`.
std::vector<proto::ServerLimit> statementMessages(std::vector<std::pair<std::uint32_t, LimitStatement>> statements,
                                                  std::size_t maxCount, Time now);

// Limit of one server as one host knows it, from its own responses and from the other hosts by way of the leader. The
// newest statement counts.
class NamedLimit
{
public:
    // Record a statement in a response to this host, and the newest one that the leader knows. Return whether the limit
    // in force changed.
    bool recordOwn(const LimitStatement &statement, Time now);
    bool recordFleet(const LimitStatement &statement, Time now);

    // Drops all statements from before `now`, also those that arrive later.
    void forget(Time now);

    // Limit in force; nullopt when there is none.
    std::optional<double> perSecond(Time now) const;

    // Last statement in a response to this host, for the leader; nullopt when there is none or it is too old.
    std::optional<LimitStatement> ownStatement(Time now) const;

    // Whether a request may be sent now.
    bool allows(const LimitSharers &sharers, Time now);

    // Counts a request that is sent.
    void count();

private:
    bool record(LimitStatement &target, const LimitStatement &statement, Time now);
    const LimitStatement &newest() const;

    LimitStatement m_own;
    LimitStatement m_fleet;
    std::optional<double> m_tokens; // nullopt: full
    Time m_refilledAt{};
};

} // namespace banyanledge
