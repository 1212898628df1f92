#ifndef CLEMENTINERILL_MEMBERSHIP_PREVIOUS_GROUP_H_
#define CLEMENTINERILL_MEMBERSHIP_PREVIOUS_GROUP_H_

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "membership/heartbeat.h"

namespace clementinerill {

/// @brief Relates the members and seats of a group to the one before it.
///
/// Daemons see a change of the group at different times. The ones ahead
/// exchange heartbeats with the others in the terms of the previous group, so
/// that echoes and grants continue. This is safe because a grant is a promise
/// of its witness about a seat, which holds in whichever group it is counted.
struct PreviousGroup {
  uint32_t digest_ = 0;
  std::vector<int> members_;  ///< Previous index of each member, or kNoMember.
  std::vector<int> seats_;    ///< Previous index of each seat, or -1.
  Instant sent_until_{};      ///< End of sending in its terms.
};

/// @brief The heartbeat in the terms of the previous group. Bits of members
/// and seats that it does not have are left out.
[[nodiscard]] Heartbeat ToPreviousGroup(const PreviousGroup& previous,
                                        Heartbeat heartbeat);

/// @brief A heartbeat of the previous group in the terms of this group.
[[nodiscard]] Heartbeat FromPreviousGroup(const PreviousGroup& previous,
                                          Heartbeat heartbeat);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_PREVIOUS_GROUP_H_
