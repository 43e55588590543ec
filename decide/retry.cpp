#include "decide/retry.h"

#include <algorithm>

namespace banyanledge
{

namespace
{

// Retry credit per request; 10% keeps the total load of a failing service at 1.1 times its requests.
constexpr double creditPerRequest = 0.1;

// Maximum of accumulated credit, so that a failure after a quiet hour does not start a retry storm.
constexpr double maxCredit = 10;

// A service may always retry once per interval, also with few requests.
constexpr std::chrono::seconds minRetryInterval{1};

constexpr unsigned maxAttempts = 3;

constexpr std::chrono::milliseconds firstDelay{10};
constexpr std::chrono::milliseconds maxDelay{500};

// Minimum time left for an attempt after the delay; with less it could hardly succeed before the deadline.
constexpr std::chrono::milliseconds minAttemptTime{5};

Duration fullDelay(unsigned number)
{
    constexpr unsigned maxDoublings = 10;
    const auto delay = firstDelay * (1U << std::min(number > 0 ? number - 1 : 0, maxDoublings));
    return std::min<Duration>(delay, maxDelay);
}

} // namespace

void addRetryCredit(RetryBudget &budget, Time /*now*/)
{
    budget.tokens = std::min(budget.tokens + creditPerRequest, maxCredit);
}

bool mayRetry(RetryBudget &budget, const Attempt &attempt, Time now)
{
    const bool safe = !attempt.answerStarted && (attempt.idempotent || !attempt.sent);
    const bool timeLeft = attempt.remaining > fullDelay(attempt.number) + minAttemptTime;
    if (!safe || !timeLeft || attempt.number >= maxAttempts) {
        return false;
    }
    // The minimum rate replaces the credit instead of adding to it; it applies only if there was no recent retry.
    const bool minRateAllows = budget.lastRetry == Time{} || now - budget.lastRetry >= minRetryInterval;
    if (budget.tokens < 1 && !minRateAllows) {
        return false;
    }
    budget.tokens = std::max(0.0, budget.tokens - 1);
    budget.lastRetry = now;
    return true;
}

Duration retryDelay(unsigned number, double random)
{
    // Half of the delay is fixed, so that an overloaded server gets a pause; the other half spreads the retries.
    const double fraction = 0.5 + (0.5 * std::clamp(random, 0.0, 1.0));
    const Duration full = fullDelay(number);
    return Duration(static_cast<Duration::rep>(static_cast<double>(full.count()) * fraction));
}

} // namespace banyanledge
