#include "entry/path.h"

#include "entry/exchange.h"
#include "entry/lookup.h"
#include "entry/refusal.h"

namespace banyanledge
{

namespace
{

void refuseFramingError(ResponseWriter &response, FramingError framingError)
{
    const auto errorResponse = framingErrorResponse(framingError);
    refuse(response, {errorResponse.status, "invalid", errorResponse.message, errorResponse.remedy}, "", "");
}

} // namespace

RequestPath::RequestPath(RequestPathDependencies deps, const proto::EntrySettings &settings, proto::Member self,
                         BackendClient &backend, std::shared_ptr<asio::io_context> context, ClientBlocks clientBlocks)
    : m_shared(std::make_shared<RequestPathState>())
{
    m_shared->deps = std::move(deps);
    m_shared->settings = settings;
    m_shared->self = std::move(self);
    m_shared->backend = &backend;
    m_shared->context = std::move(context);
    m_shared->clientBlocks = std::move(clientBlocks);
}

void RequestPath::handle(Request request, ResponseWriter response)
{
    if (const auto framingError = framingErrorFromTarget(request.target)) {
        refuseFramingError(response, *framingError);
    } else if (request.target.substr(0, request.target.find('?')) == "/v1/lookup") {
        handleLookup(*m_shared, request, response);
    } else if (!request.target.starts_with("/s/")) {
        refuse(response, {404, "not_found", "this path does not exist", "use /s/SERVICE/PATH or /v1/lookup"}, "", "");
    } else if (*m_shared->inFlight >= m_shared->settings.max_in_flight()) {
        refuse(response,
               {503, "overloaded", "this host has reached its limit of concurrent requests",
                "send the request to another entry host"},
               "", "");
    } else {
        std::make_shared<Exchange>(m_shared, std::move(request), std::move(response))->start();
    }
}

unsigned RequestPath::inFlight() const
{
    return *m_shared->inFlight;
}

} // namespace banyanledge
