#ifndef CLEMENTINERILL_MEMBERSHIP_SEAT_PERMIT_H_
#define CLEMENTINERILL_MEMBERSHIP_SEAT_PERMIT_H_

#include "base/time.h"
#include "membership/seat_phase.h"

namespace clementinerill {

/// @brief The time interval in which this daemon may use a seat.
///
/// The control thread publishes permits in the routing table as plain values,
/// so traffic threads check them without access to the group state.
struct SeatPermit {
  bool held_ = false;
  Instant valid_from_{};   ///< End of the handover delay.
  Instant valid_until_{};  ///< End of the lease, exclusive.
};

/// @brief Whether the daemon may dispatch requests on the seat at `now`.
///
/// Call it before each dispatch with a fresh reading of the clock: this check
/// alone prevents a process that resumes after a pause from using a seat that
/// has moved.
[[nodiscard]] constexpr bool MayUseSeat(const SeatPermit& permit,
                                        Instant now) noexcept {
  return permit.held_ && now >= permit.valid_from_ && now < permit.valid_until_;
}

/// @brief Returns the phase for status output. A held seat without a valid
/// lease is reported as waiting.
[[nodiscard]] constexpr SeatPhase PhaseOf(const SeatPermit& permit,
                                          Instant now) noexcept {
  if (!permit.held_) {
    return SeatPhase::kNotHeld;
  }
  return MayUseSeat(permit, now) ? SeatPhase::kActive : SeatPhase::kWaiting;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SEAT_PERMIT_H_
