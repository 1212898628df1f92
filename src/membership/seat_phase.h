#ifndef CLEMENTINERILL_MEMBERSHIP_SEAT_PHASE_H_
#define CLEMENTINERILL_MEMBERSHIP_SEAT_PHASE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Whether a daemon holds a seat and may use it.
enum class SeatPhase {
  kNotHeld,
  kWaiting,  ///< Held, but the handover delay or a valid lease is pending.
  kActive,
};

inline constexpr std::array<NameEntry<SeatPhase>, 3> kSeatPhaseNames = {{
    {SeatPhase::kNotHeld, "not_held"},
    {SeatPhase::kWaiting, "waiting"},
    {SeatPhase::kActive, "active"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SEAT_PHASE_H_
