#include "daemon/mailbox.h"

#include <utility>

namespace clementinerill {

void Mailbox::Post(AttemptEvent event) {
  const std::lock_guard lock(mutex_);
  events_.push_back(std::move(event));
  ready_.notify_one();
}

void Mailbox::Wake() {
  const std::lock_guard lock(mutex_);
  woken_ = true;
  ready_.notify_one();
}

std::vector<AttemptEvent> Mailbox::Wait(Instant until) {
  std::unique_lock lock(mutex_);
  ready_.wait_until(lock, until, [this] { return woken_ || !events_.empty(); });
  woken_ = false;
  return std::exchange(events_, {});
}

}  // namespace clementinerill
