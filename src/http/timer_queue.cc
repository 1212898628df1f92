#include "http/timer_queue.h"

#include <utility>

namespace clementinerill::http {

TimerQueue::Id TimerQueue::Add(Instant at, std::function<void()> callback) {
  return Insert(at, {std::move(callback), Duration::zero()});
}

void TimerQueue::AddPeriodic(Duration period, std::function<void()> callback) {
  Insert(Instant::clock::now() + period, {std::move(callback), period});
}

TimerQueue::Id TimerQueue::Insert(Instant at, Timer timer) {
  const Id id{at, next_id_++};
  callbacks_.emplace(id, std::move(timer));
  TryArm();
  return id;
}

void TimerQueue::Cancel(const Id& id) {
  // The timer stays armed: a wake-up without work costs less than rearming.
  callbacks_.erase(id);
}

// Without memory to arm the timer, the next call does it.
void TimerQueue::TryArm() {
  guard_.Run(HandlerKind::kTimer, [this] { Arm(); });
}

void TimerQueue::Arm() {
  if (callbacks_.empty()) {
    return;
  }
  const Instant first = callbacks_.begin()->first.first;
  if (first >= armed_for_) {
    return;
  }
  timer_.expires_at(first);
  timer_.async_wait([this](const boost::system::error_code& error) {
    // An error means that the wait was cancelled by rearming for an earlier
    // time.
    if (!error) {
      RunDue();
    }
  });
  armed_for_ = first;
}

void TimerQueue::RunDue() {
  armed_for_ = Instant::max();
  const Instant now = Instant::clock::now();
  while (!callbacks_.empty() && callbacks_.begin()->first.first <= now) {
    // The node is inserted again, which takes no memory.
    auto node = callbacks_.extract(callbacks_.begin());
    guard_.Run(HandlerKind::kTimer, node.mapped().callback_);
    if (node.mapped().period_ > Duration::zero()) {
      node.key() = {now + node.mapped().period_, next_id_++};
      callbacks_.insert(std::move(node));
    }
  }
  TryArm();
}

}  // namespace clementinerill::http
