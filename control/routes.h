// Routes of the operators' API, one for each method and path.
#pragma once

#include <string>
#include <vector>

#include "control/api.h"
#include "control/leader.h"

namespace banyanledge
{

// An authenticated request and what its handler needs.
struct ApiContext
{
    const ApiRequest &request;
    const Api::Options &options;
    LeaderClient &leader;
    std::vector<std::string> pathParameters; // path segments that match a "*" of the route
    std::string actor;
    std::string changeId;
    OrderCaller caller; // whom the response is for, and by when
};

using ApiHandler = ApiResponse (*)(const ApiContext &);

struct ApiRoute
{
    const char *method;
    std::vector<std::string> path; // "*" matches any segment
    ApiHandler handler;
};

const std::vector<ApiRoute> &apiRoutes();

} // namespace banyanledge
