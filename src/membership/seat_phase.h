#ifndef CLEMENTINERILL_MEMBERSHIP_SEAT_PHASE_H_
#define CLEMENTINERILL_MEMBERSHIP_SEAT_PHASE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief How far a daemon has come in holding a seat.
enum class SeatPhase {
  kNotHeld,
  kWaiting,  ///< Held, not used until the handover wait has passed.
  kActive,
};

inline constexpr std::array<NameEntry<SeatPhase>, 3> kSeatPhaseNames = {{
    {SeatPhase::kNotHeld, "not_held"},
    {SeatPhase::kWaiting, "waiting"},
    {SeatPhase::kActive, "active"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SEAT_PHASE_H_
