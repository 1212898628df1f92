#ifndef CLEMENTINERILL_DUTY_OUTCOMES_H_
#define CLEMENTINERILL_DUTY_OUTCOMES_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill::duty {

/// @brief What became of a write of the object.
enum class WriteOutcome {
  kConfirmed,
  kRefused,     ///< Another write was first.
  kUnanswered,  ///< No response, or an error: it may take effect later.
};

inline constexpr std::array<NameEntry<WriteOutcome>, 3> kWriteOutcomeNames = {{
    {WriteOutcome::kConfirmed, "confirmed"},
    {WriteOutcome::kRefused, "refused"},
    {WriteOutcome::kUnanswered, "unanswered"},
}};

/// @brief Why a daemon stopped to hold a duty.
enum class LossReason {
  kExpired,   ///< The lease was not renewed in time.
  kReplaced,  ///< The object has been changed by another writer.
  kNewEra,    ///< The store has returned from an older copy.
};

inline constexpr std::array<NameEntry<LossReason>, 3> kLossReasonNames = {{
    {LossReason::kExpired, "expired"},
    {LossReason::kReplaced, "replaced"},
    {LossReason::kNewEra, "new_era"},
}};

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_OUTCOMES_H_
