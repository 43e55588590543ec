#include "entry/refusal.h"

#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"

namespace banyanledge
{

std::string executionOutcomeName(ExecutionOutcome outcome)
{
    switch (outcome) {
    case ExecutionOutcome::NotRun:
        return "not-run";
    case ExecutionOutcome::Unknown:
        return "unknown";
    case ExecutionOutcome::Ran:
        return "ran";
    }
    return {};
}

Headers refusalHeaders(const Refusal &refusal)
{
    Headers headers{{outcomeHeader, executionOutcomeName(refusal.outcome)}, {"Content-Type", "application/json"}};
    if (refusal.status == 429 || refusal.status == 503) {
        // The header counts whole seconds; 0 would be read as "at once".
        const auto seconds = std::max<std::int64_t>(1, (refusal.retryAfter.count() + 999) / 1000);
        headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return headers;
}

std::string refusalBody(const Refusal &refusal)
{
    return "{\"kind\":" + jsonString(refusal.kind) + ",\"message\":" + jsonString(refusal.message)
        + ",\"remedy\":" + jsonString(refusal.remedy) + "}\n";
}

void refuse(ResponseWriter &response, const Refusal &refusal, const std::string &service, const std::string &customer)
{
    countMetric("banyanledge_refusals_total",
                {{"service", service},
                 {"customer", customer},
                 {"reason", refusal.kind},
                 {"outcome", executionOutcomeName(refusal.outcome)}});
    response.respond(refusal.status, refusalHeaders(refusal), refusalBody(refusal));
}

} // namespace banyanledge
