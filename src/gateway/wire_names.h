#ifndef CLEMENTINERILL_GATEWAY_WIRE_NAMES_H_
#define CLEMENTINERILL_GATEWAY_WIRE_NAMES_H_

#include <string>

namespace clementinerill::gateway {

/// @brief Names of the header fields and paths that callers, replicas and the
/// balancer use. The adapter of a platform fills them in.
struct WireNames {
  std::string request_id_;
  std::string timeout_;           ///< Milliseconds that the caller waits.
  std::string signature_;         ///< A replica's proof of its answer.
  std::string expected_replica_;  ///< The id of the replica that may run it.
  std::string load_;              ///< Running, waiting, slots of a replica.
  std::string not_executed_;      ///< Marks a refusal before running.
  std::string warmup_remaining_;  ///< Milliseconds that the replica stays cold.
  std::string part_signatures_;   ///< Signatures of the merged parts.
  std::string missing_parts_;     ///< Number of shards that are left out.
  std::string ready_path_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_WIRE_NAMES_H_
