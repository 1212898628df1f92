#ifndef CLEMENTINERILL_TRAFFIC_LATENCY_HISTOGRAM_H_
#define CLEMENTINERILL_TRAFFIC_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief Counts of latencies that can be added up over daemons.
///
/// The buckets are half a doubling wide. The first one begins at zero, the
/// second one at 1 ms, the last one has no end.
using LatencyHistogram = std::array<int64_t, 36>;

[[nodiscard]] LatencyHistogram MakeLatencyHistogram(
    const std::vector<Duration>& latencies);

/// @brief Adds the counts of `more` to `sum`.
void AddLatencies(LatencyHistogram& sum, const LatencyHistogram& more) noexcept;

/// @brief Estimates the median; nullopt if there are too few latencies.
[[nodiscard]] std::optional<Duration> MedianLatency(
    const LatencyHistogram& histogram) noexcept;

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_LATENCY_HISTOGRAM_H_
