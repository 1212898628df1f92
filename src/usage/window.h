#ifndef CLEMENTINERILL_USAGE_WINDOW_H_
#define CLEMENTINERILL_USAGE_WINDOW_H_

#include <chrono>
#include <cstdint>

namespace clementinerill::usage {

/// @brief Time since the start of 1970.
using WallTime = std::chrono::milliseconds;

/// @brief Returns the number of the window that contains `time`.
[[nodiscard]] constexpr int64_t WindowAt(
    WallTime time,
    std::chrono::milliseconds length) noexcept {
  const int64_t window = time.count() / length.count();
  return time.count() % length.count() < 0 ? window - 1 : window;
}

[[nodiscard]] constexpr WallTime WindowBegin(
    int64_t window,
    std::chrono::milliseconds length) noexcept {
  return WallTime(window * length.count());
}

[[nodiscard]] constexpr WallTime WindowEnd(
    int64_t window,
    std::chrono::milliseconds length) noexcept {
  return WindowBegin(window + 1, length);
}

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_WINDOW_H_
