#ifndef CLEMENTINERILL_ROUTING_UPSTREAM_HEALTH_H_
#define CLEMENTINERILL_ROUTING_UPSTREAM_HEALTH_H_

#include "base/time.h"

namespace clementinerill {

/// @brief Latency and failure statistics of recent attempts at one upstream.
struct UpstreamHealth {
  Duration latency_{0};  ///< Exponentially weighted moving average.
  Instant last_sample_;
  int failures_ = 0;    ///< Consecutive failures.
  Instant skip_until_;  ///< End of the skip period after a failure.
};

/// @brief Records the latency of a response, or the time spent waiting when
/// none arrived.
void RecordLatency(UpstreamHealth& health,
                   Duration latency,
                   Instant now) noexcept;

/// @brief Records a successful response. Resets the failure count and the skip
/// period.
void RecordSuccess(UpstreamHealth& health) noexcept;

/// @brief Records a refused or broken connection, a timeout or an error.
///
/// The upstream is skipped for a period that doubles with each consecutive
/// failure, from 20 ms up to 2 s. Attempts after that period probe it.
void RecordFailure(UpstreamHealth& health, Instant now) noexcept;

/// @brief Returns the expected latency of the next response.
///
/// The estimate decays from the measured latency towards `typical` within
/// seconds after the last sample, so that an upstream that was slow is tried
/// again.
[[nodiscard]] Duration ExpectedLatency(const UpstreamHealth& health,
                                       Duration typical,
                                       Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_UPSTREAM_HEALTH_H_
