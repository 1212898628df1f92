#ifndef CLEMENTINERILL_LIMITS_SLOT_OUTCOME_H_
#define CLEMENTINERILL_LIMITS_SLOT_OUTCOME_H_

namespace clementinerill {

/// @brief How the attempt that held a slot ended.
enum class SlotOutcome {
  kAnswered,        ///< The replica responded; its latency is a sample.
  kShed,            ///< The replica refused the attempt without running it.
  kCancelled,       ///< Cancelled or timed out without a response.
  kConnectionLost,  ///< Broken or condemned; not counted against the replica.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_SLOT_OUTCOME_H_
