#ifndef CLEMENTINERILL_GATEWAY_WIRE_NAMES_H_
#define CLEMENTINERILL_GATEWAY_WIRE_NAMES_H_

#include <string>

namespace clementinerill::gateway {

/// @brief Names of the headers and paths in the protocols with callers,
/// replicas and the balancer; provided by the adapter of the platform.
struct WireNames {
  std::string request_id_;
  std::string timeout_;           ///< Remaining time of the request in ms.
  std::string signature_;         ///< Proof of a replica's response.
  std::string expected_replica_;  ///< Id of the replica that may execute it.
  std::string load_;              ///< Running, waiting, slots of the replica.
  std::string not_executed_;      ///< Present if the request was not executed.
  std::string warmup_remaining_;  ///< Remaining warm-up of the replica in ms.
  /// Requests per second that the replica accepts from all daemons.
  std::string rate_limit_;
  std::string leaving_;          ///< "1" if the replica is leaving.
  std::string part_signatures_;  ///< Signatures of the merged parts.
  std::string missing_parts_;    ///< Number of parts left out of the result.
  std::string ready_path_;
  std::string api_key_;       ///< Key of the caller's organisation.
  std::string organisation_;  ///< Name of the organisation, for replicas.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_WIRE_NAMES_H_
