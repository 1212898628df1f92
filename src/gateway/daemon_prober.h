#ifndef CLEMENTINERILL_GATEWAY_DAEMON_PROBER_H_
#define CLEMENTINERILL_GATEWAY_DAEMON_PROBER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "mirror/daemon_liveness.h"

namespace clementinerill::gateway {

/// @brief Probes the daemons that `mirror::PlanProbes` names, one after the
/// other, and reports those that are gone.
///
/// Daemons that were removed for good would otherwise stay in the list by which
/// limits and relays are shared.
class DaemonProber {
 public:
  using OnGone = std::function<void(const mirror::DaemonRecord&)>;

  /// @param on_gone called again in each round while the daemon stays listed.
  DaemonProber(http::EventLoop& loop, OnGone on_gone)
      : loop_(loop), on_gone_(std::move(on_gone)) {}

  void Start();

  /// @brief Takes the registered daemons, by which this one knows its part.
  void SetDaemons(const std::vector<mirror::DaemonRecord>& daemons,
                  const std::string& self);

 private:
  void ProbeLater();
  void ProbeNext();
  void OnProbed(const mirror::DaemonRecord& daemon, bool answered);

  http::EventLoop& loop_;
  const OnGone on_gone_;
  mirror::ProbePlan plan_;
  size_t next_ = 0;
  mirror::DaemonLiveness liveness_;
  std::unique_ptr<http::Client> client_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_DAEMON_PROBER_H_
