#ifndef CLEMENTINERILL_PEER_BACKOFF_H_
#define CLEMENTINERILL_PEER_BACKOFF_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief Mean delay before the first repeated attempt.
inline constexpr Duration kFirstRedialDelay = std::chrono::milliseconds(100);

/// @brief Upper limit of the delay between attempts.
inline constexpr Duration kLongestRedialDelay = std::chrono::seconds(5);

/// @brief Delay before the next attempt after `failures` failed ones.
///
/// Doubles with each failure. `jitter` in [0, 1) moves the delay into the upper
/// half of its range, so that daemons do not dial a restarted peer at once.
[[nodiscard]] Duration RedialDelay(int failures, double jitter) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_BACKOFF_H_
