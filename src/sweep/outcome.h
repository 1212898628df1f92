#ifndef CLEMENTINERILL_SWEEP_OUTCOME_H_
#define CLEMENTINERILL_SWEEP_OUTCOME_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief All outcomes that can be reported to a caller.
enum class Outcome {
  kComplete,  ///< The answer covers the whole request.
  kPartial,   ///< Correct for part of the key space, with its coverage.
  kRefused,   ///< No upstream ran the request.
  kUnknown,   ///< An upstream may have run it; no answer.
};

inline constexpr std::array<NameEntry<Outcome>, 4> kOutcomeNames = {{
    {Outcome::kComplete, "complete"},
    {Outcome::kPartial, "partial"},
    {Outcome::kRefused, "refused"},
    {Outcome::kUnknown, "unknown"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_OUTCOME_H_
