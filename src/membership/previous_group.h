#ifndef CLEMENTINERILL_MEMBERSHIP_PREVIOUS_GROUP_H_
#define CLEMENTINERILL_MEMBERSHIP_PREVIOUS_GROUP_H_

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "membership/heartbeat.h"

namespace clementinerill {

/// @brief Maps the members and seats of a group to those of the previous one.
///
/// Daemons see a change of the group at different times. Those that have
/// adopted it exchange heartbeats with the others using the digest and indexes
/// of the previous group, so that echoes and grants continue. This is safe
/// because a grant is a promise of its witness about a seat, which holds in
/// either group.
struct PreviousGroup {
  uint32_t digest_ = 0;
  std::vector<int> members_;  ///< Previous index of each member, or kNoMember.
  std::vector<int> seats_;    ///< Previous index of each seat, or -1.
  Instant send_until_{};      ///< When to stop sending for this group.
};

/// @brief Converts a heartbeat to the digest and indexes of the previous group.
/// Drops the bits of members and seats that the previous group does not have.
[[nodiscard]] Heartbeat ToPreviousGroup(const PreviousGroup& previous,
                                        Heartbeat heartbeat);

/// @brief Converts a heartbeat of the previous group to the indexes of this
/// group.
[[nodiscard]] Heartbeat FromPreviousGroup(const PreviousGroup& previous,
                                          Heartbeat heartbeat);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_PREVIOUS_GROUP_H_
