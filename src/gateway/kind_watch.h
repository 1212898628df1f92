#ifndef CLEMENTINERILL_GATEWAY_KIND_WATCH_H_
#define CLEMENTINERILL_GATEWAY_KIND_WATCH_H_

#include <functional>
#include <string>
#include <vector>

#include "gateway/gateway_metrics.h"
#include "gateway/store_codec.h"
#include "http/client.h"
#include "mirror/kind_mirror.h"
#include "settings/endpoint.h"

namespace clementinerill::gateway {

/// @brief How one kind is followed.
struct WatchOptions {
  std::string kind_;
  std::chrono::milliseconds wait_{};  ///< Longest time that a watch waits.
  /// Pause after events, so that changes that come together cost one call.
  Duration settle_{};
};

/// @brief Keeps a copy of the objects of one kind up to date from the store:
/// lists them, then watches, and lists again when the store has dropped the
/// history.
class KindWatch {
 public:
  /// @param on_changes called after newer changes were applied to `mirror`.
  KindWatch(http::EventLoop& loop,
            const Endpoint& store,
            const StoreCodec& codec,
            GatewayMetrics& metrics,
            WatchOptions options,
            mirror::KindMirror& mirror,
            std::function<void(const mirror::KindChanges&)> on_changes);

  /// @brief Begins or ends following; a copy that has a revision is continued
  /// from there.
  void SetActive(bool active);

  /// @brief Sets how long a watch waits, from the next one on.
  void SetWait(std::chrono::milliseconds wait) { options_.wait_ = wait; }

 private:
  void Step();
  void List();
  void Watch();
  void OnPage(const http::ClientResponse& reply);
  void OnEvents(const http::ClientResponse& reply);
  void Take(const mirror::KindChanges& changes);
  void RetryLater(const std::string& reason);
  void StepAfter(Duration pause);
  void NoteSuccess();

  http::EventLoop& loop_;
  const StoreCodec& codec_;
  GatewayMetrics& metrics_;
  WatchOptions options_;
  mirror::KindMirror& mirror_;
  const std::function<void(const mirror::KindChanges&)> on_changes_;
  http::Client client_;
  mirror::KindChanges listed_;
  std::optional<http::TimerQueue::Id> timer_;
  bool active_ = false;
  bool must_list_ = false;
  int failures_ = 0;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_KIND_WATCH_H_
