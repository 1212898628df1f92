#ifndef CLEMENTINERILL_DAEMON_UPSTREAM_SLOTS_H_
#define CLEMENTINERILL_DAEMON_UPSTREAM_SLOTS_H_

#include <vector>

#include "base/time.h"
#include "daemon/upstream_state.h"
#include "upstream/exchange_result.h"

namespace clementinerill {

/// @brief Returns how many requests this daemon may run at the upstream at
/// `now`.
///
/// Zero while a cold replica is not admitted yet or is reserved for the holder
/// of its warm-up seat, and while its returned failure domain is at its limit.
[[nodiscard]] int SlotLimitOf(const UpstreamState& state, Instant now) noexcept;

/// @brief Occupies a slot under `token`. `SlotLimitOf` must allow it.
void TakeSlot(UpstreamState& state, uint64_t token, Instant now);

/// @brief The warm-up signals of a finished exchange.
[[nodiscard]] ResponseSignals WarmupSignalsOf(const ExchangeResult& result,
                                              Duration elapsed);

/// @brief Frees the slot of `token` and evaluates the signals of its response.
///
/// No effect when the slot is free already. `siblings` lists the latencies of
/// the warm replicas of the same service.
/// @return whether the slot was in use.
bool FreeSlot(UpstreamState& state,
              uint64_t token,
              const ResponseSignals& signals,
              const std::vector<const LatencyTracker*>& siblings,
              Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_UPSTREAM_SLOTS_H_
