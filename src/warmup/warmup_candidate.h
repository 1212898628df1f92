#ifndef CLEMENTINERILL_WARMUP_WARMUP_CANDIDATE_H_
#define CLEMENTINERILL_WARMUP_WARMUP_CANDIDATE_H_

#include <string>

namespace clementinerill {

/// @brief State of one replica, as input of `AdmitColdReplicas`.
struct WarmupCandidate {
  std::string replica_;
  bool in_service_ = true;  ///< Its failure domain is in service.
  bool cold_ = false;
  bool admitted_ = false;  ///< Cold and already receiving requests.
  /// Cold only because its failure domain was returned to service.
  bool operator_initiated_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_WARMUP_CANDIDATE_H_
