#ifndef CLEMENTINERILL_ROLLOUT_VERDICT_KIND_H_
#define CLEMENTINERILL_ROLLOUT_VERDICT_KIND_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief What the comparison of two versions allows.
enum class VerdictKind {
  kContinue,  ///< Enough samples and no difference found.
  kHold,      ///< Not enough samples yet: stay at the present share.
  kStop,      ///< The new version is worse: give it no more traffic.
};

inline constexpr std::array<NameEntry<VerdictKind>, 3> kVerdictKindNames = {{
    {VerdictKind::kContinue, "continue"},
    {VerdictKind::kHold, "hold"},
    {VerdictKind::kStop, "stop"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_VERDICT_KIND_H_
