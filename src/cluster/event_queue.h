#ifndef CLEMENTINERILL_CLUSTER_EVENT_QUEUE_H_
#define CLEMENTINERILL_CLUSTER_EVENT_QUEUE_H_

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

#include "cluster/control_event.h"

namespace clementinerill {

/// @brief Events on their way to the control thread. Thread-safe.
class EventQueue {
 public:
  /// @brief Adds an event; false when the queue is full and it was dropped.
  ///
  /// Every event is repeated or compared by digest later, so a dropped one
  /// costs time and no state.
  bool Push(ControlEvent event) {
    const std::lock_guard lock(mutex_);
    if (events_.size() >= kMostEvents) {
      return false;
    }
    events_.push_back(std::move(event));
    return true;
  }

  /// @brief Takes all events in order.
  [[nodiscard]] std::vector<ControlEvent> TakeAll() {
    const std::lock_guard lock(mutex_);
    return std::exchange(events_, {});
  }

 private:
  static constexpr size_t kMostEvents = 10'000;
  std::mutex mutex_;
  std::vector<ControlEvent> events_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_EVENT_QUEUE_H_
