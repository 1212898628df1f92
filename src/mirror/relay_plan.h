#ifndef CLEMENTINERILL_MIRROR_RELAY_PLAN_H_
#define CLEMENTINERILL_MIRROR_RELAY_PLAN_H_

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "mirror/daemon_record.h"

namespace clementinerill::mirror {

/// @brief Number of daemons in each failure domain that relay the store to the
/// others.
///
/// The first one watches the store. The second one follows the first and takes
/// over when it fails. The store thus serves one watcher per failure domain,
/// and when a watcher is lost, the others only switch to another relay once.
inline constexpr size_t kRelaysPerDomain = 2;

/// @brief How a daemon receives changes of the store.
enum class RelayRole {
  kWatcher,  ///< Watches the store.
  kStandby,  ///< Follows the watcher and takes over at once when it fails.
  kReader,   ///< Follows the watcher, or the standby if the watcher fails.
};

inline constexpr std::array<NameEntry<RelayRole>, 3> kRelayRoleNames = {{
    {RelayRole::kWatcher, "watcher"},
    {RelayRole::kStandby, "standby"},
    {RelayRole::kReader, "reader"},
}};

/// @brief The role of one daemon, and the relays that it follows.
struct RelayPlan {
  RelayRole role_ = RelayRole::kWatcher;
  /// In order of preference. A watcher polls them only at start-up.
  std::vector<DaemonRecord> relays_;
};

/// @brief The relays of one failure domain, in order of preference.
[[nodiscard]] std::vector<DaemonRecord> RelaysOfDomain(
    const std::vector<DaemonRecord>& daemons,
    const std::string& failure_domain);

/// @brief Selects the relays of the failure domain of `self`, those with the
/// most capacity first.
///
/// Deterministic: all daemons that know the same records select the same
/// relays. A daemon that is not registered watches the store itself.
[[nodiscard]] RelayPlan PlanRelays(const std::vector<DaemonRecord>& daemons,
                                   const std::string& self);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_RELAY_PLAN_H_
