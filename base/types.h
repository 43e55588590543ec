// Types, time limits and resource names that all parts of the system share.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "banyanledge.pb.h"

namespace banyanledge
{

namespace proto = banyanledge::v1;

// Monotonic clock. Functions of decide/ don't read it; they take the current time as an argument.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::milliseconds;

// Index of a change in the replicated log. The revision of a copy of the table is that of its newest change.
using Revision = std::uint64_t;

// Length of a host's freshness lease: how long the host may serve after it asked for the proof that its revision is
// current. This limits how long a withdrawn key still works on a partitioned host (guaranteed: 3 s) and, together with
// the polling interval of the platform's list (400 ms), how long a leaving backend server still gets requests
// (guaranteed: 2 s).
constexpr milliseconds freshnessLease{1500};

// How long the new owner of a resource waits before it acts, so that the previous owner's freshness lease has ended:
// freshnessLease and 1% for clock drift.
constexpr milliseconds ownerTakeoverDelay{1515};

// The leader declares a member gone after this time without a call from it. Longer than ownerTakeoverDelay, so that a
// host that is declared gone has already stopped serving.
constexpr milliseconds memberTimeout{2000};

// Lifetime of a token grant. The holder counts it from before its request, the owner from its reply.
constexpr milliseconds grantLifetime{1000};

// Longest deadline that a request may have.
constexpr milliseconds maxDeadline{600000};

// Upper limit of the relative difference between the clock rates of two hosts.
constexpr double maxClockDrift = 0.01;

// Extends a duration that another host measures by the largest possible clock drift.
constexpr Duration withDrift(Duration duration)
{
    return duration + Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * maxClockDrift));
}

inline Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

// Names of the resources that are each owned by one entry host, such as "pool:S/R".
std::string customerResource(const std::string &customer);
std::string poolResource(const std::string &service, const std::string &region);
std::string linkResource(const std::string &fromRegion, const std::string &toRegion);
std::string shiftResource(const std::string &shift);

// Wall-clock time in milliseconds since 1970, which may jump. For the times of commands, which the audit trail shows
// and from which stored results and claims expire.
std::int64_t wallClockMs();

// Random 64-bit number from the operating system, for ids, incarnations and seeds.
std::uint64_t randomId();

} // namespace banyanledge
