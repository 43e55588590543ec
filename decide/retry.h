// Retry policy for failed attempts, with a retry budget and exponential backoff.
#pragma once

#include "base/types.h"

namespace banyanledge
{

// Retry budget of one service on one host, independent of other hosts (HostRetryBudget is a share of a fleet-wide one).
// Each request adds a tenth of a retry; one retry per second is allowed even without credit.
struct RetryBudget
{
    double tokens = 0; // retries
    Time lastRetry{}; // when the last retry was allowed
};

// A failed attempt to run a request.
struct Attempt
{
    bool idempotent = false;
    bool sent = false; // whether any byte of the request may have reached the server
    bool answerStarted = false; // whether a byte of the answer was sent to the caller
    unsigned number = 1; // attempts made so far
    Duration remaining{}; // until the deadline
};

// Adds the credit of a request's first attempt to the budget.
void addRetryCredit(RetryBudget &budget, Time now);

// Returns whether to retry, and spends from the budget if so.
bool mayRetry(RetryBudget &budget, const Attempt &attempt, Time now);

// Delay before the next attempt after `number` attempts, with jitter from `random` in 0 to 1.
Duration retryDelay(unsigned number, double random);

} // namespace banyanledge
