#ifndef CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_
#define CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "traffic/attempt_outcome.h"
#include "traffic/latency_histogram.h"
#include "traffic/rollout_order.h"

namespace clementinerill::traffic {

/// @brief Judged attempts at one version.
struct VersionOutcomes {
  int64_t judged_ = 0;
  int64_t bad_ = 0;  ///< Failed, or several times slower than usual.
};

/// @brief Outcomes of both versions in one period of an order.
struct PeriodOutcomes {
  VersionOutcomes target_;
  VersionOutcomes current_;
};

/// Number of equal periods into which the length of an order is divided.
/// Outcomes are compared within a period, so that neither a fault that appears
/// late nor a disruption of the current version is averaged away.
inline constexpr size_t kPeriods = 16;

/// @brief Outcomes on one route, by period. The last period also has those
/// after the end of the order.
using RouteOutcomes = std::array<PeriodOutcomes, kPeriods>;

/// Number of equal parts of a load trial. The load grows while it lasts, so
/// that the bad responses of a version that is bad under load come at its end.
inline constexpr size_t kTrialSteps = 4;

/// @brief What the target version did in its load trial.
///
/// For a short time the target version gets all requests, as many as the users
/// allow an undecided version: some versions are bad under load only, and on
/// completion everything depends on them.
struct LoadTrial {
  int64_t attempts_ = 0;
  /// By time; also part of the outcomes of the routes.
  std::array<VersionOutcomes, kTrialSteps> steps_{};
};

/// @brief Evidence about the target and the current version of a rollout.
struct VersionComparison {
  RolloutOrder order_;
  /// Attempts that were sent, whether they are evidence or not.
  int64_t target_attempts_ = 0;
  int64_t current_attempts_ = 0;
  LoadTrial trial_;  ///< Its attempts are part of `target_attempts_`.
  std::map<std::string, RouteOutcomes, std::less<>> routes_;
  /// Recent responses of the current version, by route.
  std::map<std::string, LatencyHistogram, std::less<>> latencies_;
  bool is_bad_ = false;  ///< The target version was found to be bad.
  int daemons_ = 1;      ///< Number of daemons that contributed.
};

/// @brief What the evidence says of the target version.
enum class VersionStanding {
  kUndecided,
  kGood,  ///< As good as the current version.
  kBad,   ///< Clearly worse than the current version.
};

/// @brief Counts an attempt that is sent to the target or current version.
void RecordVersionAttempt(VersionComparison& comparison,
                          bool is_target,
                          Instant now) noexcept;

/// @brief Whether `now` is in the time of the load trial of an order.
[[nodiscard]] bool IsInLoadTrial(const RolloutOrder& order,
                                 Instant now) noexcept;

/// @brief The requests that the target version gets in its load trial.
///
/// @param sum evidence of all daemons that this one knows of.
/// @param attempts part of its attempts that were sent by the daemons in
/// question, which get the same part of the requests.
[[nodiscard]] double LoadTrialRequests(const VersionComparison& sum,
                                       int64_t attempts,
                                       Instant now) noexcept;

/// @brief One ended attempt, as evidence about its version.
struct VersionAttempt {
  bool is_target_ = false;
  bool is_cold_ = false;  ///< The replica was warming up.
  AttemptOutcome outcome_ = AttemptOutcome::kAnswered;
  Duration took_{};
  /// Usual latency of the route at the current version; zero if unknown.
  Duration usual_latency_{};
};

/// @brief Records the outcome of an attempt.
///
/// Ignores attempts that are no evidence: requests that did not run, attempts
/// that this side cancelled early, and slow responses of a cold replica.
void RecordVersionOutcome(VersionComparison& comparison,
                          const std::string& route,
                          const VersionAttempt& attempt,
                          Instant now);

/// @brief Sum of the outcomes of one period over all routes.
[[nodiscard]] PeriodOutcomes SumOfPeriod(const VersionComparison& comparison,
                                         size_t period) noexcept;

/// @brief Sum of the outcomes of the load trial.
[[nodiscard]] VersionOutcomes SumOfTrial(const LoadTrial& trial) noexcept;

/// @brief Sum of all outcomes.
[[nodiscard]] PeriodOutcomes SumOfOutcomes(
    const VersionComparison& comparison) noexcept;

/// @brief Compares the versions, on each route and on all of them.
[[nodiscard]] VersionStanding StandingOf(
    const VersionComparison& comparison) noexcept;

/// @brief The decision that is due at `now` on a rollout in progress, if any.
///
/// A version found bad is rolled back at once. It is completed shortly before
/// the end of the order, if the evidence shows that it is good. Otherwise it is
/// rolled back at the end: without evidence a version has not earned all
/// requests, and on completion the replicas of the current one stop.
[[nodiscard]] std::optional<RolloutState> DueDecision(
    const VersionComparison& comparison,
    Instant now) noexcept;

/// @brief The share of requests for the target version at `now`.
///
/// The number of requests that the target version gets until it is judged is
/// limited, not its share alone: a quiet service gives it most of its requests,
/// as a few percent of them would be no evidence in time. Those of the load
/// trial come besides.
///
/// @param sum evidence of all daemons that this one knows of.
/// @param daemons number of daemons in the fleet.
[[nodiscard]] double TargetShare(const VersionComparison& sum,
                                 int daemons,
                                 Instant now) noexcept;

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_
