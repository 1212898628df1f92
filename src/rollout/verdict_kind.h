#ifndef CLEMENTINERILL_ROLLOUT_VERDICT_KIND_H_
#define CLEMENTINERILL_ROLLOUT_VERDICT_KIND_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Outcome of the comparison of two versions.
enum class VerdictKind {
  kContinue,  ///< Enough samples and no regression found.
  kHold,      ///< Too few samples so far: keep the current share.
  kStop,      ///< The new version is worse: roll back.
};

inline constexpr std::array<NameEntry<VerdictKind>, 3> kVerdictKindNames = {{
    {VerdictKind::kContinue, "continue"},
    {VerdictKind::kHold, "hold"},
    {VerdictKind::kStop, "stop"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_VERDICT_KIND_H_
