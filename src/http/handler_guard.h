#ifndef CLEMENTINERILL_HTTP_HANDLER_GUARD_H_
#define CLEMENTINERILL_HTTP_HANDLER_GUARD_H_

#include <array>
#include <functional>
#include <utility>

#include "base/name_table.h"
#include "logging/contain_exceptions.h"

namespace clementinerill::http {

/// @brief What the event loop runs.
enum class HandlerKind {
  kAccept,    ///< A new connection at a listener.
  kRequest,   ///< Bytes of a client, or its request.
  kExchange,  ///< A request to another process, and its response.
  kCall,      ///< The receiver of a response of `Client`.
  kQuery,     ///< A step of a query.
  kTimer,
  kTask,    ///< What another thread has posted.
  kSignal,  ///< A signal of the operating system.
  kLoop,    ///< Anything else.
};

inline constexpr std::array<NameEntry<HandlerKind>, 9> kHandlerKindNames = {{
    {HandlerKind::kAccept, "accept"},
    {HandlerKind::kRequest, "request"},
    {HandlerKind::kExchange, "exchange"},
    {HandlerKind::kCall, "call"},
    {HandlerKind::kQuery, "query"},
    {HandlerKind::kTimer, "timer"},
    {HandlerKind::kTask, "task"},
    {HandlerKind::kSignal, "signal"},
    {HandlerKind::kLoop, "loop"},
}};

/// @brief Keeps an exception that leaves a handler from ending the process.
class HandlerGuard {
 public:
  /// @brief Sets the callback for each such exception. It must not throw.
  void SetOnFailure(std::function<void(HandlerKind)> callback) {
    on_failure_ = std::move(callback);
  }

  /// @brief Runs `handler`; returns false if an exception has left it, which is
  /// logged and counted.
  template <typename Handler>
  [[nodiscard]] bool TryRun(HandlerKind kind,
                            Handler&& handler) const noexcept {
    const bool has_ended =
        ContainExceptions(NameOf(kHandlerKindNames, kind), handler);
    if (!has_ended && on_failure_) {
      on_failure_(kind);
    }
    return has_ended;
  }

  /// @brief The same where nothing has to be done after an exception.
  template <typename Handler>
  void Run(HandlerKind kind, Handler&& handler) const noexcept {
    static_cast<void>(TryRun(kind, handler));
  }

  /// @brief The same; after an exception runs `recover`, which ends what the
  /// handler has left halfway. Both may find no memory.
  template <typename Handler, typename Recover>
  void Run(HandlerKind kind,
           Handler&& handler,
           Recover&& recover) const noexcept {
    if (!TryRun(kind, handler)) {
      Run(kind, recover);
    }
  }

 private:
  std::function<void(HandlerKind)> on_failure_;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_HANDLER_GUARD_H_
