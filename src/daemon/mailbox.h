#ifndef CLEMENTINERILL_DAEMON_MAILBOX_H_
#define CLEMENTINERILL_DAEMON_MAILBOX_H_

#include <condition_variable>
#include <mutex>
#include <vector>

#include "base/time.h"
#include "daemon/attempt_event.h"

namespace clementinerill {

/// @brief Events for the thread that runs one query. Thread-safe.
///
/// Each query has its own mailbox, so that a late response cannot reach another
/// caller.
class Mailbox {
 public:
  void Post(AttemptEvent event);

  /// @brief Ends a wait without an event, for example when a slot is released.
  void Wake();

  /// @brief Waits for an event, a wake-up or `until`, and removes all events.
  [[nodiscard]] std::vector<AttemptEvent> Wait(Instant until);

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<AttemptEvent> events_;
  bool woken_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_MAILBOX_H_
