// Whether a failed attempt may be tried again on another backend server.
#pragma once

#include "base/types.h"

namespace banyanledge
{

// Tokens for retries of one service on one host; each request adds a tenth of a retry. One retry per second is granted
// even when fewer are earned.
struct RetryBudget
{
    double tokens = 0;
    Time updated{}; // when the last retry was granted
};

struct Attempt
{
    bool idempotent = false;
    bool sent = false; // any byte of the request may have reached the server
    bool answerStarted = false; // a byte of the answer went to the caller
    unsigned number = 1; // attempts made so far
    Duration remaining{}; // until the deadline
};

// Counts a first attempt, which earns a part of a retry.
void addRetryCredit(RetryBudget &budget, Time now);

// Whether to retry; spends from the budget when true.
bool mayRetry(RetryBudget &budget, const Attempt &attempt, Time now);

// Pause before the next attempt, with jitter from `random` in 0 to 1.
Duration retryDelay(unsigned number, double random);

} // namespace banyanledge
