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

/// @brief Queue entries reserved for each priority. Without them a burst of a
/// higher priority would displace every entry of a lower one.
inline constexpr size_t kReservedEntries = 1;

/// @brief A priority skipped by this many dequeues is served next.
inline constexpr int kDueAfterDequeues = 9;

/// @brief A priority with a backlog is served at least once in this many
/// consecutive dequeues, a minimum share of 1/12: when it becomes due, each of
/// the other priorities may be due before it.
inline constexpr int kStarvationBoundDequeues =
    kDueAfterDequeues + static_cast<int>(kPriorityCount) - 1;

/// @brief A bounded priority queue of requests.
///
/// The priority is the `RouteKind`, from the highest: hold, fetch, lookup,
/// sweep.
///
/// Every request is enqueued, also when the daemon is idle, and leaves exactly
/// once: dequeued, cancelled or refused without being run. Requests of the same
/// priority are served in FIFO order.
///
/// Example:
/// @code
/// AdmissionQueue queue = MakeAdmissionQueue(64);
/// for (const RefusedEntry& refused : EnqueueEntry(queue, entry, now)) {
///   // Respond to `refused.entry_.id_` with outcome refused.
/// }
/// @endcode
struct AdmissionQueue {
  size_t capacity_;  ///< At least `kPriorityCount * kReservedEntries`.
  std::array<std::deque<QueueEntry>, kPriorityCount> entries_;
  std::array<int, kPriorityCount> skip_counts_{};  ///< Dequeues since served.
  ServiceInterval service_;
  bool draining_ = false;  ///< Refuses new entries; queued ones still run.
};

[[nodiscard]] AdmissionQueue MakeAdmissionQueue(size_t capacity);

/// @brief Number of queued requests of all priorities.
[[nodiscard]] size_t QueueLength(const AdmissionQueue& queue) noexcept;

/// @brief Expected queueing delay of a new request.
///
/// The number of entries ahead at the same or a higher priority divided by the
/// recent service rate, bounded by the delay that the minimum share guarantees.
/// Zero while the rate is unknown. Dequeues that serve the minimum share of
/// lower priorities are not counted; they lengthen the delay by at most a
/// third.
[[nodiscard]] Duration EstimatedWait(const AdmissionQueue& queue,
                                     RouteKind kind,
                                     Instant now) noexcept;

/// @brief Enqueues a request and returns every request refused by this call,
/// which may include the new one.
///
/// Reasons: `kDraining`, `kDeadlineUnreachable` or `kQueueFull` for the new
/// request, `kDisplaced` for the newest entry of the lowest priority below the
/// new one, `kExpired` for entries that can no longer start in time.
[[nodiscard]] std::vector<RefusedEntry> EnqueueEntry(AdmissionQueue& queue,
                                                     const QueueEntry& entry,
                                                     Instant now);

/// @brief Removes the entry to run next: the highest priority, unless another
/// is due for its minimum share.
[[nodiscard]] DequeueResult DequeueEntry(AdmissionQueue& queue, Instant now);

/// @brief Removes the entries that can no longer start in time (`kExpired`).
[[nodiscard]] std::vector<RefusedEntry> ExpireEntries(AdmissionQueue& queue,
                                                      Instant now);

/// @brief Removes the entry of a caller that disconnected; false if not queued.
bool CancelEntry(AdmissionQueue& queue, uint64_t id);

/// @brief The earliest `LatestStart` in the queue, after which `ExpireEntries`
/// removes at least one entry.
[[nodiscard]] std::optional<Instant> NextExpiry(
    const AdmissionQueue& queue) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_ADMISSION_QUEUE_H_
