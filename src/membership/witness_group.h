#ifndef CLEMENTINERILL_MEMBERSHIP_WITNESS_GROUP_H_
#define CLEMENTINERILL_MEMBERSHIP_WITNESS_GROUP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/group_pool.h"

namespace clementinerill {

/// @brief Largest group; larger fleets get one group of this size per pool.
inline constexpr int kMaxGroupSize = 21;

/// @brief Daemons that send heartbeats to each other and vote on the seats of
/// the same pools.
///
/// Seats of these pools are assigned within the group only. Messages refer to
/// members by their index in `members_`, which is sorted by name.
struct WitnessGroup {
  std::string name_;
  std::vector<std::string> members_;
  std::vector<GroupPool> pools_;
};

/// @brief The groups of a fleet: one group `all` for up to `kMaxGroupSize`
/// daemons, otherwise one per pool, chosen by rendezvous for the pool's name.
///
/// A daemon joins a second group only when there are too few daemons: its
/// heartbeat traffic grows with each group.
[[nodiscard]] std::vector<WitnessGroup> MakeWitnessGroups(
    const std::vector<std::string>& listed,
    const std::vector<GroupPool>& pools);

/// @brief Index of a member in the group, or -1.
[[nodiscard]] int IndexOf(const WitnessGroup& group,
                          std::string_view name) noexcept;

/// @brief Number of witnesses that make a majority, the holder included.
[[nodiscard]] int MajorityOf(const WitnessGroup& group) noexcept;

/// @brief Hash of members, pools and seat counts.
///
/// Heartbeats of a group with another digest are not counted: their indexes
/// and majorities mean something else.
[[nodiscard]] uint32_t DigestOf(const WitnessGroup& group);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_WITNESS_GROUP_H_
