#ifndef CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_
#define CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace clementinerill::mirror {

/// @brief Attempt counts for one rollout, of one daemon or summed over several.
struct RolloutEvidence {
  std::string service_;
  std::string target_version_;
  std::chrono::milliseconds length_{};  ///< Duration set by the order.
  /// Time since a daemon first learned of the order.
  std::chrono::milliseconds age_{};
  int64_t created_ = 0;          ///< See `StoredObject::created_`.
  int64_t target_attempts_ = 0;  ///< Sent, judged or not.
  int64_t current_attempts_ = 0;
  /// By route: for each period of the order, the judged and the bad attempts at
  /// the target version, then those at the current one.
  std::map<std::string, std::vector<int64_t>> routes_;
  /// By route: counts of the buckets of `traffic::LatencyHistogram`, of recent
  /// responses of the current version.
  std::map<std::string, std::vector<int64_t>> latencies_;
  bool is_bad_ = false;         ///< The target version was found to be bad.
  int daemons_ = 1;             ///< Number of daemons that contributed.
  int64_t trial_attempts_ = 0;  ///< Of the load trial.
  /// For each step of the load trial, the judged and the bad attempts.
  std::vector<int64_t> trial_ = {};
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_ROLLOUT_EVIDENCE_H_
