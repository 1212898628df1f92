#ifndef CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_
#define CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace clementinerill::mirror {

/// @brief Attempt counts that one daemon has collected for a rollout since it
/// learned of the order.
struct RolloutEvidence {
  std::string service_;
  std::string target_version_;
  std::chrono::milliseconds length_{};  ///< Duration set by the order.
  int64_t target_attempts_ = 0;
  int64_t target_bad_ = 0;  ///< Failed or slow attempts on the target version.
  int64_t current_attempts_ = 0;
  int64_t current_bad_ = 0;
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_
