#include "gateway/daemon_prober.h"

#include "gateway/store_follower.h"

namespace clementinerill::gateway {
namespace {

// Pause between two probes. A failure domain of the planned size, 154 daemons,
// is probed once in about five minutes.
constexpr Duration kProbePeriod = std::chrono::seconds(2);
// A probe is answered at once; the rest covers a busy processor.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(1500);

}  // namespace

void DaemonProber::Start() {
  ProbeLater();
}

void DaemonProber::SetDaemons(const std::vector<mirror::DaemonRecord>& daemons,
                              const std::string& self) {
  daemons_ = mirror::DaemonsToProbe(daemons, self);
  mirror::Forget(liveness_, daemons_);
}

void DaemonProber::ProbeLater() {
  loop_.Timers().Add(http::EventLoop::Now() + kProbePeriod,
                     [this] { ProbeNext(); });
}

void DaemonProber::ProbeNext() {
  if (daemons_.empty()) {
    ProbeLater();
    return;
  }
  const mirror::DaemonRecord daemon = daemons_[next_++ % daemons_.size()];
  client_ =
      std::make_unique<http::Client>(loop_, daemon.address_, daemon.port_);
  http::ClientCall call;
  call.target_ = kAlivePath;
  call.timeout_ = kProbeTimeout;
  client_->Call(std::move(call), [this, daemon](const http::ClientReply& r) {
    OnProbed(daemon, r.status_ != 0);
  });
}

void DaemonProber::OnProbed(const mirror::DaemonRecord& daemon, bool answered) {
  const Instant now = http::EventLoop::Now();
  mirror::RecordProbe(liveness_, daemon.name_, answered, now);
  if (mirror::IsGone(liveness_, daemon.name_, now)) {
    on_gone_(daemon);
  }
  // The client is replaced later: it cannot be while it reports its reply.
  ProbeLater();
}

}  // namespace clementinerill::gateway
