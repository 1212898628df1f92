#ifndef CLEMENTINERILL_MIRROR_RELAY_MESSAGE_H_
#define CLEMENTINERILL_MIRROR_RELAY_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "mirror/kind_changes.h"
#include "mirror/rollout_evidence.h"

namespace clementinerill::mirror {

/// @brief What a daemon asks of another daemon's copies.
struct RelayRequest {
  std::chrono::milliseconds wait_{};  ///< Longest time to wait for news.
  std::map<std::string, int64_t> revisions_;  ///< Of the asker, by kind.
  std::string daemon_;                        ///< Name of the asker.
  std::vector<RolloutEvidence> evidence_;     ///< Of rollouts in progress.
};

/// @brief News of one kind and how old the relay's copy is.
struct RelayedKind {
  KindChanges changes_;
  std::chrono::milliseconds age_{};  ///< Since the store confirmed the copy.
};

/// @brief The answer: the kinds that the relay has a copy of.
struct RelayReply {
  std::map<std::string, RelayedKind> kinds_;
};

/// @brief CBOR texts of the messages between daemons.
[[nodiscard]] std::string Encode(const RelayRequest& request);
[[nodiscard]] std::string Encode(const RelayReply& reply);

/// @brief Errors: no CBOR, or a field that is missing or of another type.
[[nodiscard]] Result<RelayRequest> DecodeRelayRequest(const std::string& body);
[[nodiscard]] Result<RelayReply> DecodeRelayReply(const std::string& body);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_RELAY_MESSAGE_H_
