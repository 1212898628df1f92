#ifndef CLEMENTINERILL_LIMITS_ADMISSION_QUEUE_H_
#define CLEMENTINERILL_LIMITS_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "config/route_kind.h"
#include "limits/dequeue_result.h"
#include "limits/queue_entry.h"
#include "limits/refused_entry.h"
#include "limits/service_interval.h"

namespace clementinerill {

/// @brief One priority for each `RouteKind`, in the same order.
inline constexpr size_t kPriorityCount = kRouteKindNames.size();

/// @brief Places of each priority that other priorities never occupy. Without
/// them a flood of a higher priority would displace every lower entry.
inline constexpr size_t kReservedPlaces = 1;

/// @brief A priority passed over in this many takes is served next.
inline constexpr int kDueAfterTakes = 9;

/// @brief A priority with a backlog is served at least once in this many
/// consecutive takes, a minimum share of 1/12: when it becomes due, each of the
/// other priorities may be due before it.
inline constexpr int kStarvationBoundTakes =
    kDueAfterTakes + static_cast<int>(kPriorityCount) - 1;

/// @brief A bounded queue of requests: hold, fetch, lookup, sweep.
///
/// Every request is offered, also when the daemon is idle, and leaves exactly
/// once: taken, cancelled or refused as not run. Within a priority the order is
/// first in, first out.
///
/// Example:
/// @code
/// AdmissionQueue queue = MakeAdmissionQueue(64);
/// for (const RefusedEntry& refused : EnqueueEntry(queue, entry, now)) {
///   // Answer `refused.entry_.id_` with outcome refused.
/// }
/// @endcode
struct AdmissionQueue {
  size_t capacity_;  ///< At least `kPriorityCount * kReservedPlaces`.
  std::array<std::deque<QueueEntry>, kPriorityCount> entries_;
  std::array<int, kPriorityCount> passed_over_{};  ///< Takes since served.
  ServiceInterval service_;
  bool draining_ = false;  ///< Refuses offers; queued entries still run.
};

[[nodiscard]] AdmissionQueue MakeAdmissionQueue(size_t capacity);

/// @brief Requests in the queue.
[[nodiscard]] size_t QueueLength(const AdmissionQueue& queue) noexcept;

/// @brief Expected wait of a new request.
///
/// Entries ahead at the same or a higher priority divided by the recent service
/// rate, but no longer than the minimum share guarantees. Zero while the rate
/// is unknown. Takes that serve the minimum share of lower priorities are not
/// counted; they lengthen the wait by at most a third.
[[nodiscard]] Duration EstimatedWait(const AdmissionQueue& queue,
                                     RouteKind kind,
                                     Instant now) noexcept;

/// @brief Queues a request and returns every request refused by this step,
/// which may include the new one.
///
/// Reasons: `kDraining`, `kDeadlineUnreachable` and `kQueueFull` for the new
/// request, `kDisplaced` for the newest entry of the lowest priority below the
/// new one, `kExpired`.
[[nodiscard]] std::vector<RefusedEntry> EnqueueEntry(AdmissionQueue& queue,
                                                     const QueueEntry& entry,
                                                     Instant now);

/// @brief Removes the entry to run next: the highest priority, unless another
/// is due for its minimum share.
[[nodiscard]] DequeueResult DequeueEntry(AdmissionQueue& queue, Instant now);

/// @brief Removes the entries that can no longer start in time (`kExpired`).
[[nodiscard]] std::vector<RefusedEntry> ExpireEntries(AdmissionQueue& queue,
                                                      Instant now);

/// @brief Removes the entry of a caller that went away; false if not queued.
bool CancelEntry(AdmissionQueue& queue, uint64_t id);

/// @brief The earliest `LatestStart` in the queue, after which `ExpireEntries`
/// has something to remove.
[[nodiscard]] std::optional<Instant> NextExpiry(
    const AdmissionQueue& queue) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_ADMISSION_QUEUE_H_
