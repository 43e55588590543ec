#include "decide/retry.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Retries that a request earns: 10% keeps a failing service's total load at 1.1 times its requests.
constexpr double earnedPerRequest = 0.1;

// Unused retries that can be saved up, so that a failure after a calm hour does not start with a storm.
constexpr double mostSaved = 10;

// A service with few requests may still retry once in this time.
constexpr std::chrono::seconds floorInterval{1};

constexpr unsigned mostAttempts = 3;

constexpr std::chrono::milliseconds firstDelay{10};
constexpr std::chrono::milliseconds longestDelay{500};

// Time that an attempt needs after the pause to have any chance to succeed before the deadline.
constexpr std::chrono::milliseconds shortestAttempt{5};

Duration fullDelay(unsigned number)
{
    constexpr unsigned mostDoublings = 10;
    const auto delay = firstDelay * (1U << std::min(number > 0 ? number - 1 : 0, mostDoublings));
    return std::min<Duration>(delay, longestDelay);
}

} // namespace

void addRetryCredit(RetryBudget &budget, Time /*now*/)
{
    budget.tokens = std::min(budget.tokens + earnedPerRequest, mostSaved);
}

bool mayRetry(RetryBudget &budget, const Attempt &attempt, Time now)
{
    const bool safe = !attempt.answerStarted && (attempt.idempotent || !attempt.sent);
    const bool inTime = attempt.remaining > fullDelay(attempt.number) + shortestAttempt;
    if (!safe || !inTime || attempt.number >= mostAttempts) {
        return false;
    }
    // The floor replaces earned retries instead of adding to them; it is open only when no retry was spent lately.
    const bool floorOpen = budget.updated == Time{} || now - budget.updated >= floorInterval;
    if (budget.tokens < 1 && !floorOpen) {
        return false;
    }
    budget.tokens = std::max(0.0, budget.tokens - 1);
    budget.updated = now;
    return true;
}

Duration retryDelay(unsigned number, double random)
{
    // Half of the delay is fixed, so that an overloaded server gets a pause; the other half spreads the retries.
    const double part = 0.5 + (0.5 * std::clamp(random, 0.0, 1.0));
    const Duration full = fullDelay(number);
    return Duration(static_cast<Duration::rep>(static_cast<double>(full.count()) * part));
}

} // namespace banyanledge
