#ifndef CLEMENTINERILL_MIRROR_RELAY_MESSAGE_H_
#define CLEMENTINERILL_MIRROR_RELAY_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "mirror/capacity_report.h"
#include "mirror/kind_changes.h"
#include "mirror/rollout_evidence.h"

namespace clementinerill::mirror {

/// @brief A long-poll request for changes, sent to a relaying daemon.
struct RelayRequest {
  std::chrono::milliseconds wait_{};  ///< Maximum time to wait for changes.
  std::map<std::string, int64_t> revisions_;  ///< Of the sender, by kind.
  std::map<std::string, int64_t> eras_;    ///< Of `revisions_`; 0 if missing.
  std::string daemon_;                     ///< The sending process.
  std::vector<RolloutEvidence> evidence_;  ///< On rollouts in progress.
  std::vector<CapacityReport> capacities_ = {};  ///< As learned by the sender.
};

/// @brief Changes of one kind, and the age of the relay's copy.
struct RelayedKind {
  KindChanges changes_;
  /// Time since the store last confirmed the copy.
  std::chrono::milliseconds age_{};
};

/// @brief The response to a `RelayRequest`: the kinds that the relay mirrors.
struct RelayReply {
  std::map<std::string, RelayedKind> kinds_;
  /// Sums over all daemons, of rollouts in progress.
  std::vector<RolloutEvidence> evidence_;
  std::vector<CapacityReport> capacities_ = {};  ///< Merged over all daemons.
};

/// @brief Evidence on rollouts in progress, and what was learned of replicas,
/// that daemons which follow the store exchange. The response has the same
/// form.
struct EvidenceReport {
  std::string process_;  ///< The sending process.
  /// Of the sender and the daemons that follow it; empty if it follows another
  /// daemon, which then reports for it.
  std::vector<RolloutEvidence> evidence_;
  /// Of the same daemons, merged.
  std::vector<CapacityReport> capacities_ = {};
};

/// @brief Encodes a message between daemons as CBOR.
[[nodiscard]] std::string Encode(const RelayRequest& request);
[[nodiscard]] std::string Encode(const RelayReply& reply);
[[nodiscard]] std::string Encode(const EvidenceReport& report);

/// @brief Decodes a message. Fails if `body` is not CBOR, or if a field is
/// missing or has the wrong type.
[[nodiscard]] Result<RelayRequest> DecodeRelayRequest(const std::string& body);
[[nodiscard]] Result<RelayReply> DecodeRelayReply(const std::string& body);
[[nodiscard]] Result<EvidenceReport> DecodeEvidenceReport(
    const std::string& body);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_RELAY_MESSAGE_H_
