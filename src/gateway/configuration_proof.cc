#include "gateway/configuration_proof.h"

#include "http/event_loop.h"
#include "logging/log.h"

namespace clementinerill::gateway {

void ConfigurationProof::SetMaxAge(std::optional<Duration> max_age) {
  max_age_ = max_age;
  Report();
}

void ConfigurationProof::RecordOutcome(mirror::ProofOutcome outcome) {
  if (!max_age_) {
    return;
  }
  metrics_.proofs_.Increment(outcome);
  if (outcome == mirror::ProofOutcome::kProven) {
    Report();
    return;
  }
  static RateLimitedLogger lines;
  const auto age = mirror::ProofAge(copy_, http::EventLoop::BootNow());
  lines.Log(http::EventLoop::Now(), LogLevel::kInfo, "proof", "not renewed",
            {{"reason", NameOf(mirror::kProofOutcomeNames, outcome)},
             {"age_ms", age ? age->count() : -1},
             {"revision", copy_.revision_}});
}

void ConfigurationProof::Report() {
  const auto proven_at = mirror::PublishableProof(copy_, published_);
  if (max_age_ && proven_at && on_proof_) {
    on_proof_({proven_at});
  }
}

}  // namespace clementinerill::gateway
