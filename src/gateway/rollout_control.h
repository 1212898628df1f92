#ifndef CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_
#define CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/gateway_options.h"
#include "http/client.h"
#include "mirror/kind_changes.h"
#include "mirror/rollout_evidence.h"
#include "traffic/fleet_comparison.h"

namespace clementinerill::gateway {

/// @brief The orders of rollouts and the verdicts of this daemon about them.
///
/// Any daemon may write a verdict. Writes are conditional, so the first one
/// counts and a late one cannot replace it.
class RolloutControl {
 public:
  RolloutControl(http::EventLoop& loop, const GatewayOptions& options);

  /// @brief Takes changes of the orders or of their status.
  void Take(const mirror::KindChanges& changes);

  [[nodiscard]] std::vector<traffic::RolloutOrder> Orders() const;

  /// @brief Takes what a daemon saw of a rollout, and writes a verdict when the
  /// evidence of all daemons that report here allows one.
  ///
  /// Repeated while the order stays in progress, so a write that fails is
  /// repeated too. Only with `may_complete` is a good version completed.
  void TakeEvidence(const std::string& daemon,
                    const traffic::VersionComparison& evidence,
                    bool may_complete,
                    Instant now);

  /// @brief Evidence of this daemon about the rollouts in progress.
  [[nodiscard]] std::vector<mirror::RolloutEvidence> OwnEvidence() const;

 private:
  struct KnownOrder {
    traffic::RolloutOrder order_;
    int64_t revision_ = 0;
    traffic::FleetComparison evidence_;
  };

  void Decide(const KnownOrder& known,
              const traffic::VersionComparison& sum,
              traffic::RolloutState state);

  const GatewayOptions& options_;
  http::Client writer_;
  std::map<std::string, KnownOrder> orders_;  ///< By service.
  bool writing_ = false;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_
