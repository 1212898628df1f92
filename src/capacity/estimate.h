#ifndef CLEMENTINERILL_CAPACITY_ESTIMATE_H_
#define CLEMENTINERILL_CAPACITY_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "base/time.h"

namespace clementinerill::capacity {

/// @brief What a replica reports of itself with a response.
struct Report {
  int running_ = 0;
  int waiting_ = 0;
  int slots_ = 1;
  int pace_ = 100;  ///< Of its machine at this moment; higher is slower.
};

/// @brief A request that a replica answered.
struct Observation {
  Instant sent_{};
  Duration median_{};  ///< Median latency of its route; zero if unknown.
};

/// @brief Latency at a share of the slots in use.
struct LoadLevel {
  double log_ratio_ = 0;  ///< Logarithm of the mean latency ratio.
  double count_ = 0;      ///< Observations, up to a maximum.
};

/// @brief What is known of one replica; one per daemon and replica.
///
/// Kept apart are the lasting slowness, the median over several windows of
/// time, which a disturbance of a window or two does not change; how the
/// latency grows with the requests in progress; the pace of the moment, which
/// soon expires; and the number of requests up to which none is refused.
struct Estimate {
  static constexpr size_t kWindows = 5;
  static constexpr size_t kLevels = 4;

  bool is_learning_ = false;  ///< Whether the replica reports its pace.
  Report report_;             ///< The last one.
  Instant reported_at_{};
  double earlier_pace_ = 1;  ///< The highest of the last tenths of a second.
  Instant earlier_pace_at_{};
  double usual_busy_ = 0;  ///< Moving average of the requests in progress.

  Instant last_answer_{};    ///< Or refusal.
  Instant stall_over_at_{};  ///< When the last stall has no more effects.
  /// When all slots were last in use. A request that was in progress then may
  /// have waited for its slot.
  Instant full_at_{};

  double log_slowness_ = 0;  ///< Logarithm of the lasting slowness.
  /// Logarithms of the mean slowness of the last windows.
  std::array<double, kWindows> windows_{};
  size_t next_window_ = 0;
  Instant window_start_{};
  double window_sum_ = 0;     ///< Of logarithms, in the current window.
  double window_weight_ = 0;  ///< Of the sum.

  std::array<LoadLevel, kLevels> levels_{};
  double accepted_share_ = 1;  ///< Of the slots, as learned from refusals.
  double evidence_ = 0;        ///< Number of recent observations.
  Instant evidence_at_{};

  double shared_log_slowness_ = 0;    ///< As learned by all daemons.
  double shared_accepted_share_ = 1;  ///< As learned by all daemons.
  double shared_weight_ = 0;          ///< Number of their observations.
  Instant shared_at_{};               ///< When they were made.
};

/// @brief Records the report of a response or refusal, before its outcome.
void RecordReport(Estimate& estimate, const Report& report, Instant now);

/// @brief Records an answered request. Ignored unless the replica reports its
/// pace.
void RecordAnswer(Estimate& estimate,
                  const Observation& observation,
                  Instant now);

/// @brief Records that the replica refused a request for lack of capacity.
void RecordRefusal(Estimate& estimate, Instant now);

/// @brief Whether the estimate may be used: the replica reports its pace, and
/// did so within the last minute.
[[nodiscard]] bool IsLearned(const Estimate& estimate, Instant now);

/// @brief Returns the lasting latency of a request relative to that at other
/// replicas of the service; 1 if unknown. Decays to 1 without observations.
[[nodiscard]] double LastingSlowness(const Estimate& estimate, Instant now);

/// @brief Returns the number of requests in progress of all callers that the
/// replica usually has; decays to 0 without reports.
[[nodiscard]] double UsualBusy(const Estimate& estimate, Instant now);

/// @brief Returns the requests in progress that are expected now: those of the
/// last report at first, then the usual ones.
[[nodiscard]] double ExpectedBusy(const Estimate& estimate, Instant now);

/// @brief Returns the latency with `busy` requests in progress, relative to
/// that with none.
[[nodiscard]] double Slowdown(const Estimate& estimate, double busy, int slots);

/// @brief Returns the factor on latencies from the pace that was reported last;
/// 1 once the report has expired.
[[nodiscard]] double Pace(const Estimate& estimate, Instant now);

/// @brief Returns the number of recent observations of this daemon.
[[nodiscard]] double Evidence(const Estimate& estimate, Instant now);

/// @brief Returns the factor by which the pace explains the latency of the
/// answer to which the last report belongs; 1 if unknown.
[[nodiscard]] double RecentPace(const Estimate& estimate);

/// @brief Returns the number of requests in progress up to which a replica with
/// `slots` refuses none, from 1 to `slots`.
[[nodiscard]] double AcceptedRequests(const Estimate& estimate,
                                      int slots,
                                      Instant now);

/// @brief Returns the number of requests in progress that a replica with
/// `slots` handles well, from 1 to `slots`.
[[nodiscard]] double Capacity(const Estimate& estimate, int slots, Instant now);

}  // namespace clementinerill::capacity

#endif  // CLEMENTINERILL_CAPACITY_ESTIMATE_H_
