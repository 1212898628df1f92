#ifndef CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_
#define CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/gateway_options.h"
#include "http/client.h"
#include "mirror/kind_changes.h"
#include "traffic/rollout_order.h"

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

  /// @brief Writes that a rollout is completed or rolled back, unless it is
  /// decided already or a write is on its way. Repeated by the caller while
  /// the order stays in progress.
  void Decide(const std::string& service, traffic::RolloutState state);

 private:
  struct KnownOrder {
    traffic::RolloutOrder order_;
    int64_t revision_ = 0;
  };

  const GatewayOptions& options_;
  http::Client writer_;
  std::map<std::string, KnownOrder> orders_;  ///< By service.
  bool writing_ = false;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_
