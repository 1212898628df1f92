#ifndef CLEMENTINERILL_LIMITS_REFUSAL_REASON_H_
#define CLEMENTINERILL_LIMITS_REFUSAL_REASON_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Why a request or an attempt was refused without being run.
enum class RefusalReason {
  kQueueFull,            ///< The queue has no entry left for this priority.
  kDeadlineUnreachable,  ///< Estimated wait plus service exceed the deadline.
  kDisplaced,            ///< Replaced by a higher priority in a full queue.
  kExpired,              ///< The deadline became unreachable while queued.
  kGateFull,             ///< The query concurrency limit is reached.
  kNoSlot,               ///< The daemon's share of replica slots is in use.
  kConcurrencyLimit,     ///< The adaptive limit of the replica is reached.
  kColdLimit,            ///< The limit of a cold replica is reached.
  kHedgeBudget,          ///< The hedge budget of the pool is exhausted.
  kRetryBudget,          ///< The retry budget of the pool is exhausted.
  kNoSeat,               ///< No seat of the pool could be reached.
  kNoMajority,           ///< The daemon may not use its seats.
  kDraining,             ///< The daemon is shutting down.
};

inline constexpr std::array<NameEntry<RefusalReason>, 13> kRefusalReasonNames =
    {{
        {RefusalReason::kQueueFull, "queue_full"},
        {RefusalReason::kDeadlineUnreachable, "deadline_unreachable"},
        {RefusalReason::kDisplaced, "displaced"},
        {RefusalReason::kExpired, "expired"},
        {RefusalReason::kGateFull, "gate_full"},
        {RefusalReason::kNoSlot, "no_slot"},
        {RefusalReason::kConcurrencyLimit, "concurrency_limit"},
        {RefusalReason::kColdLimit, "cold_limit"},
        {RefusalReason::kHedgeBudget, "hedge_budget"},
        {RefusalReason::kRetryBudget, "retry_budget"},
        {RefusalReason::kNoSeat, "no_seat"},
        {RefusalReason::kNoMajority, "no_majority"},
        {RefusalReason::kDraining, "draining"},
    }};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_REFUSAL_REASON_H_
