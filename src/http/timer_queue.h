#ifndef CLEMENTINERILL_HTTP_TIMER_QUEUE_H_
#define CLEMENTINERILL_HTTP_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/time.h"
#include "http/handler_guard.h"

namespace clementinerill::http {

/// @brief Schedules callbacks on a single timer of the event loop.
///
/// Sharing one armed timer among all callbacks keeps the number of system calls
/// per request low. Not thread-safe: used only on the thread of the event loop.
class TimerQueue {
 public:
  using Id = std::pair<Instant, uint64_t>;

  TimerQueue(boost::asio::io_context& context, const HandlerGuard& guard)
      : guard_(guard), timer_(context) {}

  /// @brief Schedules `callback` to run at `at` or shortly after.
  Id Add(Instant at, std::function<void()> callback);

  /// @brief Runs `callback` after each `period`. An exception in it, or a lack
  /// of memory, ends only that call.
  void AddPeriodic(Duration period, std::function<void()> callback);

  /// @brief Removes a callback; does nothing if it has already run.
  void Cancel(const Id& id);

 private:
  struct Timer {
    std::function<void()> callback_;
    Duration period_{};  ///< Zero: runs once.
  };

  Id Insert(Instant at, Timer timer);
  void TryArm();
  void Arm();
  void RunDue();

  const HandlerGuard& guard_;
  boost::asio::steady_timer timer_;
  std::map<Id, Timer> callbacks_;
  Instant armed_for_ = Instant::max();
  uint64_t next_id_ = 0;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_TIMER_QUEUE_H_
