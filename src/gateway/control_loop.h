#ifndef CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_
#define CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/capacity_shares.h"
#include "gateway/daemon_prober.h"
#include "gateway/evacuation_control.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_options.h"
#include "gateway/rollout_control.h"
#include "gateway/rollout_exchange.h"
#include "gateway/store_follower.h"
#include "gateway/unusable_objects.h"
#include "http/client.h"
#include "mirror/daemon_record.h"
#include "traffic/replica_directory.h"
#include "traffic/traffic_view.h"

namespace clementinerill::gateway {

/// @brief The control plane of a daemon, run on its own thread: builds the
/// views that the traffic thread uses from the local copies of the store.
class ControlLoop {
 public:
  using Publish =
      std::function<void(std::shared_ptr<const traffic::TrafficView>)>;

  using PublishShares =
      std::function<void(const std::vector<traffic::VersionShare>&)>;

  ControlLoop(http::EventLoop& loop,
              const GatewayOptions& options,
              GatewayMetrics& metrics,
              Publish publish,
              PublishShares publish_shares);

  void Start();

  /// @brief Records the version comparison that this daemon's traffic gives for
  /// a rollout.
  void RecordEvidence(const traffic::VersionComparison& evidence);

  /// @brief What daemons share about replicas.
  [[nodiscard]] CapacityShares& Capacities() noexcept { return capacities_; }

 private:
  void OnChanges(const std::string& kind, const mirror::KindChanges& changes);
  void ApplyChanges(const std::string& kind,
                    const mirror::KindChanges& changes);
  void ApplyConfiguration(const StoredObject& object);
  void ApplyReplicaChanges(const mirror::KindChanges& changes);
  void ApplyReplicaList(const std::vector<StoredObject>& objects);
  void ApplyReplica(const StoredObject& object);
  void AddUnusable(const std::string& kind,
                   const StoredObject& object,
                   const Error& error);
  void ApplyDaemonChanges(const mirror::KindChanges& changes);
  void UpdateDaemonNames();
  void UpdateAggregators();
  [[nodiscard]] EvidenceHandlers MakeEvidenceHandlers();
  [[nodiscard]] mirror::EvidenceReport OwnReport() const;
  void OnReport(const mirror::EvidenceReport& report);
  void RecordReport(const std::string& process,
                    const std::vector<mirror::RolloutEvidence>& evidence,
                    bool is_direct);
  void JudgeRollouts();
  void DeleteDaemonRecord(const mirror::DaemonRecord& daemon);
  void Register();
  void OnRegistered(const http::ClientResponse& reply);
  void UpdateRegistration();
  void RetryRegistration(int status);
  void WriteOwnRecord(const std::string& method,
                      const std::string& target,
                      std::function<void(const http::ClientResponse&)> handler);
  void PublishView();
  void Tick();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  const Publish publish_;
  const PublishShares publish_shares_;
  StoreFollower follower_;
  UnusableObjects unusable_;
  RolloutControl rollouts_;
  CapacityShares capacities_;
  RolloutExchange exchange_;
  int judgements_ = 0;  ///< Since the start; every second one sends a report.
  DaemonProber prober_;
  http::Client writer_;
  http::Client deleter_;
  bool deleting_ = false;
  std::shared_ptr<const traffic::TrafficConfiguration> configuration_;
  traffic::ReplicaDirectory directory_;
  EvacuationControl evacuations_;
  std::map<std::string, mirror::DaemonRecord> daemons_;
  /// Those of `daemons_` that gather queries for others.
  std::shared_ptr<const std::vector<traffic::Aggregator>> aggregators_;
  std::shared_ptr<const std::vector<std::string>> daemon_names_;
  bool registering_ = false;  ///< A write of the own record is in flight.
  /// Since when the list has the own record.
  std::optional<Instant> registered_since_;
  /// Era in which the store accepted the own record, until it is gone.
  std::optional<int64_t> registered_era_;
  bool replicas_known_ = false;
  bool rollouts_known_ = false;
  int registration_failures_ = 0;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_
