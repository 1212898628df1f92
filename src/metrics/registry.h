#ifndef CLEMENTINERILL_METRICS_REGISTRY_H_
#define CLEMENTINERILL_METRICS_REGISTRY_H_

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "base/name_table.h"
#include "metrics/counter.h"
#include "metrics/gauge.h"
#include "metrics/latency_recorder.h"
#include "metrics/metric_labels.h"
#include "metrics/reason_counters.h"

namespace clementinerill {

/// @brief Owns all metrics of one process; safe to use from any thread.
///
/// The `Add` functions return the existing metric when one is registered under
/// the same name and labels. They take a lock, so callers keep the reference,
/// which stays valid for the lifetime of the registry. A malformed name, or one
/// name for metrics of two types, violates an invariant, because names are
/// constants of this program.
class MetricsRegistry {
 public:
  [[nodiscard]] Counter& AddCounter(const std::string& name,
                                    const std::string& help,
                                    const MetricLabels& labels = {});

  [[nodiscard]] Gauge& AddGauge(const std::string& name,
                                const std::string& help,
                                const MetricLabels& labels = {});

  /// @brief Adds a histogram in seconds; the labels may identify a route or a
  /// pool.
  [[nodiscard]] LatencyRecorder& AddLatencyHistogram(
      const std::string& name,
      const std::string& help,
      const MetricLabels& labels = {});

  /// @brief Adds one counter for each row of `table`, distinguished by the
  /// label `reason`.
  ///
  /// Example: `AddReasonCounters("refusals_total", "Refusals.", kNames)`.
  template <typename Enum, size_t N>
  [[nodiscard]] ReasonCounters<Enum, N> AddReasonCounters(
      const std::string& name,
      const std::string& help,
      const std::array<NameEntry<Enum>, N>& table,
      const MetricLabels& labels = {}) {
    std::array<Counter*, N> counters{};
    MetricLabels reason_labels = labels;
    for (size_t i = 0; i < N; ++i) {
      reason_labels["reason"] = std::string(table[i].name_);
      counters[i] = &AddCounter(name, help, reason_labels);
    }
    return ReasonCounters<Enum, N>(table, counters);
  }

  /// @brief All metrics in the Prometheus text exposition format 0.0.4, sorted
  /// by name.
  [[nodiscard]] std::string PrometheusText() const;

 private:
  using Metric = std::variant<std::unique_ptr<Counter>,
                              std::unique_ptr<Gauge>,
                              std::unique_ptr<LatencyRecorder>>;

  struct Family {
    std::string help_;
    std::map<MetricLabels, Metric> metrics_;
  };

  template <typename T>
  T& Add(const std::string& name,
         const std::string& help,
         const MetricLabels& labels);

  mutable std::mutex mutex_;
  std::map<std::string, Family> families_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_REGISTRY_H_
