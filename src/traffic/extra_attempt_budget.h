#ifndef CLEMENTINERILL_TRAFFIC_EXTRA_ATTEMPT_BUDGET_H_
#define CLEMENTINERILL_TRAFFIC_EXTRA_ATTEMPT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief Bounds on attempts beyond the first of each request to a service.
///
/// Source: the settings. Over all daemons and in any window, extra attempts
/// stay within `ratio_` times the requests plus `slack_`.
struct ExtraAttemptLimit {
  double ratio_ = 0.2;
  double slack_ = 20;
  Duration window_ = std::chrono::seconds(10);
};

/// @brief What an extra attempt is for; a hedge leaves room for retries.
enum class ExtraAttemptUse {
  kHedge,
  kRetry,
};

/// @brief Counts requests and extra attempts of this daemon to one service in
/// a sliding window, and keeps to its part of the limit without messages.
///
/// A daemon may spend the ratio on its own requests and an equal part of the
/// slack, so the sum over all daemons keeps the limit whatever they know of
/// each other.
class ExtraAttemptBudget {
 public:
  void RecordRequest(Instant now);

  /// @brief Records an extra attempt if the limit allows it; whether it does.
  [[nodiscard]] bool TrySpend(const ExtraAttemptLimit& limit,
                              int daemons,
                              ExtraAttemptUse use,
                              Instant now);

  [[nodiscard]] int64_t SpentCount() const noexcept { return extras_; }

 private:
  static constexpr size_t kBuckets = 50;

  struct Bucket {
    int64_t index_ = -1;  ///< Number of the bucket's span since the epoch.
    int32_t requests_ = 0;
    int32_t extras_ = 0;
  };

  void Expire(Duration window, Instant now);
  [[nodiscard]] Bucket& Current(Instant now);

  std::array<Bucket, kBuckets> buckets_{};
  Duration span_ = std::chrono::milliseconds(200);  ///< Of one bucket.
  int64_t requests_ = 0;
  int64_t extras_ = 0;
  int64_t oldest_ = -1;  ///< Lowest index that still counts.
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_EXTRA_ATTEMPT_BUDGET_H_
