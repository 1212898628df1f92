#ifndef CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_
#define CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/daemon_prober.h"
#include "gateway/duty_session.h"
#include "gateway/evacuation_control.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_options.h"
#include "gateway/rollout_control.h"
#include "gateway/rollout_exchange.h"
#include "gateway/store_follower.h"
#include "gateway/unusable_objects.h"
#include "gateway/usage_control.h"
#include "http/client.h"
#include "mirror/daemon_record.h"
#include "traffic/replica_directory.h"
#include "traffic/traffic_view.h"
#include "traffic/view_proof_limit.h"

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

  /// @brief Sets the receiver of proofs of the configuration, before `Start`. A
  /// proof is passed on after the view that it holds for.
  void SetOnProof(ConfigurationProof::OnProof on_proof) {
    follower_.SetOnProof(std::move(on_proof));
  }

  /// @brief Applies the maximum age of the proof in reloaded settings.
  void SetMaxViewAge(std::optional<Duration> max_view_age) {
    max_view_age_ = max_view_age;
    UpdateProofLimit();
  }

  /// @brief Records the version comparison that this daemon's traffic gives for
  /// a rollout.
  void RecordEvidence(const traffic::VersionComparison& evidence);

  /// @brief Reports of usage; null if they are off.
  [[nodiscard]] UsageControl* Usage() { return usage_.get(); }

  /// @brief Records requests of organisations that the traffic thread counted.
  void RecordUsage(const usage::Batch& batch);

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
  [[nodiscard]] EvidenceHandlers MakeEvidenceHandlers();
  [[nodiscard]] mirror::EvidenceReport OwnReport() const;
  void RecordReport(const std::string& process,
                    const std::vector<mirror::RolloutEvidence>& evidence,
                    bool is_direct);
  void StartJudgements();
  void JudgeRollouts();
  void DeleteDaemonRecord(const mirror::DaemonRecord& daemon);
  void Register();
  void OnRegistered(const http::ClientResponse& reply);
  void UpdateRegistration();
  void RetryRegistration(int status);
  void WriteOwnRecord(const std::string& method,
                      const std::string& target,
                      std::function<void(const http::ClientResponse&)> handler);
  void UpdateProofLimit() {
    follower_.SetMaxProofAge(
        traffic::RequiredProofAge(max_view_age_, configuration_.get()));
  }
  void PublishView();
  void Tick();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  std::optional<Duration> max_view_age_;
  const Publish publish_;
  const PublishShares publish_shares_;
  StoreFollower follower_;
  UnusableObjects unusable_;
  RolloutControl rollouts_;
  RolloutExchange exchange_;
  int judgements_ = 0;  ///< Since the start; every second one sends a report.
  std::unique_ptr<UsageControl> usage_;  ///< Null: usage is not reported.
  DaemonProber prober_;
  std::optional<DutySession> duty_;  ///< Unset if the settings name no duty.
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
