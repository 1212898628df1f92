#include "metrics/registry.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "metrics/prometheus_text.h"

namespace clementinerill {
namespace {

bool HasValidNames(const std::string& name, const MetricLabels& labels) {
  return IsMetricName(name) &&
         std::all_of(labels.begin(), labels.end(), [](const auto& label) {
           return IsLabelName(label.first);
         });
}

std::string_view TypeOf(const std::unique_ptr<Counter>& /*metric*/) {
  return "counter";
}

std::string_view TypeOf(const std::unique_ptr<Gauge>& /*metric*/) {
  return "gauge";
}

std::string_view TypeOf(const std::unique_ptr<LatencyRecorder>& /*metric*/) {
  return "histogram";
}

void AppendMetric(std::string& text,
                  const std::string& name,
                  const MetricLabels& labels,
                  const std::unique_ptr<Counter>& counter) {
  AppendSample(text, name, labels, std::to_string(counter->Value()));
}

void AppendMetric(std::string& text,
                  const std::string& name,
                  const MetricLabels& labels,
                  const std::unique_ptr<Gauge>& gauge) {
  AppendSample(text, name, labels, std::to_string(gauge->Value()));
}

void AppendMetric(std::string& text,
                  const std::string& name,
                  const MetricLabels& labels,
                  const std::unique_ptr<LatencyRecorder>& recorder) {
  AppendHistogram(text, name, labels, recorder->Snapshot());
}

}  // namespace

template <typename T>
T& MetricsRegistry::Add(const std::string& name,
                        const std::string& help,
                        const MetricLabels& labels) {
  CR_INVARIANT(HasValidNames(name, labels));
  const std::lock_guard<std::mutex> lock(mutex_);
  Family& family = families_[name];
  if (family.metrics_.empty()) {
    family.help_ = help;
  } else {
    CR_INVARIANT(std::holds_alternative<std::unique_ptr<T>>(
        family.metrics_.begin()->second));
  }
  const auto found = family.metrics_.find(labels);
  if (found != family.metrics_.end()) {
    return *std::get<std::unique_ptr<T>>(found->second);
  }
  auto metric = std::make_unique<T>();
  T& added = *metric;
  family.metrics_.emplace(labels, std::move(metric));
  return added;
}

Counter& MetricsRegistry::AddCounter(const std::string& name,
                                     const std::string& help,
                                     const MetricLabels& labels) {
  return Add<Counter>(name, help, labels);
}

Gauge& MetricsRegistry::AddGauge(const std::string& name,
                                 const std::string& help,
                                 const MetricLabels& labels) {
  return Add<Gauge>(name, help, labels);
}

LatencyRecorder& MetricsRegistry::AddLatencyHistogram(
    const std::string& name,
    const std::string& help,
    const MetricLabels& labels) {
  return Add<LatencyRecorder>(name, help, labels);
}

std::string MetricsRegistry::PrometheusText() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  for (const auto& [name, family] : families_) {
    const std::string_view type =
        std::visit([](const auto& metric) { return TypeOf(metric); },
                   family.metrics_.begin()->second);
    AppendHeader(text, name, family.help_, type);
    for (const auto& entry : family.metrics_) {
      std::visit(
          [&text, &name = name, &entry](const auto& metric) {
            AppendMetric(text, name, entry.first, metric);
          },
          entry.second);
    }
  }
  return text;
}

}  // namespace clementinerill
