#ifndef CLEMENTINERILL_ROLLOUT_WALL_TIME_H_
#define CLEMENTINERILL_ROLLOUT_WALL_TIME_H_

#include <chrono>
#include <string>

namespace clementinerill {

/// @brief A point in time that is comparable across processes.
///
/// Rollout documents outlive the daemon that wrote them, so the monotonic
/// `Instant` of one process cannot be used in them.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// @brief Formats as `2026-12-04T09:35:56Z`.
[[nodiscard]] std::string Format(WallTime time);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_WALL_TIME_H_
