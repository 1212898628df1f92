#ifndef CLEMENTINERILL_HTTP_EVENT_LOOP_H_
#define CLEMENTINERILL_HTTP_EVENT_LOOP_H_

#include <ctime>

#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/boot_instant.h"
#include "base/time.h"
#include "http/handler_guard.h"
#include "http/timer_queue.h"

namespace clementinerill::http {

/// @brief The event loop of one thread, with its sockets and timers.
class EventLoop {
 public:
  EventLoop() : context_(1), timers_(context_, guard_) {}

  [[nodiscard]] boost::asio::io_context& Context() noexcept { return context_; }
  [[nodiscard]] TimerQueue& Timers() noexcept { return timers_; }
  /// @brief Runs the handlers of this loop, so that an exception in one of them
  /// ends neither the process nor the other handlers.
  [[nodiscard]] HandlerGuard& Guard() noexcept { return guard_; }

  /// @brief The current time, to be passed to decision functions, which never
  /// read a clock themselves.
  [[nodiscard]] static Instant Now() noexcept { return Instant::clock::now(); }

  /// @brief The current time of the clock that counts through suspensions of
  /// the VM.
  [[nodiscard]] static BootInstant BootNow() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return BootInstant(std::chrono::seconds(time.tv_sec) +
                       std::chrono::nanoseconds(time.tv_nsec));
  }

  /// @brief Runs `task` on the thread of the loop. Thread-safe.
  void Post(std::function<void()> task) {
    boost::asio::post(context_, [this, task = std::move(task)] {
      guard_.Run(HandlerKind::kTask, task);
    });
  }

  /// @brief Processes events until `Stop` is called.
  void Run() {
    const auto work = boost::asio::make_work_guard(context_);
    // Returns early only if an exception has left a handler.
    while (!context_.stopped()) {
      guard_.Run(HandlerKind::kLoop, [this] { context_.run(); });
    }
  }

  /// @brief Makes `Run` return. Thread-safe.
  void Stop() { context_.stop(); }

 private:
  boost::asio::io_context context_;
  HandlerGuard guard_;
  TimerQueue timers_;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_EVENT_LOOP_H_
