#ifndef CLEMENTINERILL_MEMBERSHIP_SEATS_H_
#define CLEMENTINERILL_MEMBERSHIP_SEATS_H_

#include <vector>

#include "membership/group_state.h"

namespace clementinerill {

/// @brief Builds the seat records of a group, without holders.
[[nodiscard]] std::vector<SeatRecord> MakeSeats(const WitnessGroup& group,
                                                Instant now);

/// @brief Assigns holders, follows them with the named members and renews
/// this daemon's permits.
///
/// Seat j goes to the best-ranked eligible member that holds no earlier seat
/// of the pool; once every member holds one, to the best-ranked of those that
/// hold the fewest.
void UpdateSeats(GroupState& state, Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SEATS_H_
