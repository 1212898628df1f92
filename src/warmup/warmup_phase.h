#ifndef CLEMENTINERILL_WARMUP_WARMUP_PHASE_H_
#define CLEMENTINERILL_WARMUP_WARMUP_PHASE_H_

namespace clementinerill {

/// @brief Warm-up phase of a replica.
enum class WarmupPhase {
  kWarm,      ///< Each seat sends within its share of the slots.
  kCold,      ///< Only the warm-up seat sends, within the ramp's limit.
  kSettling,  ///< Ramp complete; the warm-up seat drains to its own share.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_WARMUP_PHASE_H_
