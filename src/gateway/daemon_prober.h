#ifndef CLEMENTINERILL_GATEWAY_DAEMON_PROBER_H_
#define CLEMENTINERILL_GATEWAY_DAEMON_PROBER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "mirror/daemon_liveness.h"

namespace clementinerill::gateway {

/// @brief Probes the daemons selected by `mirror::PlanProbes` one after the
/// other, and reports those that have not answered for too long.
///
/// Without it, permanently removed daemons would stay in the list that limits
/// and relay roles are distributed over.
class DaemonProber {
 public:
  using OnExpired = std::function<void(const mirror::DaemonRecord&)>;

  /// @param on_expired called in every round while the daemon stays listed.
  DaemonProber(http::EventLoop& loop, OnExpired on_expired)
      : loop_(loop), on_expired_(std::move(on_expired)) {}

  void Start();

  /// @brief Sets the registered daemons. They determine which of them this
  /// daemon, `self`, probes.
  void SetDaemons(const std::vector<mirror::DaemonRecord>& daemons,
                  const std::string& self);

 private:
  void ScheduleProbe();
  void ProbeNext();
  void OnProbeResult(const mirror::DaemonRecord& daemon, bool answered);

  http::EventLoop& loop_;
  const OnExpired on_expired_;
  mirror::ProbePlan plan_;
  size_t next_ = 0;
  mirror::DaemonLiveness liveness_;
  std::unique_ptr<http::Client> client_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_DAEMON_PROBER_H_
