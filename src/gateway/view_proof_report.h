#ifndef CLEMENTINERILL_GATEWAY_VIEW_PROOF_REPORT_H_
#define CLEMENTINERILL_GATEWAY_VIEW_PROOF_REPORT_H_

#include "gateway/gateway_metrics.h"
#include "traffic/fleet_state.h"

namespace clementinerill::gateway {

/// @brief Reports the age of the proof of the view: gauge, and a log line when
/// a required proof expires or is renewed.
class ViewProofReport {
 public:
  explicit ViewProofReport(GatewayMetrics& metrics) : metrics_(metrics) {}

  /// @brief Called periodically.
  void Update(const traffic::FleetState& fleet, BootInstant now);

 private:
  GatewayMetrics& metrics_;
  bool is_expired_ = false;  ///< Since a required proof was last seen.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_VIEW_PROOF_REPORT_H_
