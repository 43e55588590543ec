#include "apps/metricsserver.h"

#include <restinio/all.hpp>

#include "base/error.h"
#include "base/metrics.h"

namespace banyanledge
{

namespace
{

using HttpServer = restinio::running_server_instance_t<restinio::http_server_t<restinio::default_traits_t>>;

restinio::request_handling_status_t handleRequest(const restinio::request_handle_t &request)
{
    const auto path = request->header().path();
    if (path != "/metrics") {
        return request->create_response(restinio::status_not_found()).set_body("the metrics are at /metrics\n").done();
    }
    if (request->header().method() != restinio::http_method_get()) {
        return request->create_response(restinio::status_method_not_allowed()).append_header("Allow", "GET").done();
    }
    return request->create_response()
        .append_header("Content-Type", "text/plain; version=0.0.4")
        .set_body(metricsText())
        .done();
}

} // namespace

class MetricsServer::Private
{
public:
    std::unique_ptr<HttpServer> server;
};

MetricsServer::MetricsServer(std::unique_ptr<Private> priv)
    : d(std::move(priv))
{
}

MetricsServer::~MetricsServer()
{
    d->server->stop();
    d->server->wait();
}

std::unique_ptr<MetricsServer> MetricsServer::start(const std::string &address)
{
    const auto colon = address.rfind(':');
    auto priv = std::make_unique<Private>();
    try {
        priv->server = restinio::run_async<restinio::default_traits_t>(
            restinio::own_io_context(),
            restinio::server_settings_t<restinio::default_traits_t>{}
                .address(address.substr(0, colon))
                .port(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))))
                .request_handler(handleRequest),
            1);
    } catch (const std::exception &error) {
        fail(proto::ERROR_IO,
             "cannot serve metrics on " + address + ": " + error.what()
                 + "; free the address or change [host] metrics_listen");
        return nullptr;
    }
    return std::unique_ptr<MetricsServer>(new MetricsServer(std::move(priv)));
}

} // namespace banyanledge
