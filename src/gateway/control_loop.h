#ifndef CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_
#define CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/daemon_prober.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_options.h"
#include "gateway/rollout_control.h"
#include "gateway/store_follower.h"
#include "http/client.h"
#include "mirror/daemon_record.h"
#include "traffic/replica_directory.h"
#include "traffic/traffic_view.h"

namespace clementinerill::gateway {

/// @brief The control thread: turns the copies of the store into views for the
/// traffic thread.
class ControlLoop {
 public:
  using Publish =
      std::function<void(std::shared_ptr<const traffic::TrafficView>)>;

  ControlLoop(http::EventLoop& loop,
              const GatewayOptions& options,
              GatewayMetrics& metrics,
              Publish publish);

  void Start();

  /// @brief Takes what this daemon's traffic shows about a rollout.
  void TakeEvidence(const traffic::VersionComparison& evidence) {
    TakeEvidenceOf(options_.name_, evidence);
  }

 private:
  void OnChanges(const std::string& kind, const mirror::KindChanges& changes);
  void TakeConfiguration(const StoredObject& object);
  void TakeReplicas(const mirror::KindChanges& changes);
  void TakeReplicaList(const std::vector<StoredObject>& objects);
  void TakeReplica(const StoredObject& object);
  void TakeEvacuations(const mirror::KindChanges& changes);
  void TakeDaemons(const mirror::KindChanges& changes);
  void TakeEvidenceOf(const std::string& daemon,
                      const traffic::VersionComparison& evidence);
  void TakeReaderEvidence(const mirror::RelayRequest& request);
  void DeleteDaemon(const mirror::DaemonRecord& daemon);
  void Register();
  void OnRegistered(const http::ClientResponse& reply);
  void UpdateRegistration();
  void RegisterLater(int status);
  void WriteOwnRecord(const std::string& method,
                      const std::string& target,
                      std::function<void(const http::ClientResponse&)> handler);
  void PublishView();
  void Tick();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  const Publish publish_;
  StoreFollower follower_;
  RolloutControl rollouts_;
  DaemonProber prober_;
  http::Client writer_;
  http::Client deleter_;
  bool deleting_ = false;
  std::shared_ptr<const traffic::TrafficConfiguration> configuration_;
  traffic::ReplicaDirectory directory_;
  std::set<std::string> evacuated_;
  std::map<std::string, mirror::DaemonRecord> daemons_;
  bool registering_ = false;  ///< A write of the own record is running.
  bool was_listed_ = false;   ///< The list held the record of this daemon.
  bool replicas_known_ = false;
  int register_failures_ = 0;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_
