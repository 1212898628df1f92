#ifndef CLEMENTINERILL_LIMITS_SLOT_LIMITER_H_
#define CLEMENTINERILL_LIMITS_SLOT_LIMITER_H_

#include <optional>

#include <tl/expected.hpp>

#include "base/time.h"
#include "limits/adaptive_limit.h"
#include "limits/refusal_reason.h"
#include "limits/slot_grant.h"
#include "limits/slot_outcome.h"

namespace clementinerill {

/// @brief Limits the slots of one replica that this daemon uses concurrently.
///
/// After each acquisition, the slots in use are at most the smallest of the
/// share, the adaptive limit and the cold cap. `in_use_` exceeds them only
/// after a limit has fallen; then no slot is acquired until enough are
/// released.
///
/// Example:
/// @code
/// SlotLimiter limiter;
/// SetShare(limiter, 3);
/// const auto grant = AcquireSlot(limiter, now);
/// if (grant) {
///   ReleaseSlot(limiter, *grant, SlotOutcome::kAnswered, later);
/// }
/// @endcode
struct SlotLimiter {
  int share_ = 0;  ///< Slots carried by the seats of this daemon.
  int in_use_ = 0;
  std::optional<int> cold_cap_;  ///< At least one; empty while warm.
  AdaptiveLimit adaptive_;
};

/// @brief Sets the share, at least zero; it may be below the slots in use.
void SetShare(SlotLimiter& limiter, int share) noexcept;

/// @brief Sets the cap of a cold replica, at least one, or removes it.
void SetColdCap(SlotLimiter& limiter, std::optional<int> cap) noexcept;

/// @brief Slots that may be in use now: the smallest of the three limits.
[[nodiscard]] int SlotLimit(const SlotLimiter& limiter) noexcept;

/// @brief Acquires a slot, or reports the lowest of the three limits.
///
/// Errors: `kNoSlot`, `kConcurrencyLimit` or `kColdLimit`.
[[nodiscard]] tl::expected<SlotGrant, RefusalReason> AcquireSlot(
    SlotLimiter& limiter,
    Instant now) noexcept;

/// @brief Releases a slot and updates the adaptive limit from the outcome.
///
/// A cancelled attempt is a latency sample only if it ran for longer than
/// `LatencyThreshold`: its full latency is unknown but not shorter. Without
/// these samples, hedging would hide a slow replica. Latency is not recorded
/// while the replica is cold, because it would distort the warm baseline.
void ReleaseSlot(SlotLimiter& limiter,
                 SlotGrant grant,
                 SlotOutcome outcome,
                 Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_SLOT_LIMITER_H_
