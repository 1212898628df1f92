#ifndef CLEMENTINERILL_MIRROR_RELAY_PLAN_H_
#define CLEMENTINERILL_MIRROR_RELAY_PLAN_H_

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "mirror/daemon_record.h"

namespace clementinerill::mirror {

/// @brief Daemons of each failure domain that relay the store to the others.
///
/// The first follows the store. The second follows the first and takes over
/// when it fails, so that the store serves one watcher for each failure domain
/// and the loss of one costs the others one change of relay.
inline constexpr size_t kRelaysPerDomain = 2;

/// @brief What a daemon does to learn of changes in the store.
enum class RelayRole {
  kWatcher,  ///< Follows the store.
  kStandby,  ///< Follows the watcher and takes over at once when it fails.
  kReader,   ///< Follows the watcher, or the standby.
};

inline constexpr std::array<NameEntry<RelayRole>, 3> kRelayRoleNames = {{
    {RelayRole::kWatcher, "watcher"},
    {RelayRole::kStandby, "standby"},
    {RelayRole::kReader, "reader"},
}};

/// @brief Where one daemon gets its copies from.
struct RelayPlan {
  RelayRole role_ = RelayRole::kWatcher;
  /// To ask, in this order; a watcher asks them only when it starts.
  std::vector<DaemonRecord> relays_;
};

/// @brief Names the relays of the failure domain of `self`, those with the most
/// capacity first, the same way in every daemon that knows the same records.
///
/// A daemon that is not registered follows the store itself.
[[nodiscard]] RelayPlan PlanRelays(const std::vector<DaemonRecord>& daemons,
                                   const std::string& self);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_RELAY_PLAN_H_
