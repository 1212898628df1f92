#ifndef CLEMENTINERILL_LIMITS_SLOT_OUTCOME_H_
#define CLEMENTINERILL_LIMITS_SLOT_OUTCOME_H_

namespace clementinerill {

/// @brief How the attempt that held a slot ended.
enum class SlotOutcome {
  kAnswered,        ///< The replica answered; its latency is a sample.
  kShed,            ///< The replica refused the attempt as not run.
  kCancelled,       ///< Given up or past its deadline without an answer.
  kConnectionLost,  ///< Broken or condemned; says nothing about the replica.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_SLOT_OUTCOME_H_
