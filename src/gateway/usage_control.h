#ifndef CLEMENTINERILL_GATEWAY_USAGE_CONTROL_H_
#define CLEMENTINERILL_GATEWAY_USAGE_CONTROL_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/gateway_options.h"
#include "gateway/usage_exchange.h"
#include "gateway/usage_reporter.h"
#include "traffic/traffic_configuration.h"
#include "traffic/usage_status.h"

namespace clementinerill::gateway {

/// @brief The part of a daemon's control loop that counts and reports usage.
class UsageControl {
 public:
  using Publish = std::function<void(const traffic::UsageStatus&)>;

  /// `options` must have settings of usage and outlive this object.
  UsageControl(http::EventLoop& loop,
               const GatewayOptions& options,
               GatewayMetrics& metrics);

  void Start();
  /// @brief Sets the receiver of what the status page shows.
  void SetPublish(Publish publish) { publish_ = std::move(publish); }
  void SetConfiguration(const traffic::TrafficConfiguration& configuration);
  void SetDaemons(const std::map<std::string, mirror::DaemonRecord>& daemons,
                  const std::vector<mirror::DaemonRecord>& other_watchers,
                  bool is_watcher);

  [[nodiscard]] UsageExchange& Exchange() { return exchange_; }
  [[nodiscard]] UsageReporter& Reporter() { return reporter_; }

 private:
  void Tick();

  http::EventLoop& loop_;
  const std::chrono::milliseconds max_settle_;
  UsageExchange exchange_;
  UsageReporter reporter_;
  Publish publish_;
  traffic::UsageStatus published_;
  bool is_watcher_ = false;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_USAGE_CONTROL_H_
