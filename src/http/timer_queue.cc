#include "http/timer_queue.h"

namespace clementinerill::http {

TimerQueue::Id TimerQueue::Add(Instant at, std::function<void()> callback) {
  const Id id{at, next_id_++};
  callbacks_.emplace(id, std::move(callback));
  Arm();
  return id;
}

void TimerQueue::Cancel(const Id& id) {
  // The timer stays armed: a wake-up without work costs less than rearming.
  callbacks_.erase(id);
}

void TimerQueue::Arm() {
  if (callbacks_.empty()) {
    return;
  }
  const Instant first = callbacks_.begin()->first.first;
  if (first >= armed_for_) {
    return;
  }
  armed_for_ = first;
  timer_.expires_at(first);
  timer_.async_wait([this](const boost::system::error_code& error) {
    // An error means that the wait was cancelled by rearming for an earlier
    // time.
    if (!error) {
      RunDue();
    }
  });
}

void TimerQueue::RunDue() {
  armed_for_ = Instant::max();
  const Instant now = Instant::clock::now();
  while (!callbacks_.empty() && callbacks_.begin()->first.first <= now) {
    const auto callback = std::move(callbacks_.begin()->second);
    callbacks_.erase(callbacks_.begin());
    callback();
  }
  Arm();
}

}  // namespace clementinerill::http
