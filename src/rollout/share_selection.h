#ifndef CLEMENTINERILL_ROLLOUT_SHARE_SELECTION_H_
#define CLEMENTINERILL_ROLLOUT_SHARE_SELECTION_H_

#include <string_view>

#include "rollout/rollout_state.h"

namespace clementinerill {

/// @brief Share of the new version that this daemon must use, in basis points.
///
/// `stopped` is true when any stop advisory names this rollout. It gives 0 at
/// once, whatever the document says: a judge that had not seen the advisory may
/// have raised the share and the generation since.
[[nodiscard]] int LocalShare(const RolloutState& state, bool stopped) noexcept;

/// @brief Whether a request goes to the new version.
///
/// Deterministic in the rollout and the request id, so that retries and other
/// daemons agree, and monotone: a request selected at some share is selected
/// at every larger one.
[[nodiscard]] bool SelectsNewVersion(std::string_view rollout_id,
                                     std::string_view request_id,
                                     int share) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_SHARE_SELECTION_H_
