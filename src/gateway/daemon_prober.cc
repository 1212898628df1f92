#include "gateway/daemon_prober.h"

#include <algorithm>

#include "gateway/store_follower.h"

namespace clementinerill::gateway {
namespace {

// Pause while the other daemons are not known yet.
constexpr Duration kLeastPause = std::chrono::seconds(2);
// A probe is answered at once; the rest covers a busy processor.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(1500);

}  // namespace

void DaemonProber::Start() {
  ProbeLater();
}

void DaemonProber::SetDaemons(const std::vector<mirror::DaemonRecord>& daemons,
                              const std::string& self) {
  plan_ = mirror::PlanProbes(daemons, self);
  mirror::RetainOnly(liveness_, plan_.daemons_);
}

void DaemonProber::ProbeLater() {
  const Duration pause = std::max(plan_.period_, Duration(kLeastPause));
  loop_.Timers().Add(http::EventLoop::Now() + pause, [this] { ProbeNext(); });
}

void DaemonProber::ProbeNext() {
  if (plan_.daemons_.empty()) {
    ProbeLater();
    return;
  }
  const mirror::DaemonRecord daemon =
      plan_.daemons_[next_++ % plan_.daemons_.size()];
  client_ =
      std::make_unique<http::Client>(loop_, daemon.address_, daemon.port_);
  http::ClientRequest call;
  call.target_ = kAlivePath;
  call.timeout_ = kProbeTimeout;
  client_->Call(std::move(call), [this, daemon](const http::ClientResponse& r) {
    OnProbed(daemon, r.status_ != 0);
  });
}

void DaemonProber::OnProbed(const mirror::DaemonRecord& daemon, bool answered) {
  const Instant now = http::EventLoop::Now();
  mirror::RecordProbeResult(liveness_, daemon.name_, answered, now);
  if (mirror::IsExpired(liveness_, daemon.name_, now)) {
    on_gone_(daemon);
  }
  // The client is replaced later: it cannot be while it reports its reply.
  ProbeLater();
}

}  // namespace clementinerill::gateway
