#ifndef CLEMENTINERILL_MEMBERSHIP_SEATS_H_
#define CLEMENTINERILL_MEMBERSHIP_SEATS_H_

#include <vector>

#include "membership/group_state.h"

namespace clementinerill {

/// @brief Returns the seat records of a group, without holders.
[[nodiscard]] std::vector<SeatRecord> MakeSeats(const WitnessGroup& group,
                                                Instant now);

/// @brief Assigns the holders, grants the seats to them and renews the permits
/// of this daemon.
///
/// Each seat is assigned to the best-ranked eligible member that holds no
/// earlier seat of the pool; once every member holds one, to the best-ranked
/// among those that hold the fewest.
void UpdateSeats(GroupState& state, Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SEATS_H_
