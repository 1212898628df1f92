#ifndef CLEMENTINERILL_ROLLOUT_SHARE_SELECTION_H_
#define CLEMENTINERILL_ROLLOUT_SHARE_SELECTION_H_

#include <string_view>

#include "rollout/rollout_state.h"

namespace clementinerill {

/// @brief Share of the new version that this daemon applies, in basis points.
///
/// `stopped` is true if any stop advisory names this rollout. The share is then
/// 0 regardless of the state document: a judge that had not received the
/// advisory may have raised the share and the generation since.
[[nodiscard]] int LocalShare(const RolloutState& state, bool stopped) noexcept;

/// @brief Whether a request is routed to the new version.
///
/// Depends only on the rollout id, the request id and the share, so that
/// retries and other daemons agree, and is monotone: a request selected at some
/// share is selected at every larger one.
[[nodiscard]] bool SelectsNewVersion(std::string_view rollout_id,
                                     std::string_view request_id,
                                     int share) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_SHARE_SELECTION_H_
