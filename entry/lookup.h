// Look-up endpoint: tells clients which entry hosts to use.
#pragma once

#include "entry/path.h"

namespace banyanledge
{

// Value of a parameter in the query part of a target, percent-decoded; empty when absent.
std::string queryParameter(const std::string &target, const std::string &name);

// Answers GET /v1/lookup; refused while this host's copy of the table is not fresh.
void handleLookup(RequestPathState &shared, const Request &request, ResponseWriter &response);

} // namespace banyanledge
