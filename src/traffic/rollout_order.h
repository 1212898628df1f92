#ifndef CLEMENTINERILL_TRAFFIC_ROLLOUT_ORDER_H_
#define CLEMENTINERILL_TRAFFIC_ROLLOUT_ORDER_H_

#include <array>
#include <string>

#include "base/name_table.h"
#include "base/time.h"

namespace clementinerill::traffic {

/// @brief State of a rollout.
enum class RolloutState {
  kInProgress,
  kCompleted,   ///< The target version receives all requests.
  kRolledBack,  ///< The target version receives no requests.
};

inline constexpr std::array<NameEntry<RolloutState>, 3> kRolloutStateNames = {{
    {RolloutState::kInProgress, "in_progress"},
    {RolloutState::kCompleted, "completed"},
    {RolloutState::kRolledBack, "rolled_back"},
}};

/// @brief An order to roll out another software version of a service.
struct RolloutOrder {
  std::string service_;
  std::string target_version_;
  /// Revision of the store at which it was ordered; 0 if unknown.
  int64_t created_ = 0;
  /// When a daemon first learned of it, as far as this one knows.
  Instant ordered_{};
  Duration length_{};  ///< Time from the order to the latest decision.
  RolloutState state_ = RolloutState::kInProgress;
};

/// @brief Whether both are the same order, regardless of their state. The same
/// version may be ordered again.
[[nodiscard]] inline bool IsSameOrder(const RolloutOrder& a,
                                      const RolloutOrder& b) noexcept {
  const bool is_known = a.created_ != 0 && b.created_ != 0;
  return a.service_ == b.service_ && a.target_version_ == b.target_version_ &&
         a.length_ == b.length_ && (!is_known || a.created_ == b.created_);
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_ROLLOUT_ORDER_H_
