// Error responses that the host sends to clients.
#pragma once

#include <string>

#include "base/types.h"
#include "entry/server.h"

namespace banyanledge
{

// Whether the request ran, as reported to the client.
enum class ExecutionOutcome {
    NotRun,
    Unknown, // it may have run
    Ran,
};

struct Refusal
{
    int status = 503;
    std::string kind; // as in kindName()
    std::string message;
    std::string remedy;
    ExecutionOutcome outcome = ExecutionOutcome::NotRun;
    milliseconds retryAfter{1000};
};

std::string executionOutcomeName(ExecutionOutcome outcome);

// Headers and JSON body {kind, message, remedy} of a refusal.
Headers refusalHeaders(const Refusal &refusal);
std::string refusalBody(const Refusal &refusal);

// Sends a refusal and counts it by service, customer, reason and outcome.
void refuse(ResponseWriter &response, const Refusal &refusal, const std::string &service, const std::string &customer);

} // namespace banyanledge
