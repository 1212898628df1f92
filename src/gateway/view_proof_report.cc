#include "gateway/view_proof_report.h"

#include "http/event_loop.h"
#include "logging/log.h"
#include "traffic/view_proof_limit.h"

namespace clementinerill::gateway {

void ViewProofReport::Update(const traffic::FleetState& fleet,
                             BootInstant now) {
  const auto max_age = traffic::RequiredProofAge(fleet);
  const int64_t age = traffic::ProofAgeMilliseconds(fleet, now);
  metrics_.proof_age_.Set(max_age ? age : 0);
  // A starting daemon has nothing that could expire.
  const bool is_expired =
      fleet.view_->configuration_ && !traffic::HasRequiredProof(fleet, now);
  if (is_expired == is_expired_) {
    return;
  }
  is_expired_ = is_expired;
  if (is_expired) {
    metrics_.proof_expiries_.Increment();
  }
  static RateLimitedLogger lines;
  lines.Log(http::EventLoop::Now(),
            is_expired ? LogLevel::kWarning : LogLevel::kInfo, "proof",
            is_expired ? "expired" : "renewed",
            {{"age_ms", age},
             {"max_age_ms", max_age ? ToMilliseconds(*max_age) : 0},
             {"version", fleet.view_->configuration_
                             ? fleet.view_->configuration_->version_
                             : 0}});
}

}  // namespace clementinerill::gateway
