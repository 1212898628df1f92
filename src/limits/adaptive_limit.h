#ifndef CLEMENTINERILL_LIMITS_ADAPTIVE_LIMIT_H_
#define CLEMENTINERILL_LIMITS_ADAPTIVE_LIMIT_H_

#include "base/time.h"
#include "limits/latency_trend.h"

namespace clementinerill {

/// @brief Multiplicative decrease of the raw limit.
inline constexpr double kLimitDecreaseFactor = 0.7;

/// @brief Additive increase per response, divided by the raw limit: raising the
/// limit by one takes about ten responses for each request already allowed.
inline constexpr double kLimitIncrease = 0.1;

/// @brief Lower bound of the raw limit. It is below one so that a decrease is
/// still recorded when the share is a single slot.
inline constexpr double kMinRawLimit = 0.5;

/// @brief Adaptive (AIMD) concurrency limit of one replica, driven by shed
/// requests and latency.
///
/// The limit decreases at most once per round trip: responses and sheds of
/// requests sent before the last decrease are ignored, since they result from
/// the previous limit.
struct AdaptiveLimit {
  double raw_limit_ = 1;  ///< The limit before rounding and clamping.
  bool reduced_ = false;  ///< Set by a decrease, cleared at the full share.
  Instant last_decrease_ = Instant::min();
  LatencyTrend latency_;
};

/// @brief The limit in requests: at most `share`, and at least one unless the
/// share is zero.
[[nodiscard]] int EffectiveLimit(const AdaptiveLimit& limit,
                                 int share) noexcept;

/// @brief Raises a limit that is not reduced to a new share. A reduced limit
/// recovers only through responses.
void RaiseToShare(AdaptiveLimit& limit, int share) noexcept;

/// @brief Records that the replica shed a request sent at `started`.
void RecordShed(AdaptiveLimit& limit,
                int share,
                Instant started,
                Instant now) noexcept;

/// @brief Records a latency sample without increasing the limit. Decreases the
/// limit when the median of a window has risen.
void RecordLatency(AdaptiveLimit& limit,
                   int share,
                   Instant started,
                   Instant now) noexcept;

/// @brief Records the response to a request sent at `started`: adds its latency
/// and increases the limit unless latency is rising.
void RecordResponse(AdaptiveLimit& limit,
                    int share,
                    Instant started,
                    Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_ADAPTIVE_LIMIT_H_
