#ifndef CLEMENTINERILL_MEMBERSHIP_WITNESS_GROUP_H_
#define CLEMENTINERILL_MEMBERSHIP_WITNESS_GROUP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/group_pool.h"

namespace clementinerill {

/// @brief Maximum number of members; larger fleets have one group of this size
/// per pool.
inline constexpr int kMaxGroupSize = 21;

/// @brief Daemons that exchange heartbeats and vote on the seats of the same
/// pools.
///
/// The seats of these pools are assigned to members of the group only. Messages
/// refer to members by their index in `members_`, which is sorted by name.
struct WitnessGroup {
  std::string name_;
  std::vector<std::string> members_;
  std::vector<GroupPool> pools_;
};

/// @brief Returns the groups of a fleet: a single group `all` for up to
/// `kMaxGroupSize` daemons, otherwise one group per pool, whose members are
/// selected by rendezvous hashing of the pool name.
///
/// A daemon is a member of several groups only when there are too few daemons,
/// because its heartbeat traffic grows with each group.
[[nodiscard]] std::vector<WitnessGroup> MakeWitnessGroups(
    const std::vector<std::string>& listed,
    const std::vector<GroupPool>& pools);

/// @brief Returns the index of a member in the group, or -1.
[[nodiscard]] int IndexOf(const WitnessGroup& group,
                          std::string_view name) noexcept;

/// @brief Returns the number of members that form a majority, including the
/// holder.
[[nodiscard]] int MajorityOf(const WitnessGroup& group) noexcept;

/// @brief Returns a hash of the name, members, pools and seat counts.
///
/// A heartbeat with another digest must not be counted, because its indexes and
/// majority refer to a different group.
[[nodiscard]] uint32_t DigestOf(const WitnessGroup& group);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_WITNESS_GROUP_H_
