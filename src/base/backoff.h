#ifndef CLEMENTINERILL_BASE_BACKOFF_H_
#define CLEMENTINERILL_BASE_BACKOFF_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace clementinerill {

/// @brief Bounds of the delay between attempts.
struct BackoffPolicy {
  Duration initial_delay_ = std::chrono::milliseconds(50);
  Duration max_delay_ = std::chrono::seconds(5);
};

/// @brief The delay after `failures` consecutive failures.
///
/// Doubles from `initial_delay_` up to `max_delay_`, then takes between half
/// and all of that, as chosen by `random`. Zero failures give no delay.
[[nodiscard]] Duration BackoffDelay(const BackoffPolicy& policy,
                                    int failures,
                                    uint64_t random) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_BACKOFF_H_
