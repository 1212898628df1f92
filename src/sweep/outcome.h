#ifndef CLEMENTINERILL_SWEEP_OUTCOME_H_
#define CLEMENTINERILL_SWEEP_OUTCOME_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief The closed set of outcomes that a caller sees.
enum class Outcome {
  kComplete,  ///< The whole answer.
  kPartial,   ///< A true part of the answer, with its coverage.
  kRefused,   ///< Not run anywhere.
  kUnknown,   ///< May have run; no answer.
};

inline constexpr std::array<NameEntry<Outcome>, 4> kOutcomeNames = {{
    {Outcome::kComplete, "complete"},
    {Outcome::kPartial, "partial"},
    {Outcome::kRefused, "refused"},
    {Outcome::kUnknown, "unknown"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_OUTCOME_H_
