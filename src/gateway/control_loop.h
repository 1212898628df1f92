#ifndef CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_
#define CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_metrics.h"
#include "gateway/gateway_options.h"
#include "gateway/kind_watch.h"
#include "gateway/store_caller.h"
#include "traffic/replica_directory.h"
#include "traffic/traffic_view.h"

namespace clementinerill::gateway {

/// @brief The control thread: follows the store and publishes views.
class ControlLoop {
 public:
  using Publish =
      std::function<void(std::shared_ptr<const traffic::TrafficView>)>;

  ControlLoop(http::EventLoop& loop,
              const GatewayOptions& options,
              GatewayMetrics& metrics,
              Publish publish);

  void Start();

 private:
  void StartConfiguration();
  void StartReplicas();
  void StartEvacuations();
  void TakeConfiguration(const StoredObject& object);
  void TakeReplicas(const std::vector<StoredObject>& objects);
  void TakeReplicaEvent(const StoreEvent& event);
  void Register();
  void CountDaemons();
  void PublishView();
  void Tick();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  GatewayMetrics& metrics_;
  const Publish publish_;
  StoreCaller writer_;
  StoreCaller reader_;
  std::vector<std::unique_ptr<KindWatch>> watches_;
  std::shared_ptr<const traffic::TrafficConfiguration> configuration_;
  traffic::ReplicaDirectory directory_;
  std::set<std::string> evacuated_;
  bool replicas_known_ = false;
  int daemons_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CONTROL_LOOP_H_
