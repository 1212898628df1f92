#ifndef CLEMENTINERILL_WARMUP_WARMUP_PHASE_H_
#define CLEMENTINERILL_WARMUP_WARMUP_PHASE_H_

namespace clementinerill {

/// @brief How far a replica has warmed up.
enum class WarmupPhase {
  kWarm,      ///< Every seat sends within its share of the slots.
  kCold,      ///< Only the warm-up seat sends, within the ramp's limit.
  kSettling,  ///< Ramp done; the warm-up seat falls back to its own share.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_WARMUP_PHASE_H_
