#ifndef CLEMENTINERILL_ORGANISATIONS_VIEW_PROOF_H_
#define CLEMENTINERILL_ORGANISATIONS_VIEW_PROOF_H_

#include <optional>

#include "base/boot_instant.h"
#include "base/time.h"

namespace clementinerill::organisations {

/// @brief Proof that the configuration in use is recent.
struct ViewProof {
  /// Latest time at which the configuration was certainly the newest one in
  /// the store: when the call was sent whose response confirmed it.
  std::optional<BootInstant> confirmed_at_;
};

/// @brief Whether the configuration in use is known to have been the newest one
/// less than `max_age` before `now`. Without `max_age` no proof is required.
[[nodiscard]] bool IsRecent(const ViewProof& proof,
                            std::optional<Duration> max_age,
                            BootInstant now) noexcept;

}  // namespace clementinerill::organisations

#endif  // CLEMENTINERILL_ORGANISATIONS_VIEW_PROOF_H_
