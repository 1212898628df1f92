#ifndef CLEMENTINERILL_BASE_BACKOFF_H_
#define CLEMENTINERILL_BASE_BACKOFF_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace clementinerill {

/// @brief Limits of an exponential backoff.
struct BackoffPolicy {
  Duration initial_delay_ = std::chrono::milliseconds(50);
  Duration max_delay_ = std::chrono::seconds(5);
};

/// @brief Returns the delay before the next attempt after `failures`
/// consecutive failures; zero if there are none.
///
/// The delay doubles from `initial_delay_` up to `max_delay_`. The jitter
/// chosen by `random` reduces it by up to half.
[[nodiscard]] Duration BackoffDelay(const BackoffPolicy& policy,
                                    int failures,
                                    uint64_t random) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_BACKOFF_H_
