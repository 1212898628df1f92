#ifndef CLEMENTINERILL_WARMUP_RAMP_H_
#define CLEMENTINERILL_WARMUP_RAMP_H_

#include <cstdint>

namespace clementinerill {

/// The limit doubles after this many fast responses per unit of the limit.
inline constexpr int kResponsesPerSlot = 8;

/// @brief Limit on in-flight requests that rises with completed requests.
struct Ramp {
  int limit_ = 1;
  int progress_ = 0;    ///< Fast minus slow responses at this limit.
  uint64_t level_ = 0;  ///< Incremented when `limit_` changes or is reset.
};

/// @brief Restarts the ramp at `limit`.
void ResetRamp(Ramp& ramp, int limit) noexcept;

/// @brief Lowers the limit to `max_limit`, but not below 1.
void CapRampLimit(Ramp& ramp, int max_limit) noexcept;

/// @brief Counts one response to a request sent at the current level.
///
/// The limit doubles, up to `max_limit`, when fast responses outnumber slow
/// ones by `kResponsesPerSlot` times the limit. Elapsed time has no effect.
/// @return whether that count is reached with the limit at `max_limit`.
bool CountResponse(Ramp& ramp, bool fast, int max_limit) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_RAMP_H_
