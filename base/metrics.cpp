#include "base/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <vector>

#include "base/invariant.h"
#include "base/log.h"

namespace banyanledge
{

namespace
{

// Guards the maps in family(). Last in the lock order: no other mutex of the project is locked while it is held.
std::mutex familiesMutex;

// Upper bounds in seconds.
const std::vector<double> &latencyBuckets()
{
    static const std::vector<double> buckets{0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                             0.1,    0.25,    0.5,    1,     2.5,    5,     10,   30};
    return buckets;
}

// Returns the metric family with this name, which is registered on first use.
template<typename Metric, typename Builder>
prometheus::Family<Metric> &family(const std::string &name, Builder builder)
{
    static std::map<std::string, prometheus::Family<Metric> *> families;
    const std::lock_guard lock(familiesMutex);
    auto &found = families[name];
    if (found == nullptr) {
        found = &builder.Name(name).Help(name).Register(metricsRegistry());
    }
    return *found;
}

} // namespace

prometheus::Registry &metricsRegistry()
{
    static prometheus::Registry registry;
    return registry;
}

void countMetric(const std::string &name, const MetricLabels &labels, double amount)
{
    family<prometheus::Counter>(name, prometheus::BuildCounter()).Add(labels).Increment(amount);
}

void setMetric(const std::string &name, const MetricLabels &labels, double value)
{
    family<prometheus::Gauge>(name, prometheus::BuildGauge()).Add(labels).Set(value);
}

void observeMetric(const std::string &name, const MetricLabels &labels, double seconds)
{
    family<prometheus::Histogram>(name, prometheus::BuildHistogram()).Add(labels, latencyBuckets()).Observe(seconds);
}

std::string metricsText()
{
    for (const auto &[name, count] : brokenInvariants()) {
        setMetric("banyanledge_invariants_broken", {{"name", name}}, static_cast<double>(count));
    }
    setMetric("banyanledge_log_lines_dropped", {}, static_cast<double>(droppedLogLines()));
    return prometheus::TextSerializer().Serialize(metricsRegistry().Collect());
}

} // namespace banyanledge
