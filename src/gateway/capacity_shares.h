#ifndef CLEMENTINERILL_GATEWAY_CAPACITY_SHARES_H_
#define CLEMENTINERILL_GATEWAY_CAPACITY_SHARES_H_

#include <functional>

#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "capacity/shared_estimate.h"
#include "mirror/capacity_report.h"

namespace clementinerill::gateway {

/// @brief Shares what daemons learn of replicas, along the messages of rollout
/// evidence. Belongs to the control thread.
///
/// Daemons report to the relay that they follow and get the merged estimates of
/// all daemons with its replies; relays exchange those of their followers.
class CapacityShares {
 public:
  using Estimates = std::vector<capacity::SharedEstimate>;
  using Reports = std::vector<mirror::CapacityReport>;
  using Publish = std::function<void(const Estimates&)>;

  explicit CapacityShares(std::string process) : process_(std::move(process)) {}

  /// @brief Sets the function that hands the estimates of all daemons to the
  /// traffic thread.
  void SetPublish(Publish publish) { publish_ = std::move(publish); }

  /// @brief Records what this daemon has learned, and publishes what all have.
  void RecordOwn(Estimates estimates, Instant now);

  /// @brief Records the report of another process; `is_direct` if it reports to
  /// this daemon alone.
  void RecordReport(const std::string& process,
                    const Reports& reports,
                    bool is_direct,
                    Instant now);

  /// @brief Records the merged estimates that the relay sent.
  void RecordSums(const Reports& reports, Instant now);

  /// @brief What this daemon has learned itself.
  [[nodiscard]] Reports Own(Instant now) const;

  /// @brief Merged over this daemon and those that report to it.
  [[nodiscard]] Reports Direct(Instant now) const;

  /// @brief Merged over all daemons.
  [[nodiscard]] Reports Sums(Instant now) const;

 private:
  const std::string process_;
  Publish publish_;
  capacity::FleetEstimates fleet_;
  /// The last report of a relay, as that of one process.
  capacity::FleetEstimates relayed_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CAPACITY_SHARES_H_
