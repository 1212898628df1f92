#ifndef CLEMENTINERILL_GATEWAY_CONFIGURATION_PROOF_H_
#define CLEMENTINERILL_GATEWAY_CONFIGURATION_PROOF_H_

#include <functional>
#include <optional>

#include "gateway/gateway_metrics.h"
#include "mirror/copy_proof.h"
#include "organisations/view_proof.h"

namespace clementinerill::gateway {

/// @brief Receives the outcomes of lists, watches and polls, and reports the
/// proof of the configuration that is published.
class ConfigurationProof {
 public:
  using OnProof = std::function<void(const organisations::ViewProof&)>;

  /// @param copy of the configuration kind; must outlive this object.
  ConfigurationProof(const mirror::KindMirror& copy, GatewayMetrics& metrics)
      : copy_(copy), metrics_(metrics) {}

  /// @brief Sets the receiver of proofs.
  void SetOnProof(OnProof on_proof) { on_proof_ = std::move(on_proof); }

  /// @brief Sets the maximum age of the proof; unset: none is required, and
  /// none is reported.
  void SetMaxAge(std::optional<Duration> max_age);

  [[nodiscard]] const std::optional<Duration>& MaxAge() const noexcept {
    return max_age_;
  }

  /// @brief Records that the view with the present copy was published.
  void RecordPublished() { published_ = {copy_.era_, copy_.revision_}; }

  /// @brief Counts the outcome and reports the proof if it is renewed.
  void RecordOutcome(mirror::ProofOutcome outcome);

 private:
  void Report();

  const mirror::KindMirror& copy_;
  GatewayMetrics& metrics_;
  OnProof on_proof_;
  std::optional<Duration> max_age_;
  mirror::PublishedCopy published_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CONFIGURATION_PROOF_H_
