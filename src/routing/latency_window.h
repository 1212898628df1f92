#ifndef CLEMENTINERILL_ROUTING_LATENCY_WINDOW_H_
#define CLEMENTINERILL_ROUTING_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>
#include <vector>

#include "base/time.h"

namespace clementinerill {

/// @brief Ring buffer of the most recent latencies of one upstream.
struct LatencyWindow {
  static constexpr size_t kCapacity = 128;
  std::array<Duration, kCapacity> samples_{};
  size_t next_ = 0;
  size_t count_ = 0;
};

/// @brief Adds a sample, overwriting the oldest one when the window is full.
void AddSample(LatencyWindow& window, Duration latency) noexcept;

/// @brief Returns the quantile `q` (0 to 1) of the samples, or zero if there
/// are none.
[[nodiscard]] Duration QuantileOf(const LatencyWindow& window, double q);

/// @brief Returns the median of the upstreams' quantiles `q`.
///
/// Ignores upstreams with fewer than 16 samples and returns zero if none has
/// enough. The median keeps a single slow upstream from shifting the result.
[[nodiscard]] Duration TypicalQuantile(
    const std::vector<const LatencyWindow*>& windows,
    double q);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_LATENCY_WINDOW_H_
