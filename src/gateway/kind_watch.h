#ifndef CLEMENTINERILL_GATEWAY_KIND_WATCH_H_
#define CLEMENTINERILL_GATEWAY_KIND_WATCH_H_

#include <functional>
#include <string>
#include <vector>

#include "gateway/gateway_metrics.h"
#include "gateway/store_caller.h"
#include "gateway/store_port.h"

namespace clementinerill::gateway {

/// @brief How one kind is followed.
struct WatchOptions {
  std::string kind_;
  std::chrono::milliseconds wait_{};  ///< Longest time that a watch waits.
  /// Pause after events, so that changes that come together cost one call.
  Duration settle_{};
};

/// @brief Receives what the store says about one kind, in its order.
struct WatchHandlers {
  std::function<void(std::vector<StoredObject>)> on_list_;
  std::function<void(std::vector<StoreEvent>)> on_events_;
};

/// @brief Follows all objects of one kind: lists them, then watches, and lists
/// again when the store has dropped the history.
class KindWatch {
 public:
  KindWatch(http::EventLoop& loop,
            const Endpoint& store,
            const StorePort& port,
            GatewayMetrics& metrics,
            WatchOptions options,
            WatchHandlers handlers);

  void Start();

  /// @brief Whether the last call succeeded.
  [[nodiscard]] bool IsInTouch() const noexcept { return failures_ == 0; }

 private:
  void List();
  void Watch();
  void OnPage(const StoreReply& reply);
  void OnEvents(const StoreReply& reply);
  void RetryLater(const std::string& reason);
  void After(Duration pause, void (KindWatch::*step)());
  void NoteSuccess();

  http::EventLoop& loop_;
  const StorePort& port_;
  GatewayMetrics& metrics_;
  const WatchOptions options_;
  const WatchHandlers handlers_;
  StoreCaller caller_;
  std::vector<StoredObject> listed_;
  int64_t revision_ = 0;
  bool listing_ = true;
  int failures_ = 0;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_KIND_WATCH_H_
