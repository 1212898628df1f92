#ifndef CLEMENTINERILL_LIMITS_SERVICE_INTERVAL_H_
#define CLEMENTINERILL_LIMITS_SERVICE_INTERVAL_H_

#include <optional>

#include "base/time.h"

namespace clementinerill {

/// @brief Window of the moving average, in dequeues.
inline constexpr int kServiceIntervalSamples = 32;

/// @brief Mean time between dequeues while there is a backlog: the inverse of
/// the service rate.
///
/// Time during which the queue is empty is excluded. Otherwise an idle period
/// would look like a low service rate and cause false refusals.
struct ServiceInterval {
  Duration mean_{0};                     ///< Zero until there is a sample.
  int samples_ = 0;                      ///< At most `kServiceIntervalSamples`.
  std::optional<Instant> last_dequeue_;  ///< Empty unless a backlog remained.
};

/// @brief Records that an entry was dequeued and whether others remain.
void RecordDequeue(ServiceInterval& interval,
                   bool backlog_remains,
                   Instant now) noexcept;

/// @brief Records that the queue became empty other than by a dequeue.
void RecordQueueEmptied(ServiceInterval& interval) noexcept;

/// @brief The mean interval. While the next dequeue is overdue, the mean as if
/// it took place now, so that a stall is visible before it ends.
[[nodiscard]] Duration CurrentInterval(const ServiceInterval& interval,
                                       Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_SERVICE_INTERVAL_H_
