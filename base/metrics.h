// Prometheus metrics of this process.
#pragma once

#include <prometheus/registry.h>

#include <map>
#include <string>

namespace banyanledge
{

using MetricLabels = std::map<std::string, std::string>;

// Registry of all metrics, which GET /metrics serves.
prometheus::Registry &metricsRegistry();

// Increments a counter, creating it on first use. Counters are named banyanledge_SUBJECT_total.
void countMetric(const std::string &name, const MetricLabels &labels = {}, double amount = 1);

// Sets a gauge, creating it on first use.
void setMetric(const std::string &name, const MetricLabels &labels, double value);

// Records a duration in a histogram with buckets from 0.1 ms to 30 s, creating it on first use.
void observeMetric(const std::string &name, const MetricLabels &labels, double seconds);

// All metrics in Prometheus' text format.
std::string metricsText();

} // namespace banyanledge
