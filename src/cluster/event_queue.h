#ifndef CLEMENTINERILL_CLUSTER_EVENT_QUEUE_H_
#define CLEMENTINERILL_CLUSTER_EVENT_QUEUE_H_

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

#include "cluster/control_event.h"

namespace clementinerill {

/// @brief Bounded queue of events for the control thread. Thread-safe.
class EventQueue {
 public:
  /// @brief Appends an event; returns false and drops it if the queue is full.
  ///
  /// Every event is sent again or its state is compared by digest later, so a
  /// dropped event delays an update but loses no state.
  bool Push(ControlEvent event) {
    const std::lock_guard lock(mutex_);
    if (events_.size() >= kMaxEvents) {
      return false;
    }
    events_.push_back(std::move(event));
    return true;
  }

  /// @brief Removes and returns all events in the order of arrival.
  [[nodiscard]] std::vector<ControlEvent> Drain() {
    const std::lock_guard lock(mutex_);
    return std::exchange(events_, {});
  }

 private:
  static constexpr size_t kMaxEvents = 10'000;
  std::mutex mutex_;
  std::vector<ControlEvent> events_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_EVENT_QUEUE_H_
