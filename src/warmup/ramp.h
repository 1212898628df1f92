#ifndef CLEMENTINERILL_WARMUP_RAMP_H_
#define CLEMENTINERILL_WARMUP_RAMP_H_

#include <cstdint>

namespace clementinerill {

/// Fast answers per unit of the limit that double the limit.
inline constexpr int kResponsesPerSlot = 8;

/// @brief A limit on requests in flight that rises with answered work.
struct Ramp {
  int limit_ = 1;
  int progress_ = 0;    ///< Fast answers less slow ones at this limit.
  uint64_t level_ = 0;  ///< Rises whenever `limit_` changes or is reset.
};

/// @brief Starts again at `limit`.
void ResetRamp(Ramp& ramp, int limit) noexcept;

/// @brief Lowers the limit to `bound` where it is above; at least 1 remains.
void BoundRamp(Ramp& ramp, int bound) noexcept;

/// @brief Counts one answer to a request sent at the present level.
///
/// The limit doubles, up to `bound`, after `kResponsesPerSlot` times the limit
/// more fast answers than slow ones. Time has no effect.
/// @return whether that much work is done and the limit is at `bound`.
bool CountAnswer(Ramp& ramp, bool fast, int bound) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_RAMP_H_
