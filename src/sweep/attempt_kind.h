#ifndef CLEMENTINERILL_SWEEP_ATTEMPT_KIND_H_
#define CLEMENTINERILL_SWEEP_ATTEMPT_KIND_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Why an attempt was sent.
enum class AttemptKind {
  kPrimary,  ///< The first attempt of a part.
  kHedge,    ///< Sent while an earlier attempt is still running.
  kRetry,    ///< Sent after all earlier attempts failed.
};

inline constexpr std::array<NameEntry<AttemptKind>, 3> kAttemptKindNames = {{
    {AttemptKind::kPrimary, "primary"},
    {AttemptKind::kHedge, "hedge"},
    {AttemptKind::kRetry, "retry"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_ATTEMPT_KIND_H_
