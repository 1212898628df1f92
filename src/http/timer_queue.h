#ifndef CLEMENTINERILL_HTTP_TIMER_QUEUE_H_
#define CLEMENTINERILL_HTTP_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/time.h"

namespace clementinerill::http {

/// @brief Callbacks at points in time, over one timer of the event loop.
///
/// One armed timer for all callbacks keeps system calls per request low. Used
/// from the thread of its loop only.
class TimerQueue {
 public:
  using Id = std::pair<Instant, uint64_t>;

  explicit TimerQueue(boost::asio::io_context& context) : timer_(context) {}

  /// @brief Runs `callback` at `at` or shortly after.
  Id Add(Instant at, std::function<void()> callback);

  /// @brief Forgets a callback; one that has run is ignored.
  void Cancel(const Id& id);

 private:
  void Arm();
  void RunDue();

  boost::asio::steady_timer timer_;
  std::map<Id, std::function<void()>> callbacks_;
  Instant armed_for_ = Instant::max();
  uint64_t next_ = 0;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_TIMER_QUEUE_H_
