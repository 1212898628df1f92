#ifndef CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_
#define CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace clementinerill::mirror {

/// @brief What one daemon saw of a rollout since it learned of the order.
struct RolloutEvidence {
  std::string service_;
  std::string target_version_;
  std::chrono::milliseconds length_{};  ///< Of the order.
  int64_t target_attempts_ = 0;
  int64_t target_bad_ = 0;  ///< Failed or slow answers of the target version.
  int64_t current_attempts_ = 0;
  int64_t current_bad_ = 0;
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_
