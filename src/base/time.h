#ifndef CLEMENTINERILL_BASE_TIME_H_
#define CLEMENTINERILL_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace clementinerill {

/// @brief A point in time on the monotonic clock of this process.
///
/// Decision functions take it as an argument and never read a clock.
using Instant = std::chrono::steady_clock::time_point;

/// @brief A duration on the monotonic clock.
using Duration = std::chrono::steady_clock::duration;

/// @brief Converts to whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr int64_t ToMilliseconds(Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// @brief Converts to milliseconds and keeps the fraction.
[[nodiscard]] constexpr double ToFractionalMilliseconds(
    Duration duration) noexcept {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// @brief Multiplies `duration` by `factor`, rounded towards zero.
[[nodiscard]] constexpr Duration Scale(Duration duration,
                                       double factor) noexcept {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

/// @brief Converts from seconds, rounded towards zero.
[[nodiscard]] constexpr Duration FromSeconds(double seconds) noexcept {
  return Scale(std::chrono::seconds(1), seconds);
}

/// @brief Converts from milliseconds, rounded towards zero.
[[nodiscard]] constexpr Duration FromMilliseconds(
    double milliseconds) noexcept {
  return Scale(std::chrono::milliseconds(1), milliseconds);
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_TIME_H_
