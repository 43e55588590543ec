// Value types, units and shared tuning values of the whole system.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "banyanledge.pb.h"

namespace banyanledge
{

namespace proto = banyanledge::v1;

// Monotonic time of one process; deciding functions take it as an argument.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::milliseconds;

// Log index of a change; the revision of a copy of the table is that of its newest change.
using Revision = std::uint64_t;

// How long a host may serve after the moment it asked for a proof that its revision is current. It bounds how long a
// withdrawn key works on a partitioned host (promise: 3 s) and, with the 400 ms poll of the platform's list, how long a
// leaving backend server still gets work (promise: 2 s).
constexpr milliseconds freshnessLease{1500};

// A new owner waits this long so that the previous owner's freshness has ended, with 1% for clock drift.
constexpr milliseconds ownerTakeoverDelay{1515};

// A member that the leader has not heard for this long is declared gone. Longer than ownerTakeoverDelay, so that a host
// declared gone has already stopped serving.
constexpr milliseconds memberTimeout{2000};

// Lifetime of a token grant, counted by the holder from before it asked and by the owner from when it answered.
constexpr milliseconds grantLifetime{1000};

// Longest deadline that a request may name.
constexpr milliseconds maxDeadline{600000};

// Clock rates of two hosts differ by at most this fraction.
constexpr double clockDrift = 0.01;

// Stretches a duration measured on another host's clock by the drift bound.
constexpr Duration withDrift(Duration duration)
{
    return duration + Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * clockDrift));
}

// Names of the resources that entry hosts own.
std::string customerResource(const std::string &customer);
std::string poolResource(const std::string &service, const std::string &region);
std::string linkResource(const std::string &fromRegion, const std::string &toRegion);
std::string shiftResource(const std::string &shift);

// Wall clock in milliseconds since 1970, for the audit trail only.
std::int64_t wallClockMs();

// Random 64-bit number from the operating system, for identities and incarnations.
std::uint64_t randomId();

} // namespace banyanledge
