#include "limits/admission_queue.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {
namespace {

size_t PriorityOf(RouteKind kind) noexcept {
  return static_cast<size_t>(kind);
}

bool HasRoom(const AdmissionQueue& queue, RouteKind kind) noexcept {
  if (queue.entries_[PriorityOf(kind)].size() < kReservedEntries) {
    return true;
  }
  size_t occupied = 0;
  for (const auto& entries : queue.entries_) {
    occupied += std::max(entries.size(), kReservedEntries);
  }
  return occupied < queue.capacity_;
}

std::optional<QueueEntry> DisplaceBelow(AdmissionQueue& queue, RouteKind kind) {
  for (size_t priority = 0; priority < PriorityOf(kind); ++priority) {
    auto& entries = queue.entries_[priority];
    if (entries.size() > kReservedEntries) {
      const QueueEntry displaced = entries.back();
      entries.pop_back();
      return displaced;
    }
  }
  return std::nullopt;
}

std::optional<RefusalReason> RefusalOnArrival(const AdmissionQueue& queue,
                                              const QueueEntry& entry,
                                              Instant now) noexcept {
  if (queue.draining_) {
    return RefusalReason::kDraining;
  }
  if (now + EstimatedWait(queue, entry.kind_, now) > LatestStart(entry)) {
    return RefusalReason::kDeadlineUnreachable;
  }
  return std::nullopt;
}

std::optional<size_t> HighestPriority(const AdmissionQueue& queue) noexcept {
  for (size_t priority = kPriorityCount; priority-- > 0;) {
    if (!queue.entries_[priority].empty()) {
      return priority;
    }
  }
  return std::nullopt;
}

std::optional<size_t> DuePriority(const AdmissionQueue& queue) noexcept {
  std::optional<size_t> due;
  int skips = kDueAfterDequeues - 1;
  for (size_t priority = kPriorityCount; priority-- > 0;) {
    if (queue.skip_counts_[priority] > skips) {
      skips = queue.skip_counts_[priority];
      due = priority;
    }
  }
  return due;
}

// An empty priority is not skipped: its count restarts with its backlog.
void UpdateSkipCounts(AdmissionQueue& queue, size_t served) noexcept {
  for (size_t priority = 0; priority < kPriorityCount; ++priority) {
    int& skips = queue.skip_counts_[priority];
    const bool skipped =
        !queue.entries_[priority].empty() && priority != served;
    skips = skipped ? skips + 1 : 0;
  }
}

// Called after entries were removed other than by a dequeue.
void RecordRemoval(AdmissionQueue& queue) noexcept {
  for (size_t priority = 0; priority < kPriorityCount; ++priority) {
    if (queue.entries_[priority].empty()) {
      queue.skip_counts_[priority] = 0;
    }
  }
  if (QueueLength(queue) == 0) {
    RecordQueueEmptied(queue.service_);
  }
}

}  // namespace

AdmissionQueue MakeAdmissionQueue(size_t capacity) {
  CR_INVARIANT(capacity >= kPriorityCount * kReservedEntries);
  AdmissionQueue queue{};
  queue.capacity_ = capacity;
  return queue;
}

size_t QueueLength(const AdmissionQueue& queue) noexcept {
  size_t length = 0;
  for (const auto& entries : queue.entries_) {
    length += entries.size();
  }
  return length;
}

Duration EstimatedWait(const AdmissionQueue& queue,
                       RouteKind kind,
                       Instant now) noexcept {
  size_t ahead = 0;
  for (size_t priority = PriorityOf(kind); priority < kPriorityCount;
       ++priority) {
    ahead += queue.entries_[priority].size();
  }
  const size_t same = queue.entries_[PriorityOf(kind)].size();
  const size_t dequeues =
      std::min(ahead, (same + 1) * kStarvationBoundDequeues);
  return CurrentInterval(queue.service_, now) * static_cast<int64_t>(dequeues);
}

std::vector<RefusedEntry> EnqueueEntry(AdmissionQueue& queue,
                                       const QueueEntry& entry,
                                       Instant now) {
  std::vector<RefusedEntry> refused = ExpireEntries(queue, now);
  const auto refusal = RefusalOnArrival(queue, entry, now);
  if (refusal) {
    refused.push_back({entry, *refusal});
    return refused;
  }
  if (!HasRoom(queue, entry.kind_)) {
    const auto displaced = DisplaceBelow(queue, entry.kind_);
    if (!displaced) {
      refused.push_back({entry, RefusalReason::kQueueFull});
      return refused;
    }
    refused.push_back({*displaced, RefusalReason::kDisplaced});
  }
  queue.entries_[PriorityOf(entry.kind_)].push_back(entry);
  return refused;
}

DequeueResult DequeueEntry(AdmissionQueue& queue, Instant now) {
  DequeueResult result;
  result.refused_ = ExpireEntries(queue, now);
  const auto highest = HighestPriority(queue);
  if (!highest) {
    return result;
  }
  const size_t priority = DuePriority(queue).value_or(*highest);
  auto& entries = queue.entries_[priority];
  result.entry_ = entries.front();
  entries.pop_front();
  UpdateSkipCounts(queue, priority);
  RecordDequeue(queue.service_, QueueLength(queue) > 0, now);
  return result;
}

std::vector<RefusedEntry> ExpireEntries(AdmissionQueue& queue, Instant now) {
  std::vector<RefusedEntry> refused;
  for (auto& entries : queue.entries_) {
    const auto first_expired = std::stable_partition(
        entries.begin(), entries.end(),
        [now](const QueueEntry& entry) { return now <= LatestStart(entry); });
    for (auto entry = first_expired; entry != entries.end(); ++entry) {
      refused.push_back({*entry, RefusalReason::kExpired});
    }
    entries.erase(first_expired, entries.end());
  }
  if (!refused.empty()) {
    RecordRemoval(queue);
  }
  return refused;
}

bool CancelEntry(AdmissionQueue& queue, uint64_t id) {
  for (auto& entries : queue.entries_) {
    const auto found =
        std::find_if(entries.begin(), entries.end(),
                     [id](const QueueEntry& entry) { return entry.id_ == id; });
    if (found != entries.end()) {
      entries.erase(found);
      RecordRemoval(queue);
      return true;
    }
  }
  return false;
}

std::optional<Instant> NextExpiry(const AdmissionQueue& queue) noexcept {
  std::optional<Instant> next;
  for (const auto& entries : queue.entries_) {
    for (const QueueEntry& entry : entries) {
      next = std::min(next.value_or(Instant::max()), LatestStart(entry));
    }
  }
  return next;
}

}  // namespace clementinerill
