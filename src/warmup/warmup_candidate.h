#ifndef CLEMENTINERILL_WARMUP_WARMUP_CANDIDATE_H_
#define CLEMENTINERILL_WARMUP_WARMUP_CANDIDATE_H_

#include <string>

namespace clementinerill {

/// @brief What admission needs to know about one replica of a service.
struct WarmupCandidate {
  std::string replica_;
  bool in_service_ = true;  ///< Its failure domain is in service.
  bool cold_ = false;
  bool admitted_ = false;  ///< A cold replica that already receives requests.
  bool operator_initiated_ =
      false;  ///< Cold only because its domain was returned.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_WARMUP_CANDIDATE_H_
