#ifndef CLEMENTINERILL_MIRROR_RELAY_PLAN_H_
#define CLEMENTINERILL_MIRROR_RELAY_PLAN_H_

#include <string>
#include <vector>

#include "mirror/daemon_record.h"

namespace clementinerill::mirror {

/// @brief Daemons of each failure domain that follow the store themselves.
///
/// Two, so that the loss of one costs the others one change of relay.
inline constexpr int kWatchersPerDomain = 2;

/// @brief Where one daemon gets its copies from.
struct RelayPlan {
  bool follows_store_ = true;         ///< This daemon is one of the watchers.
  std::vector<DaemonRecord> relays_;  ///< To ask otherwise, in this order.
};

/// @brief Names the watchers of the failure domain of `self`, those with the
/// most capacity first, the same way in every daemon that knows the same
/// records.
///
/// A daemon that is not registered follows the store itself.
[[nodiscard]] RelayPlan PlanRelays(const std::vector<DaemonRecord>& daemons,
                                   const std::string& self);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_RELAY_PLAN_H_
