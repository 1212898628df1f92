#ifndef CLEMENTINERILL_CONTROL_APPLY_OUTCOME_H_
#define CLEMENTINERILL_CONTROL_APPLY_OUTCOME_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Result of `ApplyIfNewer`.
enum class ApplyOutcome {
  kApplied,
  kSame,       ///< The version in force, with the same content.
  kOlder,      ///< Lower than the version in force; ignored.
  kDivergent,  ///< The version in force with other content; rejected.
};

inline constexpr std::array<NameEntry<ApplyOutcome>, 4> kApplyOutcomeNames = {{
    {ApplyOutcome::kApplied, "applied"},
    {ApplyOutcome::kSame, "same"},
    {ApplyOutcome::kOlder, "older"},
    {ApplyOutcome::kDivergent, "divergent"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_APPLY_OUTCOME_H_
