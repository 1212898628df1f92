#ifndef CLEMENTINERILL_MEMBERSHIP_GROUP_CHANGE_H_
#define CLEMENTINERILL_MEMBERSHIP_GROUP_CHANGE_H_

#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "membership/group_state.h"

namespace clementinerill {

/// @brief The state of `self` after its group has become `next`.
///
/// Carries over what remains valid: peer records by member name; and by pool
/// name and seat the holder, its wait, lease and permit, the member this
/// witness has named, and the time of that promise. A holder that stays a
/// member therefore keeps its seat while its lease lasts. A seat whose named
/// member has left is not named anew until the promise to it has run out.
///
/// A pool with another number of seats starts without holders: its shares are
/// different, and old and new shares together would exceed the limits.
///
/// Errors are those of `MakeGroupState`, and `self` or `process_start` being
/// other than those of `old`: send times count from the process start. When
/// `self` has left, the caller discards `old` and uses no seat.
[[nodiscard]] Result<GroupState> ChangeGroup(const GroupState& old,
                                             WitnessGroup next,
                                             std::string_view self,
                                             Instant process_start,
                                             Instant now);

/// @brief Whether the next step of the members may be published.
///
/// True once this daemon has known for `kGroupSettleTime` that a majority has
/// adopted the group. Whoever publishes steps checks this in addition to
/// `kMemberChangeInterval`, which alone is not enough when several members are
/// paused or cannot read the list.
[[nodiscard]] bool MayChangeMembers(const GroupState& state,
                                    Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_GROUP_CHANGE_H_
