#ifndef CLEMENTINERILL_ROUTING_UPSTREAM_HEALTH_H_
#define CLEMENTINERILL_ROUTING_UPSTREAM_HEALTH_H_

#include "base/time.h"

namespace clementinerill {

/// @brief What recent attempts tell about one upstream.
struct UpstreamHealth {
  Duration latency_{0};  ///< Exponentially weighted mean of answers.
  Instant last_sample_;
  int failures_ = 0;    ///< Failures in a row.
  Instant skip_until_;  ///< Not used before this time after failures.
};

/// @brief Records a latency of an answer, or the time waited in vain.
void RecordLatency(UpstreamHealth& health,
                   Duration latency,
                   Instant now) noexcept;

/// @brief Records an answer; ends the series of failures.
void RecordSuccess(UpstreamHealth& health) noexcept;

/// @brief Records a refused or broken connection, a timeout or an error.
///
/// The upstream is skipped for a period that doubles with each failure in a
/// row, from 20 ms up to 2 s. Later attempts probe it.
void RecordFailure(UpstreamHealth& health, Instant now) noexcept;

/// @brief Expected latency of the next answer.
///
/// An old measurement fades towards `typical` within seconds, so that an
/// upstream that was slow is tried again.
[[nodiscard]] Duration ExpectedLatency(const UpstreamHealth& health,
                                       Duration typical,
                                       Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_UPSTREAM_HEALTH_H_
