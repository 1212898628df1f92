#ifndef CLEMENTINERILL_ROUTING_LATENCY_WINDOW_H_
#define CLEMENTINERILL_ROUTING_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>
#include <vector>

#include "base/time.h"

namespace clementinerill {

/// @brief The most recent latencies of one upstream.
struct LatencyWindow {
  static constexpr size_t kCapacity = 128;
  std::array<Duration, kCapacity> samples_{};
  size_t next_ = 0;
  size_t count_ = 0;
};

/// @brief Adds a sample and drops the oldest one when full.
void AddSample(LatencyWindow& window, Duration latency) noexcept;

/// @brief The quantile `q` (0 to 1) of the samples; zero without samples.
[[nodiscard]] Duration QuantileOf(const LatencyWindow& window, double q);

/// @brief The median over several upstreams of their quantile `q`.
///
/// Upstreams with fewer than 16 samples are left out. A single slow upstream
/// does not move the result. Zero when none has enough samples.
[[nodiscard]] Duration TypicalQuantile(
    const std::vector<const LatencyWindow*>& windows,
    double q);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_LATENCY_WINDOW_H_
