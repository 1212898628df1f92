#ifndef CLEMENTINERILL_LIMITS_QUEUE_ENTRY_H_
#define CLEMENTINERILL_LIMITS_QUEUE_ENTRY_H_

#include <cstdint>

#include "base/time.h"
#include "config/route_kind.h"

namespace clementinerill {

/// @brief A request that waits for admission.
struct QueueEntry {
  uint64_t id_ = 0;                     ///< Unique among the queued requests.
  RouteKind kind_ = RouteKind::kFetch;  ///< Also the priority.
  Instant deadline_;
  Duration expected_service_time_{0};  ///< From admission to the response.
};

/// @brief The last instant at which the entry can still start in time.
[[nodiscard]] inline Instant LatestStart(const QueueEntry& entry) noexcept {
  return entry.deadline_ - entry.expected_service_time_;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_QUEUE_ENTRY_H_
