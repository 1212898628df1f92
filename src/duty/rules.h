#ifndef CLEMENTINERILL_DUTY_RULES_H_
#define CLEMENTINERILL_DUTY_RULES_H_

#include "base/time.h"

namespace clementinerill::duty {

/// @brief Durations of the election of the holder of a duty. They must be the
/// same at all daemons.
struct Rules {
  /// How long a write entitles the holder to act, from its sending.
  Duration lease_ = std::chrono::milliseconds(3000);
  /// Taken off the lease by the holder and added to it by candidates.
  Duration margin_ = std::chrono::milliseconds(300);
  /// From the sending of the write in force until the holder renews it.
  Duration renewal_ = std::chrono::milliseconds(1200);
  /// Between two reads of a candidate.
  Duration poll_ = std::chrono::milliseconds(1200);
  /// From a failed call of the store until the next one.
  Duration retry_ = std::chrono::milliseconds(200);
};

/// @brief Derives the other durations from the lease duration and the margin,
/// which is limited to between a 30th and a quarter of the lease.
[[nodiscard]] Rules MakeRules(Duration lease, Duration margin) noexcept;

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_RULES_H_
