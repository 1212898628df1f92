#ifndef CLEMENTINERILL_MEMBERSHIP_GROUP_CHANGE_H_
#define CLEMENTINERILL_MEMBERSHIP_GROUP_CHANGE_H_

#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "membership/group_state.h"

namespace clementinerill {

/// @brief Returns the state of `self` after its group has changed to `next`.
///
/// Carries over what remains valid: peer records, matched by member name; and,
/// matched by pool name and seat number, the holder, its handover delay, lease
/// and permit, the member to which this witness grants the seat, and the time
/// of that grant. A holder that remains a member therefore keeps its seat while
/// its lease lasts. When the member to which a seat is granted has left, the
/// seat is granted to another one only after that grant has expired.
///
/// A pool whose number of seats has changed starts without holders: each share
/// is different, and old and new shares together would exceed the limits.
///
/// Returns the errors of `MakeGroupState`, and an error when `self` or
/// `process_start` differs from `old`, because send times count from the
/// process start. When `self` is no longer a member, the caller discards `old`
/// and uses no seat.
[[nodiscard]] Result<GroupState> ChangeGroup(const GroupState& old,
                                             WitnessGroup next,
                                             std::string_view self,
                                             Instant process_start,
                                             Instant now);

/// @brief Whether the next membership change may be published.
///
/// True once this daemon has known for `kGroupSettleTime` that a majority has
/// adopted the group. The publisher of changes checks this in addition to
/// `kMemberChangeInterval`, which alone is not sufficient when several members
/// are paused or cannot read the list.
[[nodiscard]] bool MayChangeMembers(const GroupState& state,
                                    Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_GROUP_CHANGE_H_
