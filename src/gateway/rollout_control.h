#ifndef CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_
#define CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/forward_declarations.h"
#include "gateway/gateway_options.h"
#include "http/client.h"
#include "mirror/kind_changes.h"
#include "mirror/rollout_evidence.h"
#include "traffic/fleet_comparison.h"
#include "traffic/fleet_state.h"
#include "traffic/replica_directory.h"

namespace clementinerill::gateway {

/// @brief The part of this daemon in the judgement of rollouts.
struct FleetRole {
  int daemons_ = 1;  ///< Number of daemons in the fleet.
  /// Whether this daemon judges for the fleet; the others only roll back.
  bool is_judge_ = false;
};

/// @brief Tracks rollout orders, the evidence of all daemons about them, and
/// writes the verdicts.
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

  /// @brief The orders, with those that were withdrawn before they were
  /// completed as rolled back.
  [[nodiscard]] std::vector<traffic::RolloutOrder> Orders() const;

  /// @brief Forgets withdrawn orders whose target version has no replicas left,
  /// or is the only one that has some.
  void ForgetWithdrawn(const traffic::ReplicaDirectory& directory);

  /// @brief Whether an order is in progress or its verdict has to be written.
  [[nodiscard]] bool HasOpenOrder() const;

  /// @brief Name of this process in reports. Differs between processes of one
  /// daemon, as their counts add up.
  [[nodiscard]] const std::string& Process() const noexcept { return process_; }

  /// @brief Records what this daemon saw.
  void RecordOwn(const traffic::VersionComparison& evidence, Instant now);

  /// @brief Records evidence of another process; `is_direct` if it reports to
  /// this daemon only. Returns whether an order is older than it was known to
  /// be.
  bool RecordReport(const std::string& process,
                    const std::vector<mirror::RolloutEvidence>& evidence,
                    bool is_direct,
                    Instant now);

  /// @brief Records the sums over all daemons, as received from a relay.
  void RecordSums(const std::vector<mirror::RolloutEvidence>& sums,
                  Instant now);

  /// @brief This daemon's evidence on the rollouts in progress.
  [[nodiscard]] std::vector<mirror::RolloutEvidence> OwnEvidence(
      Instant now) const;

  /// @brief The evidence of this daemon and of those that report to it.
  [[nodiscard]] std::vector<mirror::RolloutEvidence> DirectEvidence(
      Instant now) const;

  /// @brief The evidence of all daemons.
  [[nodiscard]] std::vector<mirror::RolloutEvidence> Sums(Instant now) const;

  /// @brief Writes the verdicts that are due; also retries failed writes.
  /// Returns the shares of the target versions.
  std::vector<traffic::VersionShare> Decide(const FleetRole& role, Instant now);

 private:
  struct TrackedOrder {
    traffic::RolloutOrder order_;
    int64_t revision_ = 0;
    traffic::FleetComparison evidence_;
    /// Over all daemons, if this one follows a relay.
    std::optional<traffic::FleetComparison::Report> sum_;
    std::optional<traffic::RolloutState> due_;  ///< Decided, not yet in force.
    Instant next_write_{};
    int writes_ = 0;  ///< Of the verdict that is due.
    /// Removed from the store before it was completed. Replicas of its target
    /// version may remain for a while.
    bool is_withdrawn_ = false;
    int64_t era_ = 0;  ///< Era of the store in which it was last seen.
    /// The store lost the verdict when it returned from an older copy.
    bool lost_verdict_ = false;
  };

  void Remove(const std::string& service, bool is_new_era);
  /// Continues `known` with an order of a later era: the operator has repeated
  /// it, or its last status was lost.
  static void ContinueOrder(const TrackedOrder& known, TrackedOrder& order);
  /// Returns the order that the evidence is about, or null.
  TrackedOrder* FindOpenOrder(const traffic::RolloutOrder& order);
  [[nodiscard]] traffic::VersionComparison SumOf(const TrackedOrder& known,
                                                 Instant now) const;
  /// The requests of this daemon in the load trial of an order.
  [[nodiscard]] int64_t TrialRequests(const TrackedOrder& known,
                                      const traffic::VersionComparison& sum,
                                      Instant now) const;
  void WriteVerdict(TrackedOrder& known,
                    const traffic::VersionComparison& sum,
                    traffic::RolloutState state,
                    Instant now);
  /// Logs this daemon's evidence when an order has been decided.
  void LogDecision(const TrackedOrder& known, Instant now) const;

  const GatewayOptions& options_;
  const std::string process_;
  http::Client writer_;
  std::map<std::string, TrackedOrder> orders_;  ///< By service.
  bool writing_ = false;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_ROLLOUT_CONTROL_H_
