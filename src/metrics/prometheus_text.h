#ifndef CLEMENTINERILL_METRICS_PROMETHEUS_TEXT_H_
#define CLEMENTINERILL_METRICS_PROMETHEUS_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "metrics/latency_histogram.h"
#include "metrics/metric_labels.h"

namespace clementinerill {

// Writes elements of the Prometheus text exposition format, version 0.0.4.

/// @brief Whether `name` matches `[a-zA-Z_:][a-zA-Z0-9_:]*`.
[[nodiscard]] bool IsMetricName(std::string_view name) noexcept;

/// @brief Whether `name` matches `[a-zA-Z_][a-zA-Z0-9_]*` and is not `le`,
/// which is reserved for histogram buckets.
[[nodiscard]] bool IsLabelName(std::string_view name) noexcept;

/// @brief Appends the `# HELP` and `# TYPE` lines of a metric.
void AppendHeader(std::string& text,
                  const std::string& name,
                  std::string_view help,
                  std::string_view type);

/// @brief Appends one sample line; label values are escaped.
void AppendSample(std::string& text,
                  const std::string& name,
                  const MetricLabels& labels,
                  const std::string& value);

/// @brief Appends the `_bucket`, `_sum` and `_count` lines of a histogram, in
/// seconds.
///
/// Prometheus defines bounds as inclusive, but a latency equal to a bound is
/// counted in the bucket above it.
void AppendHistogram(std::string& text,
                     const std::string& name,
                     const MetricLabels& labels,
                     const LatencyHistogram& histogram);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_PROMETHEUS_TEXT_H_
