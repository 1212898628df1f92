#ifndef CLEMENTINERILL_CONTROL_STORE_ROLE_H_
#define CLEMENTINERILL_CONTROL_STORE_ROLE_H_

#include <string>
#include <vector>

namespace clementinerill {

/// @brief How a daemon tracks changes in the store.
enum class StoreRole {
  kWatch,  ///< Keeps one watch open.
  kPoll,   ///< Learns of versions from peers; polls the store infrequently.
};

/// @brief Number of daemons per group that keep a watch open.
///
/// Two, so that a change still reaches the group within seconds when one of
/// them can't reach the store.
inline constexpr size_t kWatchersPerGroup = 2;

/// @brief The role of `daemon` in its witness group.
///
/// `live_members` lists the live daemons of the group and may omit `daemon`.
[[nodiscard]] StoreRole RoleOf(const std::string& daemon,
                               std::vector<std::string> live_members);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_STORE_ROLE_H_
