#include "gateway/daemon_prober.h"

#include <algorithm>

#include "gateway/store_follower.h"

namespace clementinerill::gateway {
namespace {

// Minimum interval between probes, also used while no other daemon is known.
constexpr Duration kMinProbeInterval = std::chrono::seconds(2);
// A probe is answered immediately; the timeout allows for a busy CPU.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(1500);

}  // namespace

void DaemonProber::Start() {
  ScheduleProbe();
}

void DaemonProber::SetDaemons(const std::vector<mirror::DaemonRecord>& daemons,
                              const std::string& self) {
  plan_ = mirror::PlanProbes(daemons, self);
  mirror::RetainOnly(liveness_, plan_.daemons_);
}

void DaemonProber::ScheduleProbe() {
  const Duration pause = std::max(plan_.period_, Duration(kMinProbeInterval));
  loop_.Timers().Add(http::EventLoop::Now() + pause, [this] { ProbeNext(); });
}

void DaemonProber::ProbeNext() {
  if (plan_.daemons_.empty()) {
    ScheduleProbe();
    return;
  }
  const mirror::DaemonRecord daemon =
      plan_.daemons_[next_++ % plan_.daemons_.size()];
  client_ =
      std::make_unique<http::Client>(loop_, daemon.address_, daemon.port_);
  http::ClientRequest request;
  request.target_ = kLivenessPath;
  request.timeout_ = kProbeTimeout;
  client_->Call(std::move(request),
                [this, daemon](const http::ClientResponse& r) {
                  OnProbeResult(daemon, r.status_ != 0);
                });
}

void DaemonProber::OnProbeResult(const mirror::DaemonRecord& daemon,
                                 bool answered) {
  const Instant now = http::EventLoop::Now();
  mirror::RecordProbeResult(liveness_, daemon.name_, answered, now);
  if (mirror::IsExpired(liveness_, daemon.name_, now)) {
    on_expired_(daemon);
  }
  // The next probe replaces the client, which must not be destroyed within its
  // own callback.
  ScheduleProbe();
}

}  // namespace clementinerill::gateway
