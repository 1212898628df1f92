#ifndef CLEMENTINERILL_CONTROL_STORE_ROLE_H_
#define CLEMENTINERILL_CONTROL_STORE_ROLE_H_

#include <string>
#include <vector>

namespace clementinerill {

/// @brief How a daemon follows the store.
enum class StoreRole {
  kWatch,  ///< Keeps one watch pending.
  kPoll,   ///< Hears of versions from peers and polls the store rarely.
};

/// @brief Daemons of a group that keep a watch pending.
///
/// Two, so that a change still reaches the group within seconds when one of
/// them can't reach the store.
inline constexpr size_t kWatchersPerGroup = 2;

/// @brief The role of `daemon` in its witness group.
///
/// `live_members` are the live daemons of the group, with or without `daemon`.
[[nodiscard]] StoreRole RoleOf(const std::string& daemon,
                               std::vector<std::string> live_members);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_STORE_ROLE_H_
