#ifndef CLEMENTINERILL_LIMITS_SERVICE_INTERVAL_H_
#define CLEMENTINERILL_LIMITS_SERVICE_INTERVAL_H_

#include <optional>

#include "base/time.h"

namespace clementinerill {

/// @brief Takes over which the mean interval adapts.
inline constexpr int kServiceIntervalSamples = 32;

/// @brief Mean time between takes from a queue with a backlog: the inverse of
/// the service rate.
///
/// Time during which the queue is empty is excluded. Otherwise a quiet period
/// would look like a low service rate and cause false refusals.
struct ServiceInterval {
  Duration mean_{0};                  ///< Zero until there is a sample.
  int samples_ = 0;                   ///< At most `kServiceIntervalSamples`.
  std::optional<Instant> last_take_;  ///< Empty unless a backlog remained.
};

/// @brief Records that an entry was taken and whether others remain.
void RecordTake(ServiceInterval& interval,
                bool backlog_remains,
                Instant now) noexcept;

/// @brief Records that the queue became empty other than by a take.
void RecordEmpty(ServiceInterval& interval) noexcept;

/// @brief The mean interval; while takes are overdue, the mean as if one took
/// place now, so that a stall shows before the next take.
[[nodiscard]] Duration CurrentInterval(const ServiceInterval& interval,
                                       Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_SERVICE_INTERVAL_H_
