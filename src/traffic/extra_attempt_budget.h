#ifndef CLEMENTINERILL_TRAFFIC_EXTRA_ATTEMPT_BUDGET_H_
#define CLEMENTINERILL_TRAFFIC_EXTRA_ATTEMPT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief Limit of retries and hedges of the requests to one service.
///
/// Read from the settings. Summed over all daemons, the extra attempts in any
/// window stay within `ratio_` times the requests plus `slack_`.
struct ExtraAttemptLimit {
  double ratio_ = 0.2;
  double slack_ = 20;
  Duration window_ = std::chrono::seconds(10);
};

/// @brief Purpose of an extra attempt. Hedges may use only part of the budget,
/// so that retries remain possible.
enum class ExtraAttemptUse {
  kHedge,
  kRetry,
};

/// @brief Budget of this daemon for extra attempts to one service, based on
/// the requests and extra attempts in a sliding window.
///
/// Each daemon may use the ratio of its own requests and an equal part of the
/// slack, so the sum over all daemons stays within the limit without messages
/// between them.
class ExtraAttemptBudget {
 public:
  void RecordRequest(Instant now);

  /// @brief Records an extra attempt if the limit allows it. Returns whether it
  /// was recorded.
  [[nodiscard]] bool TrySpend(const ExtraAttemptLimit& limit,
                              int daemons,
                              ExtraAttemptUse use,
                              Instant now);

  [[nodiscard]] int64_t SpentCount() const noexcept { return extras_; }

 private:
  static constexpr size_t kBuckets = 50;

  struct Bucket {
    int64_t index_ = -1;  ///< Bucket durations since the epoch; -1 is unused.
    int32_t requests_ = 0;
    int32_t extras_ = 0;
  };

  void ExpireBuckets(Duration window, Instant now);
  [[nodiscard]] Bucket& CurrentBucket(Instant now);

  std::array<Bucket, kBuckets> buckets_{};
  Duration bucket_span_ = std::chrono::milliseconds(200);
  int64_t requests_ = 0;
  int64_t extras_ = 0;
  int64_t oldest_index_ = -1;  ///< Lowest index inside the window.
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_EXTRA_ATTEMPT_BUDGET_H_
