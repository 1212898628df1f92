#ifndef CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_
#define CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/forward_declarations.h"
#include "gateway/gateway_options.h"
#include "http/client.h"
#include "mirror/kind_changes.h"
#include "mirror/rollout_evidence.h"
#include "traffic/fleet_comparison.h"

namespace clementinerill::gateway {

/// @brief Tracks rollout orders and writes the verdicts of this daemon on them.
///
/// Any daemon may write a verdict. Writes are conditional on the revision, so
/// the first verdict stands and a later one cannot replace it.
class RolloutControl {
 public:
  RolloutControl(http::EventLoop& loop, const GatewayOptions& options);

  /// @brief Applies changes of orders or of their status. An order that cannot
  /// be decoded is added to `unusable` and leaves the known one in force.
  void ApplyChanges(const mirror::KindChanges& changes,
                    UnusableObjects& unusable);

  [[nodiscard]] std::vector<traffic::RolloutOrder> Orders() const;

  /// @brief Records the evidence of a daemon, and writes a verdict once the
  /// evidence of all daemons that report here is sufficient.
  ///
  /// Called repeatedly while the order is in progress, which also retries a
  /// failed write. A rollout is only completed with `may_complete`.
  void RecordEvidence(const std::string& daemon,
                      const traffic::VersionComparison& evidence,
                      bool may_complete,
                      Instant now);

  /// @brief Returns this daemon's evidence on the rollouts in progress.
  [[nodiscard]] std::vector<mirror::RolloutEvidence> OwnEvidence() const;

 private:
  struct TrackedOrder {
    traffic::RolloutOrder order_;
    int64_t revision_ = 0;
    traffic::FleetComparison evidence_;
  };

  void WriteVerdict(const TrackedOrder& known,
                    const traffic::VersionComparison& sum,
                    traffic::RolloutState state,
                    Instant now);
  /// Logs this daemon's evidence when an order has been decided.
  void LogDecision(const TrackedOrder& known, Instant now) const;

  const GatewayOptions& options_;
  http::Client writer_;
  std::map<std::string, TrackedOrder> orders_;  ///< By service.
  bool writing_ = false;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_
