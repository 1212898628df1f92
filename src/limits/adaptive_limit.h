#ifndef CLEMENTINERILL_LIMITS_ADAPTIVE_LIMIT_H_
#define CLEMENTINERILL_LIMITS_ADAPTIVE_LIMIT_H_

#include "base/time.h"
#include "limits/latency_trend.h"

namespace clementinerill {

/// @brief Factor applied to the level at each decrease.
inline constexpr double kLimitDecrease = 0.7;

/// @brief Level gained per answer, divided by the level: one more concurrent
/// request costs about ten answers for each one already allowed.
inline constexpr double kLimitGrowth = 0.1;

/// @brief The level falls below one so that a reduction is still remembered
/// when the share is a single slot.
inline constexpr double kLowestLevel = 0.5;

/// @brief Concurrency limit of one replica that follows sheds and latency.
///
/// At most one decrease happens per round trip: answers and sheds of requests
/// sent before the last decrease are ignored, since they were caused by the
/// previous limit.
struct AdaptiveLimit {
  double level_ = 1;      ///< The limit before rounding and clamping.
  bool reduced_ = false;  ///< Set by a decrease, cleared at the full share.
  Instant last_decrease_ = Instant::min();
  LatencyTrend latency_;
};

/// @brief The limit in requests: at most `share`, and at least one unless the
/// share is zero.
[[nodiscard]] int LimitWithin(const AdaptiveLimit& limit, int share) noexcept;

/// @brief Raises an unreduced limit to a new share. A reduced limit recovers
/// through answered work only.
void FollowShare(AdaptiveLimit& limit, int share) noexcept;

/// @brief Records that the replica shed a request sent at `started`.
void RecordShed(AdaptiveLimit& limit,
                int share,
                Instant started,
                Instant now) noexcept;

/// @brief Records a latency without growth, decreasing the limit when the
/// median of a window has risen.
void RecordLatency(AdaptiveLimit& limit,
                   int share,
                   Instant started,
                   Instant now) noexcept;

/// @brief Records an answer to a request sent at `started`: its latency, and
/// growth unless latency is rising.
void RecordAnswer(AdaptiveLimit& limit,
                  int share,
                  Instant started,
                  Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_ADAPTIVE_LIMIT_H_
