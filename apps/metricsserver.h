// HTTP server for the metrics of the process, which Prometheus reads at GET /metrics.
#pragma once

#include <memory>
#include <string>

namespace banyanledge
{

class MetricsServer
{
public:
    // Starts the server on IP:PORT. Returns nullptr and sets lastError() if it can't listen there.
    static std::unique_ptr<MetricsServer> start(const std::string &address);
    ~MetricsServer();

private:
    class Private;
    explicit MetricsServer(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

} // namespace banyanledge
