#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_RESPONSE_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_RESPONSE_H_

#include <string>
#include <utility>
#include <vector>

#include "base/buffer_budget.h"

namespace clementinerill::traffic {

/// @brief A complete response of a replica.
struct ReplicaResponse {
  int status_ = 0;         ///< HTTP status; 0 if there is no response.
  std::string signature_;  ///< Signature of the replica for this response.
  std::vector<std::pair<std::string, std::string>> headers_;  ///< End-to-end.
  std::string body_;
  BufferHold hold_ = {};  ///< Counts the bytes of the body.
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_RESPONSE_H_
