#ifndef CLEMENTINERILL_BASE_TIME_H_
#define CLEMENTINERILL_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace clementinerill {

/// @brief A point on the monotonic clock of this process.
///
/// Decision functions take it as an argument and never read a clock.
using Instant = std::chrono::steady_clock::time_point;

/// @brief A span on the monotonic clock.
using Duration = std::chrono::steady_clock::duration;

/// @brief Whole milliseconds of `duration`, rounded towards zero.
[[nodiscard]] constexpr int64_t ToMilliseconds(Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_TIME_H_
